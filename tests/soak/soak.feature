Feature: All promises together, under mixed faults
  Callers quote, order, repeat, cancel, watch, submit jobs, change settings,
  while instances are killed, frozen or cut off, the table is slow or loses its
  answers, workers die or lose starts. What the callers were told is held
  against the logs of the stand-ins, which no fault erases. The schedule comes
  from the seed alone, so that each run meets the same faults.

  Scenario: A short run of real processes keeps the promises to callers
    Given seed 3 ran for 12 seconds with the faults
      | kill | freeze | cut | lose_answers | table_slow | lose_starts | kill_worker |
    Then these promises were exercised, and held
      | 1 | 2 | 3 | 5 | 7 | 8 | 8b | 11 | 12 | 13 |
    And nothing else was broken

  Scenario Outline: Runs on the users' platform keep the promises to callers
    # Callers hand in, repeat, ask and cancel, while real instances and workers are killed,
    # paused, stopped and cut off and the store is away, slow, loses answers and forgets.
    Given the platform's soak ran for <seconds> s with seed <seed> and gap <gap> s
    Then each promise was exercised there, and held

    # 102: entries of workers lapsed and came back within one reading.
    Examples:
      | seed | seconds | gap |
      | 5    | 12      | 1   |
      | 102  | 30      | 1.2 |

  Scenario: A run in which tasks crash workers and these keep their names breaks nothing
    # Half of the workers start again under their names; capacity shrinks and grows.
    Given the platform's soak ran for 20 s with seed 13 and gap 1.2 s, with second lives
    Then no promise was broken there
