Feature: The control loop
  Tasks slow down co-located quotes by a known amount. The loop sees only completed
  quotes and the lagging usage reports of the worker.

  Scenario: The kind that is to blame is throttled, and let go when it is over
    An interfering task joins a harmless one on a worker, and quotes take twice as long.
    The loop knows neither kind. It throttles, finds out which one is the cause, and
    converges without evictions and without oscillating.
    Given a worker with batch tasks
      | id    | kind  | noise |
      | noisy | scan  | 1.0   |
      | quiet | count | 0.0   |
    When 40 seconds pass
    Then quotes are within their target
    And "noisy" is throttled and "quiet" is not
    And nothing was evicted after at most 20 throttle requests
    When "noisy" ends and 15 seconds pass
    Then the worker takes batch tasks again

  Scenario Outline: Evictions are bounded, and never hit what can't start again
    The worker itself is slow, so throttling and evicting do not help enough. Releases
    are not batch work and must not be touched. The budget of 2 evictions and one more
    every 10 seconds keeps the loop from evicting all batch tasks.
    Given a worker that is slow by itself, with 20 tasks of noise 0.05 and a release
    And the team weighs <order>
    When 60 seconds pass
    Then at least 1 and at most 8 tasks were evicted, the first after <least> seconds
    And the release was neither throttled nor evicted

    Examples:
      | order                       | least |
      | tail, evictions, throughput | 12    |
      | tail, throughput, evictions | 3     |

  Scenario: Nothing is evicted that slows no quotes
    The worker itself is slow. Throttling shows that its tasks are not the cause, so
    they are unthrottled again. That takes three requests per task, including the one
    that resets the throttles of a previous owner.
    Given a worker that is slow by itself, with 20 tasks of noise 0.0 and a release
    When 60 seconds pass
    Then nothing was evicted after at most 60 throttle requests
    And no task is throttled any more

  Scenario: A task whose new owner gets no answer to its first order does not stay slow
    # Guards against a share that a new owner believes whole, though nobody was told.
    Given a worker with batch tasks
      | id    | kind  | noise |
      | quiet | count | 0.0   |
    And an earlier owner left 0.05 of its processors to each task
    And the next 1 orders are not answered
    When 5 seconds pass
    Then no task is throttled any more

  Scenario: A task throttled by an order without an answer does not stay slow
    # Guards against an order that is taken for not done, and was.
    Given a worker with batch tasks
      | id    | kind | noise |
      | noisy | scan | 1.0   |
    And the next 2 orders are carried out and not answered
    When 4 seconds pass
    And "noisy" makes no more noise and 30 seconds pass
    Then no task is throttled any more

  Scenario: A task that takes more memory than it declared makes way
    Measurements lag by a second. The task that exceeds its declaration the most is
    evicted, and no other one because of a measurement that still includes it.
    Given a worker with batch tasks
      | id     | kind  | noise | memory_gb |
      | modest | count | 0.0   | 30        |
      | greedy | scan  | 0.0   | 90        |
    When 5 seconds pass
    Then only "greedy" was evicted

  Scenario: A worker that is closed is not kept for a task that has waited long
    A worker is reserved for a task that has found no capacity for 3 seconds. A worker
    closed to batch work must not be, or the interference would return.
    Given a worker with batch tasks
      | id    | kind | noise |
      | noisy | scan | 1.0   |
    When 5 seconds pass
    Then a batch task that has waited 10 seconds has no worker reserved and finds no capacity
