Feature: The progress record of a job

  The record is rewritten with each change, about twenty times for a job of forty tasks,
  and read by each new leader.

  Scenario: A record restores done tasks, and where the others may be running
    Given a job of 12 tasks of which some are done, run, have failed or wait
    When its record is written and read by another leader
    Then the same tasks are done, and those that ran are in doubt on the same workers
    And runs, failures and checkpoints are as before

  Scenario: A record stays small however many tasks are done
    # At 20 bytes per done task, records were most of the 80 MB that the store received
    # in 75 s from a fleet of 270 workers.
    Given a job of 160 tasks that are all done but one
    Then its record takes less than 150 bytes

  Scenario Outline: A record with <fault> is rejected
    # An invalid record must not make the takeover of all other jobs fail.
    When a record contains <row>
    Then it can't be decoded

    Examples:
      | fault                  | row                              |
      | a malformed number     | {"done": [[0, 0, "xyz"]]}        |
      | an empty number        | {"done": [[0, 0, ""]]}           |
      | a negative number      | {"done": [[0, 0, "-1"]]}         |
      | an unknown worker      | {"tasks": [[0, 0, 0, 1, 0, 3, ""]]} |
      | a row that is too long | {"done": [[0, 0, "1", 2]]}       |
      | an unknown assignee    | {"assignments": [[0, 0, [-1, 3]]]} |
      | a copy without a run   | {"copies": [[0, 0, 0, 0, "w1"]]} |
      | two copies of a task   | {"copies": [[0, 0, 0, 2, "w1"], [0, 0, 0, 3, "w2"]]} |
      | a copy beside its task | {"workers": ["w1"], "tasks": [[0, 0, 0, 1, 0, 0, ""]], "copies": [[0, 0, 0, 2, "w1"]]} |
