Feature: A job's record fits the row that keeps it

  Scenario: A job of thousands of tasks holds up no other job
    Callers of all jobs see them queued for ever. A large job's record, with the runs of
    thousands of tasks, is longer than a row of the store may be. The store refuses the
    transaction, which carries other jobs and the lease, and it is sent again for ever.
    So a job begins no more tasks than its record has room for; the rest wait.
    Given a store that refuses rows of over 49152 bytes, and room for 3600 tasks
    When a job of 3000 tasks is handed in, then one of 1 task
    Then the task of the small job runs, and hundreds of the large one
    When each run ends, until nothing runs
    Then both jobs are completed

  Scenario: Runs that were stopped leave room for the next ones
    Each of hundreds of tasks that wait again keeps its row. Were others begun beside
    them until the record was full, none of them could begin.
    Given a store that refuses rows of over 49152 bytes, and room for 3600 tasks
    When a job of 3000 tasks is handed in, then one of 1 task
    And each run is stopped, 5 times
    Then the task of the small job runs, and hundreds of the large one
    When each run ends, until nothing runs
    Then both jobs are completed

  Scenario: A gang waits until the record has room for all of it
    Given a store that refuses rows of over 49152 bytes, and room for 3600 tasks
    When a gang of 400 is handed in with 3000 tasks beside it
    And each run ends, until nothing runs
    Then the gang began together, and the job is completed

  Scenario: Long checkpoints are left out of a record that has no room for them
    # The next leader starts those tasks from the beginning, if it has to; it knows of
    # every run and where it is.
    Given 150 running tasks of a job, with checkpoints of 1000 bytes
    Then what is kept of it takes less than 49152 bytes
    And another leader finds each run where it is

  Scenario: What was learned of thousands of images holds up no job
    # Every few renewals of the lease carry it. Longer than a row may be, it stopped the
    # leader as a job's record did. What was learned first goes first.
    Given a store that refuses rows of over 49152 bytes, and room for 3600 tasks
    When the leader has learned how 5000 images disturb another one
    And a job of 3000 tasks is handed in, then one of 1 task
    And the leader works for 40 rounds
    Then the task of the small job runs, and hundreds of the large one
    And a new leader knows of the image that was learned of last

  Scenario Outline: A job of <what> is <answer>
    # It would be accepted and never be completed, or never be stored and always be
    # refused as if the store were away.
    Given the description of a job of <what>
    When it is looked at whether it can be kept
    Then the answer is "<answer>"

    Examples:
      | what                             | answer   |
      | 5000 tasks                       | accepted |
      | 1 task that repeats 3000 times   | accepted |
      | 1 task that repeats 5000 times   | refused  |
      | a gang of 400 tasks              | accepted |
      | a gang of 600 tasks              | refused  |
      | 400 continuous tasks             | accepted |
      | 600 continuous tasks             | refused  |
      | 100 steps                        | accepted |
      | 300 steps                        | refused  |
