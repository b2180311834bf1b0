Feature: Order of jobs when there is not room for all

  Callers wait for an answer that is in time. When more work arrives than the workers
  can do, jobs that progress side by side all end late, and the backlog delays later
  ones.

  Scenario Outline: In a burst more jobs end in time than in order of arrival
    # The load: jobs of unequal size, <times> times what the workers can do for
    # <seconds> s, then half of it. Run times are known to a factor of two.
    Given jobs that come <times> times as fast as they can be done for <seconds> s
    When they are done in order of arrival, and as planned
    Then as planned at least <gain> times as many end in time over 5 seeds
    And as planned no fewer end in time on any seed
    And all jobs end

    Examples:
      | times | seconds | gain |
      | 2.5   | 13      | 2.5  |
      | 3     | 6       | 1.8  |

  Scenario: With room for all jobs none is deferred
    Given jobs that come 0.5 times as fast as they can be done for 10 s
    When they are done in order of arrival, and as planned
    Then as planned at least 0.99 times as many end in time over 5 seeds

  Scenario: The job with the most work is deferred for the others, and selected again
    Given jobs due in 4 s with 10, 12 and 30 core-seconds left
    When they are planned for 10 cores
    Then 2 can end in time, and the largest goes last
    When they are planned for 20 cores
    Then 3 can end in time, and the largest goes last

  Scenario: In a burst of jobs of all sizes more is done in time than by size alone
    # Guards against large orders that wait for ever, each time behind smaller ones: the
    # value of what ends in time, by size and a part for each job, and no fewer jobs.
    Given jobs that come 3 times as fast as they can be done for 6 s
    When they are done by the least work left, and as planned
    Then as planned what ends in time is worth 1.02 times as much over 12 seeds
    And as planned at least 1 times as many end in time over 12 seeds

  Scenario: A large job that is nearly done is not dropped for small new ones
    Given a job of 100 core-seconds due in 4 s with 14 left, and 3 jobs of 12 due in 4 s
    When they are planned for 10 cores
    Then the large one can end in time, and goes first
