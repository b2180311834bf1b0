Feature: Promises of durable work, in one process
  Fakes of the table, the object store and the workers lose, delay and refuse
  what they are asked. Nothing here waits for a clock.

  Scenario: Random faults break no promise
    Callers submit, ask, cancel at two instances while answers of table, workers
    are lost or come late, while instances die or freeze, while workers move.
    No order starts twice, nothing runs in two places, what was called not_run
    never runs, no final outcome changes, and all is settled in the end.
    Then 400 random histories of up to 40 steps keep every promise

  Scenario: An instance that dies between any two steps leaves work that resumes
    A batch task is claimed, started, evicted, resumed. Its instance dies before or
    after the effect of one of these steps, another takes its worker. The caller
    asks again at both: each generation starts once, the end is completed.
    Then a crash before or after every step of an eviction resumes exactly once

  Scenario: A release whose instance dies at any step runs at most once
    The same for work that may not run again: it completes, or was never started.
    Then a crash before or after every step of a release runs it at most once

  Scenario: One conflict in a group fails its culprit alone
    Claims of many callers share one transaction. One of them is for a row that
    exists already, so the table refuses the whole; the others must not suffer.
    When 5 claims are grouped and the third one conflicts
    Then only the third is refused, after 2 commits

  Scenario: A queue that the table does not empty refuses what it can't hold
    When 3 claims meet a queue that holds 2
    Then the last is refused as "store_busy", having no effect

  Scenario: A lease at the worker ends before the table's
    The table is written first, and is down for one renewal. A worker that were
    told of a later time than the table's would run what others count as stopped.
    When the lease of a worker's 3 tasks is renewed with the table up, then down
    Then one row was written, and the worker's lease ends 0.25 s before the row's

  Scenario: A release whose start certainly never happens runs on another worker
    A worker refuses the connection, or made a start void whose order was late.
    The caller still waits, so the release moves on as generation 2, in one write.
    When releases meet a start that is unreachable, and one that is late
    Then each started once, as generation 2, and is listed under that worker only

  Scenario: A worker that is gone for good is told apart from one that is silent
    When a release and a batch task run on a worker that goes silent
    Then both are unknown, with a time to ask again
    When the platform calls the worker gone
    Then the release is unknown for good, because "worker_lost"
    And the batch task resumes elsewhere as generation 2
