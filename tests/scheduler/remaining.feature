Feature: Durations follow from the progress of running tasks

  Scenario Outline: A step declared to take 1 s that takes <seconds> s: <events>
    # Guards against a first wave of which nothing is known but the declared duration, and
    # against progress that counts for the wrong time.
    Given 4 running tasks, declared to take 1 s, that take <seconds> s
    When they are seen for: <events>
    Then the estimate is <estimate> s and <left> s are left, within 20 percent

    Examples:
      | seconds | events                             | estimate | left |
      | 7       | run 1.5                            | 7        | 5.5  |
      | 2       | run 1.2                            | 2        | 0.8  |
      | 1000    | run 6                              | 6        | 3    |
      | 4       | run 2.1, stall 6                   | 15.2     | 6    |
      | 8       | run 2.1, throttle 50, run 4.2      | 8        | 3.8  |
      | 8       | inherit 4, run 0.3                 | 1        | 0.5  |
      | 8       | inherit 4, run 2.4                 | 8        | 1.6  |
      | 4       | run 2.1, list 250, run 0.6         | 4        | 1.3  |
      | 4       | run 2.1, list -1, run 0.6          | 4        | 1.3  |
      | 4       | run 2.1, list 3, list 3, run 0.6   | 4        | 1.3  |
      | 7       | ended 1, run 2.1                   | 4        | 4.9  |

  Scenario: Progress that can't be right is counted, and logged once for a run
    Given 4 running tasks, declared to take 1 s, that take 4 s
    When they are seen for: run 2.1, list 250, list -1, list 3
    Then 8 count as out_of_range, 4 as decreasing, 4 are logged

  Scenario: The plan counts what the running tasks have left, not half of each
    # Also guards against a pass over all tasks of a step for each task that a poll lists.
    Given 4 running tasks, declared to take 1 s, that take 10 s
    When they are seen for: run 8
    Then the plan counts 16 core-seconds and 2 s left, and 50 calls at a time compute once

  Scenario Outline: The victim is the one that loses the least work
    # Guards against the loss of minutes of work for room that a few seconds would give.
    Given a worker with a task of 2 cores that last saved 30 s ago, and one of 4 cores 1 s ago
    When the option is <state>, and a task needs the room
    Then the task of <cores> cores is preempted

    Examples:
      | state | cores |
      | off   | 2     |
      | on    | 4     |
