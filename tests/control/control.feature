Feature: The control loop
  Quotes slow down as the tasks beside them say; the loop sees only the quotes
  that ended, and the worker's lagging usage.

  Scenario: The kind that is to blame is throttled, and let go when it is over
    A noisy task comes to a worker with a quiet one, and quotes take twice as
    long. The loop knows neither; it throttles, sees which of them it was, and
    settles. Nothing is evicted, and nothing swings to and fro.
    Given a worker with batch tasks
      | id    | kind  | noise |
      | noisy | scan  | 1.0   |
      | quiet | count | 0.0   |
    When 40 seconds pass
    Then quotes are within their target
    And "noisy" is throttled and "quiet" is not
    And nothing was evicted after at most 20 orders
    When "noisy" ends and 15 seconds pass
    Then the worker takes batch tasks again

  Scenario Outline: Evictions are bounded, and never hit what can't start again
    The worker is slow by itself, so throttling and evicting help too little.
    Releases on the worker are no batch work. The budget of 2 evictions and one
    more every 10 seconds keeps the loop from sweeping the batch tasks away.
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
    The worker is slow by itself; throttling shows that its tasks are not to
    blame, so they get all their processors back. That is three orders a task,
    with the one that clears up after an earlier owner.
    Given a worker that is slow by itself, with 20 tasks of noise 0.0 and a release
    When 60 seconds pass
    Then nothing was evicted after at most 60 orders
    And no task is throttled any more

  Scenario: A task that takes more memory than it declared makes way
    Measurements are a second old. The task furthest past its declaration is
    evicted once, and not a second one for the measurement that still shows it.
    Given a worker with batch tasks
      | id     | kind  | noise | memory_gb |
      | modest | count | 0.0   | 30        |
      | greedy | scan  | 0.0   | 90        |
    When 5 seconds pass
    Then only "greedy" was evicted

  Scenario: A worker that is closed is not kept for a task that has waited long
    Tasks that find no room for 3 seconds are kept a worker. On a closed one that
    would bring back the very noise it was closed for.
    Given a worker with batch tasks
      | id    | kind | noise |
      | noisy | scan | 1.0   |
    When 5 seconds pass
    Then a batch task that has waited 10 seconds is kept no worker and finds no room
