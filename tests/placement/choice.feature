Feature: Choice of worker
  How much one task slows down another depends on the two kinds and on the load of the
  worker, and is only known afterwards. A chooser based on load alone places a quote
  next to a single interfering task and avoids a worker full of harmless ones.

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
    # A wave of interfering tasks that is placed at once would affect every worker until
    # the first of the tasks end.
    Given workers "a" and "b"
    And 6 "batch.scan" run on "a" and 1 "batch.tidy" on "b"
    And quotes took 60 ms beside the scan and 21 ms beside the tidy tasks
    When a quote is placed
    Then a "batch.scan" task has to wait
    But a "batch.tidy" task does not
    When 6 seconds pass
    Then a "batch.scan" task does not

  Scenario: The quietest worker drains although none is quiet
    # A wave places a few interfering tasks on each worker. No worker was reserved for
    # quotes then, so the rest of the wave was placed too and every quote was slow.
    Given workers "a" and "b"
    And 6 "batch.scan" run on "a" and 3 "batch.scan" on "b"
    And quotes took 60 ms beside the scan and 21 ms beside the tidy tasks
    When a quote is placed
    Then a "batch.scan" task has to wait

  Scenario: Slots are kept for bursts of quotes on the quiet worker
    # A burst takes two slots; the next quote was placed next to interfering work.
    Given workers "a" and "b"
    And 6 "batch.scan" run on "a" and 4 "batch.tidy" on "b"
    And quotes took 60 ms beside the scan and 21 ms beside the tidy tasks
    When a quote is placed
    Then a "batch.tidy" task has to wait

  Scenario: A worker that turned slow is left, and tried again later
    # The worker is slow whatever it runs. Its factor decays within seconds; otherwise no
    # quote would be placed there again and its recovery would go unnoticed.
    Given workers "a" and "b"
    When quotes take 20 ms on "b" and 200 ms on "a"
    And a quote is placed
    Then it goes to "b"
    When 30 seconds pass
    Then quotes are predicted to take less than 30 ms on "a"

  Scenario: Batch leaves room for quotes
    # Batch work that is placed first must not fill all slots, or quotes find none.
    Given workers "a" and "b"
    When batch tasks are placed until none fits
    And a quote is placed
    Then it is placed

  Scenario: Learned slowdowns come near the true ones
    # Each observation is the sum over all neighbours, which have to be separated.
    When 3000 quotes are seen beside neighbours that add 0.9, 0.3 and 0
    Then the learned slowdowns are within 0.15 of that
