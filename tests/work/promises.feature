Feature: Guarantees of durable work, in one process
  Fakes of the table, the object store and the workers lose, delay and refuse
  calls. Time is simulated.

  Scenario: Random faults violate no guarantee
    Callers submit, ask and cancel at two instances while answers of the table and
    of workers are lost or delayed, instances die or freeze, and workers change owners.
    No order starts twice, no task runs on two workers, what was reported as not_run
    never runs, no final outcome changes, and all work reaches a final state.
    Then 400 random histories of up to 40 steps keep every guarantee

  Scenario: An instance that dies between any two steps leaves work that resumes
    A batch task is claimed, started, evicted and resumed. Its instance dies before or
    after the effect of one of these steps, and another takes over its worker. The
    caller asks again at both: each generation starts once, and the task completes.
    Then a crash before or after every step of an eviction resumes exactly once

  Scenario: A release whose instance dies at any step runs at most once
    The same for work that must not be restarted: it completes or never starts.
    Then a crash before or after every step of a release runs it at most once

  Scenario: A conflict in a commit group fails only the claim that caused it
    Claims of several callers share one transaction. One of them is for an existing
    row, so the table refuses the whole transaction; the others must succeed.
    When 5 claims are grouped and the third one conflicts
    Then only the third is refused, after 2 commits

  Scenario: A full commit queue refuses further claims
    When 3 claims meet a queue that holds 2
    Then the last is refused as "store_busy", having no effect

  Scenario: A lease expires at the worker before it expires in the table
    The table is written first, and is down for one renewal. A worker with a later
    deadline than the table would run tasks that other instances count as stopped.
    When the lease of a worker's 3 tasks is renewed with the table up, then down
    Then one row was written, and the worker's lease ends 0.25 s before the row's

  Scenario: A release that can no longer start on its worker runs on another
    A worker refuses the connection, or voided a start before its delayed order came.
    The caller still waits, so the release is moved as generation 2 in one write.
    When releases meet a start that is unreachable, and one that is late
    Then each started once, as generation 2, and is listed under that worker only

  Scenario: A worker that is gone for good is distinguished from a silent one
    When a release and a batch task run on a worker that goes silent
    Then both are unknown, with a time to ask again
    When the platform calls the worker gone
    Then the release is unknown for good, because "worker_lost"
    And the batch task resumes elsewhere as generation 2

  Scenario Outline: Work whose claim came to nothing is claimed again by one caller
    Guards against two callers that wait for a claim and then both claim the work: the
    second one's error left a task registered that nobody started.
    When 3 callers order <work> at once, and the first claim meets <obstacle>
    Then none of the callers meets an exception
    And the work was started <starts> times, each generation once

    Examples:
      | work              | obstacle            | starts |
      | a release         | a table that is down | 1     |
      | an evicted task   | the evicted row     | 2      |

  Scenario: Work that is lost to another instance while it is moved holds no room
    The worker is gone before the start arrives, and a caller asks another instance, which
    records that. The first one has reserved room on its next worker by then. Guards
    against room that stays reserved for as long as the instance owns that worker.
    When a release is moved from a worker that another instance finds to be gone
    Then its caller is told that the outcome is unknown for good
    And no worker of the first instance has anything reserved

  Scenario: A task that was lost is not lost again when a later claim of it runs
    Another instance takes a worker for gone and evicts its task; this one learns of that
    by the conflict as it writes the end. A cancellation that waited for that write makes
    it again, but the work has been resumed on the same worker. Guards against a running
    task for which no room is reserved, so that its worker is given too much.
    When an evicted task is resumed, and the end of its lost generation is written again
    Then room is reserved for the resumed task
