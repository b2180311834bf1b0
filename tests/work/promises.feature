Feature: Promises of durable work, in one process
  Fakes of the table, the object store and the workers lose, delay and refuse
  what they are asked. Nothing here waits for a clock.

  Scenario: Random faults break no promise
    Callers submit, ask, cancel at two instances while answers of table, workers
    are lost or come late, while instances die or freeze, while workers move.
    No order starts twice, nothing runs in two places, what was called not_run
    never runs, no final outcome changes, and all is settled in the end.
    Then 150 random histories of up to 40 steps keep every promise
