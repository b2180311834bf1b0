Feature: A job's progress record fits into a row

  Scenario: A job of thousands of tasks holds up no other job
    A record with the runs of thousands of tasks exceeds the maximum row length. The
    store refuses the transaction, which also carries other jobs and the lease, and the
    leader sends it again for ever. So a job starts only as many tasks as fit into its
    record.
    Given a store that refuses rows of over 49152 bytes, and capacity for 3600 tasks
    When a job of 3000 tasks is submitted, then one of 1 task
    Then the task of the small job runs, and hundreds of the large one
    When each run ends, until nothing runs
    Then both jobs are completed

  Scenario: Stopped runs leave space in the record for the next ones
    Tasks that wait again after a run keep their rows. If other tasks could fill the
    record meanwhile, none of these could start again.
    Given a store that refuses rows of over 49152 bytes, and capacity for 3600 tasks
    When a job of 3000 tasks is submitted, then one of 1 task
    And each run is stopped, 5 times
    Then the task of the small job runs, and hundreds of the large one
    When each run ends, until nothing runs
    Then both jobs are completed

  Scenario: A gang waits until the record has space for all of it
    Given a store that refuses rows of over 49152 bytes, and capacity for 3600 tasks
    When a gang of 400 is submitted with 3000 tasks beside it
    And each run ends, until nothing runs
    Then the gang started together, and the job is completed

  Scenario: Long checkpoints are left out of a record without space for them
    # The record still holds every run and its worker. The next leader restarts the
    # tasks from the beginning if it has to.
    Given 150 running tasks of a job, with checkpoints of 1000 bytes
    Then the encoded record takes less than 49152 bytes
    And another leader restores each run and its worker

  Scenario: Learned interference of thousands of images holds up no job
    # It is written with every few renewals of the lease. If it exceeds the maximum row
    # length, the leader can write nothing else. The oldest values are dropped first.
    Given a store that refuses rows of over 49152 bytes, and capacity for 3600 tasks
    When the leader has learned how 5000 images interfere with another one
    And a job of 3000 tasks is submitted, then one of 1 task
    And the leader works for 40 rounds
    Then the task of the small job runs, and hundreds of the large one
    And a new leader knows the interference with the image learned last

  Scenario Outline: A job of <what> is <answer>
    # Without the check a job whose record can't fit would never be completed, or its
    # submission would always be refused as if the store were unavailable.
    Given the description of a job of <what>
    When the size of its record is checked
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
