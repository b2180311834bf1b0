Feature: Ends that come while the table is away, over separate processes
  Two instances of one data centre and a worker, whose owner runs orders that end while it
  is cut off from the table. Their callers don't wait for the ends. Then the worker is killed
  and comes back without its state.

  Scenario: The owner is stopped, and its peer is cut off as well
    Guards against ends that a planned stop leaves unwritten: callers were told for good
    that the outcome can't be known.
    Given 2 instances, one of which runs orders of 0.8 s
    When all instances are cut off from the table
    And the owner is stopped
    And the worker is killed once the owner is gone
    And the cut is over, and the worker and the owner are back
    Then all orders are told as completed

  Scenario: The owner lives on, and its peer takes the worker
    Guards against ends that an adoption overtakes.
    Given 2 instances, one of which runs orders of 0.8 s
    When the owner alone is cut off from the table
    And the worker is killed once the owner knows the ends, and comes back
    And the peer has taken the worker
    And the cut is over
    Then all orders are told as completed

  Scenario: The owner is killed after it could not write the ends
    Guards against ends that only the owner knows.
    Given 2 instances, one of which runs orders of 0.8 s
    When all instances are cut off from the table
    And the owner is killed once its peer keeps the ends
    And the worker is killed once the owner is gone
    And the cut is over, and the worker and the owner are back
    Then all orders are told as completed

  Scenario: The owner is stopped, and has no peer
    Guards against a stop that ends with unwritten ends, with most of its time limit left.
    Given 1 instance, which runs orders of 0.8 s
    When all instances are cut off from the table
    And the owner is stopped
    And the cut is over after 8 s
    And the worker is killed once the owner is gone
    Then the rows of all orders are completed

  Scenario: The owner is stopped while orders run
    Guards against ends that nobody hears: while the table is away, nobody can take the
    worker of an instance that stops.
    Given 2 instances, one of which runs orders of 5 s
    When all instances are cut off from the table
    And the owner is stopped
    And the worker is killed once the owner is gone
    And the cut is over, and the worker and the owner are back
    Then all orders are told as completed
