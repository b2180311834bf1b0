Feature: Sizes, ejection and fair shares
  Declared sizes are wrong, some workers fail all they start, some jobs can never
  run, and teams share what there is. Each is decided from what was seen.

  Scenario: The larger of declared and learned is reserved
    # A task that uses more than it declared overloads its worker while the
    # ledger still shows room, and all its neighbours slow down.
    Given workers "a" and "b"
    When tasks of "batch.scan" that declare 2 cpus are measured at 6 cpus
    And a "batch.scan" task that declares 2 cpus is placed
    Then the ledger holds between 5.5 and 6 cpus

  Scenario: A learned size beyond every worker is capped, a declared one refused
    Given workers "a" and "b"
    When tasks of "batch.scan" that declare 2 cpus are measured at 90 cpus
    And a "batch.scan" task that declares 2 cpus is placed
    Then the ledger holds between 32 and 32 cpus
    And "placement.size_capped" is counted
    When a "batch.huge" task that declares 64 cpus is placed
    Then it is refused as "too_large" for good

  Scenario: A worker that fails what others do well is ejected, probed, readmitted
    # It fails at once, so it always looks idle and draws ever more work.
    Given three workers "a", "b" and "c"
    When "fuel.quote" succeeds on "b" and fails 5 times on "a"
    Then "a" is ejected and gets nothing
    When 2 seconds pass
    Then "a" gets one task at a time
    When its probes succeed
    Then "a" is not ejected

  Scenario: At most a third of the workers is ejected
    # Something else than the workers fails, such as the network in between.
    Given three workers "a", "b" and "c"
    When "fuel.quote" succeeds on "c" and fails 5 times on "a"
    And "fuel.quote" succeeds on "c" and fails 5 times on "b"
    Then "a" is ejected and gets nothing
    And "b" is not ejected
    And "placement.ejection_bounded" is counted

  Scenario: A job that fails everywhere is poisoned and its workers stay
    Given three workers "a", "b" and "c"
    When "fuel.quote" succeeds on every worker
    And job "j" fails 6 times on "a" and 6 times on "b"
    Then job "j" is poisoned as "fails_everywhere"
    And "a" is not ejected

  Scenario: An unused share is lent, and reclaimed as work ends
    # The borrower's work runs on; it only gets no more until the owner has its own.
    Given workers "a" and "b"
    And quotas of 8 cpus for "one" and 8 cpus for "two"
    When "one" starts 8 tasks of 2 cpus
    Then 8 were placed
    When "two" waits for room
    And "one" starts 1 tasks of 2 cpus
    Then it is refused as "quota" with a time to come back
    And the next team of "one" and "two" is "two"

  Scenario: A quote that can't make its deadline is told at once
    # Waiting would only end in a timeout after the caller has hung up.
    Given workers "a" and "b"
    When quotes take 900 ms everywhere
    And a quote with 0.3 seconds left is placed
    Then it is refused as "deadline" with a time to come back
    When 2 seconds pass
    And a quote with 0.3 seconds left is placed
    Then it is placed

  Scenario: Run times come from the worker and say when to come back
    # From claim to recorded end takes longer than the task itself ran.
    Given workers "a" and "b"
    When a "batch.tidy" task is placed that its worker says ran 3 seconds
    And batch tasks are placed until none fits
    And 1 seconds pass
    Then a "batch.tidy" task is told to come back in 2 seconds

  Scenario: Whatever is placed, measured and ended, no worker is overfull
    # Learned sizes change while work runs, and work ends in any order; the sum on
    # a worker must stay what it can carry.
    Then random work on three workers never overfills one
