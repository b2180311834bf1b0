Feature: What is kept of a job's progress

  The record is written again with each change, some twenty times for a job of forty
  tasks, and read whole by each new leader.

  Scenario: A record brings back what was done, and where the rest may run
    Given a job of 12 tasks of which some are done, run, have failed or wait
    When its record is written and read by another leader
    Then the same tasks are done, and those that ran are in doubt where they were
    And runs, failures and checkpoints are as before

  Scenario: A record stays small however many tasks are done
    # Each task that was done took 20 bytes in each record after that: on 270 workers
    # records were most of the 80 MB that the store took in 75 s.
    Given a job of 160 tasks that are all done but one
    Then its record takes less than 150 bytes

  Scenario Outline: A record with <fault> is no record
    # Whatever stands there, it must not end the takeover of all other jobs.
    When a record holds <row>
    Then it can't be read

    Examples:
      | fault                  | row                              |
      | a number that is none  | {"done": [[0, 0, "xyz"]]}        |
      | an empty number        | {"done": [[0, 0, ""]]}           |
      | a negative number      | {"done": [[0, 0, "-1"]]}         |
      | an unknown worker      | {"tasks": [[0, 0, 0, 1, 0, 3, ""]]} |
      | a row that is too long | {"done": [[0, 0, "1", 2]]}       |
