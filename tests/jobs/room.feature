Feature: Room for urgent tasks
  A worker is reserved for an urgent task that does not fit, and batch tasks are
  evicted there until it does. If an eviction fails, the next placement round
  evicts what is still missing.

  Scenario: An eviction that fails is tried again
    The worker refuses the order to store a checkpoint. Regression: the reservation
    was taken to mean that evictions were in progress, so none was retried, and the
    urgent task waited until a batch task completed.
    Given workers "a" with 4 batch tasks of 6 cores
    And evictions fail
    When an urgent task "now" of 12 cores finds no room
    And evictions succeed again
    And an urgent task "now" of 12 cores finds no room
    Then 1 batch task was evicted, and "now" fits

  Scenario: Evictions in progress are not repeated
    A checkpoint takes a while; otherwise each placement round would evict one more.
    Given workers "a" with 4 batch tasks of 6 cores
    And evictions take 0.5 seconds
    When an urgent task "now" of 12 cores finds no room in 5 rounds
    Then 1 batch task was evicted, and "now" fits

  Scenario: Tasks on a worker that was just taken over are evicted once known
    The worker reports that it is full, but the rows of its tasks are read a second
    later. Regression: the worker was reserved before that, and nothing was evicted.
    Given workers "a" with 4 batch tasks of 6 cores
    And the tasks on "a" are not yet adopted
    When an urgent task "now" of 12 cores finds no room
    And the tasks on "a" are adopted
    And an urgent task "now" of 12 cores finds no room
    Then 1 batch task was evicted, and "now" fits

  Scenario: Nothing is evicted where it would not make enough room
    A release uses most of the worker and can't be evicted; the batch task would be
    evicted, and the urgent one would still have to wait.
    Given workers "a" with 1 batch tasks of 6 cores
    And a release of 24 cores on "a"
    When an urgent task "now" of 12 cores finds no room
    Then 0 batch tasks were evicted, and "now" does not fit

  Scenario: A running urgent task holds no reservation against the next one
    Regression: the reservation of the first task lasted as long as it ran. As only
    one worker is reserved at a time, the second had to wait for its end.
    Given workers "a,b" with 4 batch tasks of 6 cores
    When an urgent task "first" of 12 cores finds no room
    And "first" is started
    And an urgent task "second" of 12 cores finds no room
    Then 2 batch tasks were evicted, and "second" fits

  Scenario: Room is made for the learned size of a task, not for the declared one
    Tasks of the kind used 18 cores and declared 12, so the task is placed as one of
    18. Regression: room for 12 was made, and the task did not fit.
    Given workers "a" with 4 batch tasks of 6 cores
    And tasks of the kind of "now" used 18 cores
    When an urgent task "now" of 12 cores finds no room
    Then 2 batch tasks were evicted, and "now" fits

  Scenario: A worker reserved for a job that is cancelled becomes available again
    The job's task neither waits nor starts. Regression: the reservation was never
    cancelled, and the worker accepted no batch task any more.
    Given workers "a" with 4 batch tasks of 6 cores
    And a release of 8 cores on "a"
    When an urgent task "now" of 32 cores finds no room
    And the batch tasks end and "now" does not renew its reservation
    Then a batch task of 6 cores fits
