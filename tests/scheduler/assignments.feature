Feature: Starts under advance assignments, while the store is away

  Background:
    Given a job of 2 tasks, then 2 tasks, of which the first step runs

  Scenario: The next step starts while the store is away
    # Guards against idle cores while the store is away for seconds.
    When the store goes away for 0.25 s, and the first step ends
    Then the second step runs
    When the store answers again, and the second step ends
    Then the job is completed, and each task was started once

  Scenario: Without the option the next step waits, and records are as before
    Given leaders that do not assign ahead
    When the store goes away for 0.25 s, and the first step ends
    Then the second step does not run
    And the record has no assignments

  Scenario: The leader is killed after such a start
    # Guards against a second run, and against a running job that is shown as queued.
    When the store goes away for 0.25 s, and the first step ends
    And the leader is killed, and another one leads
    Then the second step runs
    When the store answers again, and the second step ends
    Then the job is completed, and each task was started once

  Scenario: The leader is killed before such a start, on workers that have just begun
    # Guards against tasks that stay in doubt, or count as the cause of a crash.
    When the leader is killed, and another one leads
    Then the tasks of the second step wait, and none is suspected
    When the store goes away for 0.25 s, and the first step ends
    Then the second step runs

  Scenario: The leader freezes, is deposed, and goes on
    # Guards against starts beside those of the next leader.
    When the leader alone loses the store, sees the first step end, and freezes
    And another one leads, and the earlier one goes on
    Then the workers refuse 2 starts, and no task runs twice

  Scenario: The store is away for longer than leases are extended
    # Guards against runs that nobody keeps alive.
    When the store goes away for 3.4 s, and the first step ends
    Then the second step does not run

  Scenario: A start is held back for longer than leases are extended
    # Guards against an order of a frozen leader that is sent once it goes on.
    When the store goes away, and starts of the second step are held back for 4 s
    Then the second step does not run

  Scenario: The next leader does not reach the workers of such starts
    # Guards against a second run while the first one goes on.
    Given a job of 2 tasks that waits for room
    When the store goes away for 0.25 s, and there is room for the waiting job
    And the leader is killed, and the next one does not reach the workers that run it
    Then no task of it runs twice, and it runs elsewhere within 9 s

  Scenario: The next leader copies tasks, and loses a data centre with assigned workers
    # Guards against a copy of a task whose turn has not come.
    Given 6 workers, and leaders that copy tasks of the second step
    When the leader is killed, and the next one does not reach 3 workers, assigned ones first, for 2 s
    Then the second step does not run

  Scenario: The response to the write of assignments is lost
    # Guards against starts that a next leader may not find in the store.
    Given a job of 2 tasks that waits for room, and the write of its assignments is lost
    When the store goes away for 0.25 s, and there is room for the waiting job
    Then the waiting job does not run

  Scenario: A job that waits for room has assignments
    Given a job of 2 tasks that waits for room
    When the store goes away for 0.25 s, and there is room for the waiting job
    Then the waiting job runs
    # Guards against tasks that are preempted at once for a later run of the job.
    And it does not count as blocked any more

  Scenario: The workers reject such starts
    # Guards against two starts with one run number, and a further one without a record.
    When the store goes away, and the workers reject the starts of the second step
    Then the second step does not run
    When the store answers again
    Then the second step runs in run 2

  Scenario: There is no room on the assigned workers
    # Guards against room elsewhere that is kept for a start that waits for the store.
    When the store goes away, the assigned workers are full, and the first step ends
    Then the tasks of the second step wait, and none is suspected

  Scenario: The assigned workers have restarted since the record
    # Guards against a start at an incarnation that the next leader has not polled.
    When the store goes away, the workers restart, and the first step ends
    Then the second step does not run

  Scenario: The queue of the job has come to need advice since the record
    # Guards against a start without a ticket.
    When the queue needs advice, the store goes away, and the first step ends
    Then the second step does not run

  Scenario: A record would be too long with assignments
    # Guards against a start under an assignment that is in no record.
    When its next record is too long with assignments
    Then the record has no assignments
    And none may be used

  Scenario: A job starves although a later step may run under an assignment
    # Guards against a job that is not placed while an assigned worker is unreachable.
    Given a job of two steps, of which the second is in doubt on its assigned worker
    Then its first step counts as starving once it has waited for 10 s

  Scenario: A task in doubt on its assigned worker turns out to have ended before
    # Guards against a job that gets no assignments any more.
    Given a job of two steps, of which the second is in doubt on its assigned worker
    When an earlier run of the second step is reported as done
    Then no run of it is known only from an assignment

  Scenario Outline: While <count> steps wait for room, a job has assignments: <assigned>
    # Guards against records that grow with each start while the leader has most to do.
    Given the leader's last plan, in which <count> steps wait for room
    Then a further job is assigned workers: <assigned>

    Examples:
      | count | assigned |
      | 10    | True     |
      | 11    | False    |

  Scenario Outline: No assignments for <kind>
    Given a second step of <kind>
    Then none of its tasks is assigned

    Examples:
      | kind                |
      | continuous tasks    |
      | a gang              |
      | suspected tasks     |
      | 5000 tasks          |
      | tasks not yet due   |
