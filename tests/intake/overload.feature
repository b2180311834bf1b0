Feature: Jobs that would end too late are refused at once, and only those

  The queue allows 1.5 times the critical path and 0.25 s; three times that is late.

  Background:
    Given an instance that refuses late jobs, and a leader that renews its lease

  Scenario Outline: Behind <work> core-seconds of <size> jobs, a job of <job> is <answer>
    # Guards against jobs that end after their callers have given up, and against refusals
    # of jobs that end in time if they take twice as long, or that go before what waits.
    Given the leader publishes <work> core-seconds of <size> jobs for 100 cores
    When jobs come in for 8 s
    And a job of <job> is handed in
    Then it is <answer>

    Examples:
      | work  | size  | job                 | answer   |
      | 0     | short | 2 tasks             | accepted |
      | 700   | short | 2 tasks             | accepted |
      | 900   | short | 2 tasks             | refused  |
      | 90000 | large | 2 tasks             | accepted |
      | 90000 | large | 9000 tasks          | refused  |
      | 9000  | short | 2 undeclared tasks  | refused  |
      | 9000  | short | 2 continuous tasks  | accepted |
      | 9000  | short | 2 scheduled tasks   | accepted |
      | 9000  | short | 2 tasks of no queue | accepted |

  Scenario Outline: Callers come back when the backlog is short enough, not all at once
    Given the leader publishes <work> core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And 30 jobs of 2 tasks are handed in
    Then all are told to retry after <least> to <most> s, at different times, in one line each

    Examples:
      | work  | least | most |
      | 1000  | 2     | 4    |
      | 9000  | 10    | 15   |

  Scenario Outline: In doubt a job is accepted: <doubt>
    # A refused caller relies on its job never running. Figures may be of an earlier time.
    Given the leader publishes 9000 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And in doubt: <doubt>
    And a job of 2 tasks is handed in
    Then it is accepted

    Examples:
      | doubt                                           |
      | the leader is gone for 3 s                      |
      | a new leader has taken the lease                |
      | a leader of another build writes the row        |
      | the row can't be decoded                        |
      | the row is of another version                   |
      | the instance has been restarted                 |
      | the store did not answer the last read          |
      | no job has come for a minute                    |
      | the job's row can't be read                     |
      | the outcome of an earlier attempt is not known  |
      | the job is stored already                       |
      | the instance is without the option              |

  Scenario: Refusals go on once the figures are certain again
    Given the leader publishes 9000 core-seconds of short jobs for 100 cores
    When in doubt: the leader is gone for 3 s
    And jobs come in for 8 s
    And a job of 2 tasks is handed in
    Then it is refused

  Scenario: The row is read twice a second, for as long as jobs come in
    When a job comes in, and no other one for a minute
    Then the row was read 30 times

  Scenario: While no backlog is published, the row is not read for jobs
    # Guards against reads by all instances in calm times, a fifth of all calls.
    When a job comes in while the lease was last seen without a backlog
    Then the row was read 0 times

  Scenario Outline: A refused job never runs: <sequence>
    # Guards against earlier writes without an answer that take effect after a refusal:
    # the caller relies on its job never running.
    Given the leader publishes 9000 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And before a refusal: <sequence>
    And a job of 2 tasks is handed in
    And the late writes arrive
    Then it is refused
    And nobody knows the job

    Examples:
      | sequence                                                       |
      | the write of another instance is late                          |
      | the write of another instance, after a refusal, is late        |
      | another instance meets a later refusal and answers "undecided" |
      | another instance is frozen for 100 s before it tries again     |

  Scenario Outline: A refusal that is not certain is none: <doubt>
    Given the leader publishes 9000 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And the write of the refusal fails: <doubt>
    And a job of 2 tasks is handed in
    And the late writes arrive
    Then it is accepted
    And the job is stored once

    Examples:
      | doubt                         |
      | down                          |
      | lost                          |
      | late                          |
      | the job is stored just before |

  Scenario: A refused job that is handed in again is accepted once there is room
    # The refusal must not void later submissions, nor earlier ones store the job twice.
    Given the leader publishes 9000 core-seconds of short jobs for 100 cores
    When jobs come in for 8 s
    And before a refusal: the write of another instance is late
    And a job of 2 tasks is handed in
    And it is handed in again at an instance that accepts it
    And the late writes arrive
    Then it is accepted
    And the job is stored once

  Scenario: The rows of refusals are dropped after a minute, unless renewed
    # They would pile up, or an earlier write would take effect after the latest refusal.
    When jobs are refused each 40 s, one of them again and again
    Then only the refusal that was renewed is stored
