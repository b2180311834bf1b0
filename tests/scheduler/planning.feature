Feature: The order of jobs follows from their progress

  Scenario: With room for all jobs no order is computed
    Given 3 jobs, of which the first has the most work left
    When none of their tasks has waited for room
    Then none is deferred, and all have the same rank

  Scenario: Once some tasks have waited, jobs with the least work go first
    Given 3 jobs, of which the first has the most work left
    When a task has waited for room, and 8 cores are there
    Then the first goes last and is deferred

  Scenario: No job is deferred once none has arrived for a while
    # Guards against a large job that waits forever: it is deferred for others that
    # might arrive, and none does.
    Given 3 jobs, of which the first has the most work left
    When a task has waited for room, and 8 cores are there
    And 6 s pass without a new job
    Then none is deferred

  Scenario: A job that arrives after the plan goes last, until it is in a plan
    # Guards against large new jobs that take the room that comes free before the next
    # plan, ahead of jobs that could still be in time.
    Given 3 jobs, of which the first has the most work left
    When a task has waited for room, and 8 cores are there
    And a job with hardly any work comes 0.01 s later
    Then it goes last
    When 0.05 s pass
    Then it goes first

