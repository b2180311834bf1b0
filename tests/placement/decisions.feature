Feature: Sizes, ejection and fair shares
  Declared sizes may be wrong, workers may fail every task, jobs may fail on every
  worker, and teams share the capacity. Placement decides by observed outcomes.

  Scenario: The larger of declared and learned is reserved
    # A task that uses more than it declared overloads its worker while the ledger still
    # shows free capacity, and slows down all of its neighbours.
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
    Then it is refused as "too_large" permanently

  Scenario: A worker that fails what others do well is ejected, probed, readmitted
    # A worker that fails immediately always looks idle and attracts more and more work.
    Given three workers "a", "b" and "c"
    When "fuel.quote" succeeds on "b" and fails 5 times on "a"
    Then "a" is ejected and gets nothing
    When 2 seconds pass
    Then "a" gets one task at a time
    When its probes succeed
    Then "a" is not ejected

  Scenario: At most a third of the workers is ejected
    # The cause may be something other than the workers, such as the network.
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

  Scenario: A job that fails on the only worker of an instance is not poisoned
    Guards against a job that is refused for good because one sick worker failed it,
    though other instances have workers.
    Given an instance with worker "a", which is one of 3 listed
    When "fuel.quote" succeeds on every worker
    And job "j" fails 6 times on "a" and 0 times on "b"
    Then job "j" is not poisoned

  Scenario: A job that fails on the only listed worker is poisoned
    Given an instance with worker "a", which is one of 1 listed
    When "fuel.quote" succeeds on every worker
    And job "j" fails 6 times on "a" and 0 times on "b"
    Then job "j" is poisoned as "fails_everywhere"

  Scenario: An unused share is lent, and reclaimed as work ends
    # Work of the borrower continues, but it may start no more until the team below its
    # quota has its share.
    Given workers "a" and "b"
    And quotas of 8 cpus for "one" and 8 cpus for "two"
    When "one" starts 8 tasks of 2 cpus
    Then 8 were placed
    When "two" waits for capacity
    And "one" starts 1 tasks of 2 cpus
    Then it is refused as "quota" with a retry-after time
    And the next team of "one" and "two" is "two"

  Scenario: A quote that can't make its deadline is told at once
    # Running the quote would only end after the caller has timed out.
    Given workers "a" and "b"
    When quotes take 900 ms everywhere
    And a quote with 0.3 seconds left is placed
    Then it is refused as "deadline" with a retry-after time
    When 2 seconds pass
    And a quote with 0.3 seconds left is placed
    Then it is placed

  Scenario: A slow first answer gets no quote with its time left refused
    # The first answer was taken for the run time of the kind, and later ones corrected
    # it by a hundredth each. After a few late ones, quotes that workers would have
    # answered in 15 ms were refused with a full second left.
    Given three workers "a", "b" and "c"
    When the first quote takes 160 ms
    And 480 quotes are placed, 24 at a time, each with 1 second left
    And they take 15 ms, but the last 6 of every 60 take 900 ms
    Then none was refused for its deadline

  Scenario: Run times come from the worker and say when to come back
    # The time from the reservation to the recorded end exceeds the run time.
    Given workers "a" and "b"
    When a "batch.tidy" task is placed that its worker says ran 3 seconds
    And batch tasks are placed until none fits
    And 1 seconds pass
    Then a "batch.tidy" task is told to retry after 2 seconds

  Scenario: Whatever is placed, measured and ended, no worker is overfull
    # Learned sizes change while work runs, and work ends in any order. The sum on each
    # worker must never exceed its capacity.
    Then random work on three workers never overfills one
