Feature: Durations follow from the progress of running tasks

  Scenario Outline: Progress tells the duration long before the first task ends
    # Guards against a first wave of which nothing is known but the declared duration.
    Given a step of 4 tasks, declared to take 1 s, that take <seconds> s
    When its tasks run for <after> s, polled every 0.3 s
    Then its estimate is <seconds> s within 20 percent
    And its tasks have <left> s left, within 20 percent

    Examples:
      | seconds | after | left |
      | 7       | 1.5   | 5.5  |
      | 2       | 1.2   | 0.8  |
      | 7       | 4.2   | 2.8  |

  Scenario: The mean is not biased towards the tasks that end first
    Given a step of 4 tasks, declared to take 1 s, that take 7 s
    And 4 further tasks of it that have ended after 1 s
    When its tasks run for 2.1 s, polled every 0.3 s
    Then its estimate is 4 s within 20 percent

  Scenario: Without progress, the time that a task has run is a lower bound
    Given a step of 4 tasks, declared to take 1 s, that take 1000 s
    When its tasks run for 6 s, polled every 0.3 s
    Then its estimate is 6 s within 20 percent

  Scenario: A run without news counts as slower
    Given a step of 4 tasks, declared to take 1 s, that take 4 s
    When its tasks run for 2.1 s, polled every 0.3 s
    And they stall for 6 s
    Then its estimate is 13 s within 25 percent

  Scenario: A new leader measures from its first two figures on
    # Guards against the progress of minutes that counts as made since the takeover.
    Given a step of 4 tasks, declared to take 1 s, that take 8 s
    And an earlier leader has started them 4 s ago
    When its tasks run for 0.3 s, polled every 0.3 s
    Then its tasks have 0.5 s left, within 20 percent
    When its tasks run for 2 s, polled every 0.3 s
    Then its estimate is 8 s within 20 percent
    And its tasks have 1.7 s left, within 30 percent

  Scenario: A throttled run is measured from its last change of speed
    Given a step of 4 tasks, declared to take 1 s, that take 8 s
    When its tasks run for 2.1 s, polled every 0.3 s
    And they are throttled to 50 percent
    And its tasks run for 4.2 s, polled every 0.3 s
    Then its estimate is 8 s within 20 percent

  Scenario Outline: Progress that can't be right is counted, logged once and not used
    Given a step of 4 tasks, declared to take 1 s, that take 4 s
    When its tasks run for 2.1 s, polled every 0.3 s
    And the worker lists <percent> percent three times
    Then 3 are counted as <fault>, and 1 logged
    And its estimate is 4 s within 20 percent

    Examples:
      | percent | fault        |
      | 250     | out_of_range |
      | -1      | out_of_range |
      | 3       | decreasing   |

  Scenario: The estimate of a step is kept for a moment
    # Guards against a pass over all tasks of a step for each task that a poll lists.
    Given a step of 4 tasks, declared to take 1 s, that take 7 s
    When its tasks run for 1.5 s, polled every 0.3 s
    Then the estimate is computed once for 50 calls at a time

  Scenario: The work left is that of the running tasks, not half of each
    Given a step of 4 tasks, declared to take 1 s, that take 10 s
    When its tasks run for 8 s, polled every 0.3 s
    Then the plan counts 16 core-seconds and 2 s left, within 20 percent

  Scenario Outline: The victim is the one that loses the least work
    # Guards against the loss of minutes of work for room that a few seconds would give.
    Given a worker with a task of 2 cores that last saved 30 s ago
    And a task of 4 cores on it that last saved 1 s ago
    When the option is <state>, and a task needs the room
    Then the task of <cores> cores is preempted

    Examples:
      | state | cores |
      | off   | 2     |
      | on    | 4     |
