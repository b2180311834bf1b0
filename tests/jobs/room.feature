Feature: Room for urgent tasks
  An urgent task that finds no room is kept a worker, and batch tasks on it are
  evicted until it fits. Whatever goes wrong with an eviction, the next round of
  placing sees what is still lacking.

  Scenario: An eviction that fails is tried again
    The worker does not take the order to store a checkpoint. The urgent task
    waited until a batch task ended by itself: the worker was kept, so it counted
    as being cleared, and nobody looked whether it was.
    Given workers "a" with 4 batch tasks of 6 cores
    And evictions fail
    When an urgent task "now" of 12 cores finds no room
    And evictions succeed again
    And an urgent task "now" of 12 cores finds no room
    Then 1 batch task was evicted, and "now" fits

  Scenario: Evictions under way are not doubled
    A checkpoint takes a while; each round of placing would evict one task more.
    Given workers "a" with 4 batch tasks of 6 cores
    And evictions take 0.5 seconds
    When an urgent task "now" of 12 cores finds no room in 5 rounds
    Then 1 batch task was evicted, and "now" fits

  Scenario: The tasks on a worker that was just taken are evicted once they are known
    Its list says that it is full, but the rows of what runs there are read a
    second later. Kept meanwhile, it was never cleared.
    Given workers "a" with 4 batch tasks of 6 cores
    And the tasks on "a" are not yet in hand
    When an urgent task "now" of 12 cores finds no room
    And the tasks on "a" are in hand
    And an urgent task "now" of 12 cores finds no room
    Then 1 batch task was evicted, and "now" fits

  Scenario: Nothing is evicted where it would not make enough room
    A release holds most of the worker and can't be evicted; the batch task there
    would lose its place, and the urgent one would wait as before.
    Given workers "a" with 1 batch tasks of 6 cores
    And a release of 24 cores on "a"
    When an urgent task "now" of 12 cores finds no room
    Then 0 batch tasks were evicted, and "now" does not fit

  Scenario: An urgent task that runs keeps no room from the next one
    The first runs for long. The second was to wait for its end, as only one
    worker at a time is kept, and the first one's was still.
    Given workers "a,b" with 4 batch tasks of 6 cores
    When an urgent task "first" of 12 cores finds no room
    And "first" is started
    And an urgent task "second" of 12 cores finds no room
    Then 2 batch tasks were evicted, and "second" fits

  Scenario: Room is made for what the task will be given, not for what it declared
    Tasks of its kind took 18 cores where they declared 12, so it is placed as one
    of 18. Room for 12 was made, the task did not fit, and nobody made more.
    Given workers "a" with 4 batch tasks of 6 cores
    And the kind of "now" was seen to take 18 cores
    When an urgent task "now" of 12 cores finds no room
    Then 2 batch tasks were evicted, and "now" fits

  Scenario: A worker that was kept for a job that is cancelled is open again
    The job's task waits no longer and never starts, so nobody gave the worker
    back: it took no batch task any more.
    Given workers "a" with 4 batch tasks of 6 cores
    And a release of 8 cores on "a"
    When an urgent task "now" of 32 cores finds no room
    And the batch tasks end and "now" is asked for no more
    Then a batch task of 6 cores fits
