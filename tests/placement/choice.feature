Feature: Choice of worker
  How much one task slows another depends on which two share a worker and on its
  load, and is only seen afterwards. A chooser that goes by load alone sends a
  quote next to the one noisy task and passes by a worker full of harmless ones.

  Scenario: A noisy neighbour is learned and avoided
    Given workers "a" and "b"
    And 1 "batch.scan" run on "a" and 4 "batch.tidy" on "b"
    And quotes took 60 ms beside the scan and 21 ms beside the tidy tasks
    When a quote is placed
    Then it goes to "b"

  Scenario: Batch that harms quotes gathers where quotes no longer go
    Given workers "a" and "b"
    And 4 "batch.scan" run on "a" and 1 "batch.tidy" on "b"
    And quotes took 60 ms beside the scan and 21 ms beside the tidy tasks
    When a "batch.scan" task is placed
    Then it goes to "a"

  Scenario: The last worker that is quiet for quotes is kept so
    # A wave of noisy tasks is placed at once; it would leave every worker noisy
    # until the first of its tasks end.
    Given workers "a" and "b"
    And 6 "batch.scan" run on "a" and 1 "batch.tidy" on "b"
    And quotes took 60 ms beside the scan and 21 ms beside the tidy tasks
    When a quote is placed
    Then a "batch.scan" task has to wait
    But a "batch.tidy" task does not
    When 6 seconds pass
    Then a "batch.scan" task does not

  Scenario: The quietest worker drains although none is quiet
    # A wave fills all workers with a few noisy tasks each. Nothing was protected
    # then, the rest of the wave came as well, and every quote was slow.
    Given workers "a" and "b"
    And 6 "batch.scan" run on "a" and 3 "batch.scan" on "b"
    And quotes took 60 ms beside the scan and 21 ms beside the tidy tasks
    When a quote is placed
    Then a "batch.scan" task has to wait

  Scenario: Slots are kept for bursts of quotes on the quiet worker
    # Two slots are taken by a burst; the next quote had to go beside the noise.
    Given workers "a" and "b"
    And 6 "batch.scan" run on "a" and 4 "batch.tidy" on "b"
    And quotes took 60 ms beside the scan and 21 ms beside the tidy tasks
    When a quote is placed
    Then a "batch.tidy" task has to wait

  Scenario: A worker that turned slow is left, and tried again later
    # The worker itself is slow, whatever runs there. Its slowness is forgotten
    # within seconds, or nothing would ever be sent there again to see it mend.
    Given workers "a" and "b"
    When quotes take 20 ms on "b" and 200 ms on "a"
    And a quote is placed
    Then it goes to "b"
    When 30 seconds pass
    Then quotes are predicted to take less than 30 ms on "a"

  Scenario: Batch leaves room for quotes
    # Batch comes first and would fill every slot; a quote would find none.
    Given workers "a" and "b"
    When batch tasks are placed until none fits
    And a quote is placed
    Then it is placed

  Scenario: Learned slowdowns come near the true ones
    # Each observation mixes all neighbours; the shares must be told apart.
    When 3000 quotes are seen beside neighbours that add 0.9, 0.3 and 0
    Then the learned slowdowns are within 0.15 of that
