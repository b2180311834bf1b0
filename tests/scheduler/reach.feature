Feature: More workers than a leader can poll
  A leader must not take on more workers than it can handle. With 3,000 workers each
  leader renewed its lease too late, 1.0 to 1.3 s after the last time instead of 0.3 s,
  since polling all workers kept the processor busy; the next one polled as many, and
  there were eight leaders in 20 s. Meanwhile leases of workers expired, and accepted
  jobs did not run.

  Scenario Outline: The limit follows from a leader's processor and its descriptors
    Then a leader of <cores> cores and <descriptors> descriptors polls <workers> workers

    Examples:
      | cores | descriptors | workers |
      | 0.297 | 4100        | 300     |
      | 1.07  | 4100        | 428     |
      | 2.15  | 2000        | 400     |
      | 2.15  | 8192        | 860     |

  Scenario: Some workers of each rack are selected
    A task may ask for a rack. If the first workers by name were selected, whole racks
    would be left out, and such a task would wait forever.
    Then of 3000 workers in 375 racks the 1505 that are selected are 4 or 5 in each rack

  Scenario: Jobs run on the polled workers, and others take the place of lost ones
    Given 12 workers in 6 racks, of which a leader polls 6
    When a job of 12 tasks is submitted
    Then 12 tasks run on 6 workers of 6 racks
    When 2 of the workers without tasks are added, and 3 with tasks crash
    Then 6 workers are polled, and the job ends

  Scenario: All workers with runs of an earlier leader are polled
    A leader with a higher limit dies. The next one polls fewer workers; each one that
    runs something must be among them, so that its lease is extended and its ends are
    seen.
    Given 12 workers in 6 racks, of which a leader polls 12
    When a job of 48 tasks is submitted
    And a leader that polls 4 workers takes over, and 6 s pass
    Then 48 tasks run on 12 workers of 6 racks
    When each of these tasks ends
    Then 4 workers are polled, and the job ends

  Scenario: With 3,000 workers a leader polls no more than its limit
    Then with 3000 workers listed, 1505 are polled, and none of the others
