Feature: Batch jobs
  An accepted job runs to its end, whichever instance is asked and whichever dies.

  Scenario: A job submitted repeatedly and at several instances is one job
    When a job "j-1" of 4 tasks of 0.2 seconds is submitted to "shymkent-0"
    And the same job is submitted to "shymkent-1"
    And the job "j-1" is submitted with 5 tasks
    Then the answers are 201, 200, 409
    And every instance sees "j-1" "completed" with 4 of 4 tasks within 20 seconds
    And every index of "j-1" completed exactly once

  Scenario: An invalid job is refused at once, with what was expected
    When invalid jobs are submitted
      | field      | value  | status | title     |
      | tasks      | 0      | 400    | malformed |
      | tasks      | 100001 | 400    | malformed |
      | needs.cpus | 0      | 400    | malformed |
      | needs.cpus | 33     | 422    | too_large |
      | job_id     | "a.b"  | 400    | malformed |
    Then each answer names the field, the value and what was expected

  Scenario: The holder of a job is killed in the middle of it
    The first instance answers 201 and is then killed: its queue in memory is lost, and
    some tasks run on workers without an owner. The other instance finds the session
    ended, takes the job over by compare-and-set, reads from the rows which tasks have
    ended or run, and queues only the rest.
    When a job "j-2" of 40 tasks of 0.5 seconds is submitted to "shymkent-0"
    And 5 tasks of "j-2" have completed and "shymkent-0" is killed
    Then every instance sees "j-2" "completed" with 40 of 40 tasks within 25 seconds
    And every index of "j-2" completed exactly once

  Scenario: A large job is cancelled while it runs, at the other instance
    The caller deletes a job of 600 tasks, of which a few run. Waiting tasks never
    start, running ones are stopped on their workers, and the counts show it.
    When a job "j-3" of 600 tasks of 30 seconds is submitted to "shymkent-0"
    And 4 tasks of "j-3" run and it is deleted at "shymkent-1"
    Then every instance sees "j-3" "cancelled" with 0 of 600 tasks within 15 seconds
    And no task of "j-3" runs or starts any more

  Scenario: A cancelled job ends although stop orders for its tasks are lost
    The stop orders are lost on their way to the workers, and the workers report the
    tasks as running. Regression: that report was taken for the result of the
    cancellation, which was not retried (`work.cancel_in_doubt` 3, `jobs.retry.cancel`
    0); the job stayed "cancelling" with 3 tasks "running" until these had completed.
    When a job "j-5" of 3 tasks of 50 seconds is submitted to "shymkent-0"
    And 3 tasks of "j-5" run and it is deleted while orders to stop are lost for 3 seconds
    Then every instance sees "j-5" "cancelled" with 0 of 3 tasks within 15 seconds
    And no task of "j-5" runs or starts any more

  Scenario: A job that fails everywhere ends with its reason
    Every task fails on every worker. Using up all attempts of 500 tasks would take
    slots from work that can succeed, so the job is given up once its tasks have
    failed on two workers without a single success.
    When a job "j-4" of 500 tasks that fail is submitted to "shymkent-0"
    Then every instance sees "j-4" "failed" with 0 of 500 tasks within 30 seconds
    And fewer than 60 tasks of "j-4" were started
    And every instance gives "fails everywhere: exit 1" as the reason of "j-4"

  Scenario: A job survives a sick worker that is the only one of its instance
    Guards against a job that ends as failing everywhere although it failed on one of
    two workers: only the workers of its own instance were counted.
    Given each instance has one worker, and that of "shymkent-0" fails all it runs
    When a job "j-6" of 8 tasks of 0.5 seconds with 4 cores is submitted to "shymkent-0"
    And 8 attempts of "j-6" have failed and the worker is well again
    Then every instance sees "j-6" "completed" with 8 of 8 tasks within 20 seconds
    And every index of "j-6" completed exactly once

  Scenario: A task that fails is tried three times
    Guards against a failure that counts twice because two greenlets report it: a task
    was given up after its second attempt.
    When a job "j-7" of 1 tasks that fail is submitted to "shymkent-0"
    Then every instance sees "j-7" "failed" with 0 of 1 tasks within 20 seconds
    And 3 tasks of "j-7" were started

  Scenario: A big task is not starved by small ones that overtake it
    Small tasks keep both workers busy and fill each gap as it opens, so the 32
    cores that the big one needs are never free together unless they are reserved.
    When a job "small" of 200 tasks of 1.0 seconds is submitted to "shymkent-0"
    And a job "big" of 1 tasks with 32 cores is submitted to "shymkent-0"
    Then every instance sees "big" "completed" with 1 of 1 tasks within 25 seconds
    And "small" is still running

  Scenario: Urgent work starts at once although batch tasks fill all workers
    Both workers are full of long tasks, none of which would end in time. A worker
    is reserved for the urgent task, and the fewest tasks are evicted there with a
    checkpoint; each resumes from it exactly once when there is capacity.
    When a job "bulk" of 10 tasks of 8 seconds is submitted to "shymkent-0"
    And 8 tasks of "bulk" run and an urgent job "now" of 1 task is submitted
    Then the first task of "now" started within 2.1 seconds
    And every instance sees "bulk" "completed" with 10 of 10 tasks within 40 seconds
    And every index of "bulk" completed exactly once
    And a task of "bulk" was resumed from a checkpoint

  @one_worker
  Scenario: Urgent work starts at once although its instance has no worker
    The worker belongs to the other instance and is full of long tasks. Regression:
    that instance refused each offer of the urgent task until its tasks completed 8
    seconds later, because no instance evicted for the task of a peer.
    Given "shymkent-0" has no worker and "shymkent-1" has one
    When a job "bulk" of 6 tasks of 8 seconds is submitted to "shymkent-0"
    And 4 tasks of "bulk" run and an urgent job "now" of 1 task is submitted
    Then the first task of "now" started within 2.1 seconds
    And 1 task of "bulk" was evicted
    And every instance sees "bulk" "completed" with 6 of 6 tasks within 40 seconds
    And every index of "bulk" completed exactly once
    And a task of "bulk" was resumed from a checkpoint

  Scenario: The instance dies between a checkpoint and the row that names it
    As above, but the table is slow, and the instance is killed when its worker has
    stored a checkpoint while the task's row still names the worker. The adopting
    instance finds the task stopped and its checkpoint; each task resumes once.
    When a job "bulk" of 10 tasks of 8 seconds is submitted to "shymkent-0"
    And 8 tasks of "bulk" run and the table is slow when an urgent job "now" evicts
    And the instance is killed between a checkpoint and the update of the row
    Then every instance sees "bulk" "completed" with 10 of 10 tasks within 45 seconds
    And every index of "bulk" completed exactly once
    And a task of "bulk" was resumed from a checkpoint
