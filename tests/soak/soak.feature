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

  Scenario: A short run on the users' platform keeps the promises to callers
    # Callers hand jobs in, repeat, ask and cancel at real instances on the platform's
    # protocols, while instances and workers are killed, paused, stopped and cut off and
    # the store is away, slow, loses answers and forgets. Faults come one in a second.
    Given seed 5 ran for 12 seconds on the users' platform, a fault each 1 second
    Then each promise was exercised there, and held
