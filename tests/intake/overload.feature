Feature: Jobs that would end too late are refused at once, and only those

  The queue allows 1.5 times the critical path and 0.25 s; three times that is late.

  Background:
    Given an instance that refuses late jobs, and a leader that renews its lease

  Scenario Outline: With <work> core-seconds of waiting work, a job of 1 s is <answer>
    # Guards against jobs that are accepted and end after their callers have given up, and
    # against refusals of jobs that would end in time if they take twice as long.
    Given the leader publishes <work> core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And a job of 2 tasks of 1 s is handed in
    Then it is <answer>

    Examples:
      | work | answer   |
      | 0    | accepted |
      | 500  | accepted |
      | 700  | accepted |
      | 900  | refused  |
      | 9000 | refused  |

  Scenario: A refused caller comes back when the backlog is short enough, not all at once
    Given the leader publishes 1000 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And 30 jobs of 2 tasks of 1 s are handed in
    Then all are told to retry after 2 to 4 s, at 20 different times or more
    And one line tells the figures of each, and one is counted

  Scenario: The time to retry is bounded
    Given the leader publishes 90000 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And 30 jobs of 2 tasks of 1 s are handed in
    Then all are told to retry after 10 to 15 s, at 20 different times or more

  Scenario Outline: A job of <kind> is <answer> behind large jobs
    # Guards against refusals of jobs that the order places before all that waits.
    Given the leader publishes 90000 core-seconds of large jobs for 100 cores
    When jobs come in for 8 s
    And a job of <kind> is handed in
    Then it is <answer>

    Examples:
      | kind                  | answer   |
      | 2 tasks of 1 s        | accepted |
      | 9000 tasks of 1 s     | refused  |
      | 2 continuous tasks    | accepted |
      | 2 scheduled tasks     | accepted |
      | 2 tasks of no queue   | accepted |
      | 2 undeclared tasks    | accepted |

  Scenario Outline: In doubt a job is accepted: <doubt>
    Given the leader publishes 90000 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And <doubt>
    And a job of 2 tasks of 1 s is handed in
    Then it is accepted

    Examples:
      | doubt                                           |
      | the leader is gone for 3 s                      |
      | a new leader has taken the lease                |
      | a leader of another build writes the row        |
      | the row can't be decoded                        |
      | the row is of another version                   |
      | the row has no figures                          |
      | the instance has been restarted                 |
      | the store did not answer the last read          |
      | no job has come for a minute                    |

  Scenario: Refusals go on once the figures are certain again
    Given the leader publishes 90000 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And the leader is gone for 3 s
    And jobs come in for 8 s
    And a job of 2 tasks of 1 s is handed in
    Then it is refused

  Scenario: A job that is stored is not refused when it is handed in again
    # Guards against callers who are told that a job will never run, and it runs.
    Given the leader publishes 0 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And a job of 2 tasks of 1 s is handed in
    And the leader publishes 90000 core-seconds of short jobs for 100 cores
    And jobs come in for 8 s
    And that job is handed in again
    Then it is accepted
    And the store holds it once

  Scenario Outline: A job that may be stored is not refused: <reason>
    Given the leader publishes 90000 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And <reason>
    And a job of 2 tasks of 1 s is handed in
    Then it is not refused, and <counter> is counted

    Examples:
      | reason                                     | counter                   |
      | its row can't be read                      | overload.spared.unread    |
      | an earlier attempt has an unknown outcome  | overload.spared.undecided |

  Scenario: Without the option the row is not read, and nothing is refused
    Given an instance without the option
    And the leader publishes 90000 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And a job of 2 tasks of 1 s is handed in
    Then it is accepted
