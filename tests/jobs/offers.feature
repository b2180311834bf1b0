Feature: Urgent tasks offered to peers
  An instance without a worker on which it can evict asks a peer to evict batch
  tasks for an urgent one, and the peer accepts the task once there is room.

  Scenario: One peer at a time makes room
    The order of peers by free capacity changes with each heartbeat. Asked in that
    order, another peer would evict in each round, all for the same task.
    Given peers "p1,p2,p3" that would make room in 3 rounds
    When an urgent task is offered in 5 rounds, each with another order of the peers
    Then one peer accepted it, and no other was asked to make room

  Scenario: After a peer that can't make room, the next one is asked
    The first peer's workers run urgent tasks and releases, which are never evicted.
    Given peers "p1,p2" that would make room in 1 rounds
    And "p1" can't make room
    When an urgent task is offered in 3 rounds
    Then "p2" accepted it

  Scenario: A peer of another data centre is not asked to evict
    It would evict batch tasks for a task whose data are in this data centre.
    Given peers "far" that would make room in 1 rounds
    And "far" is in another data centre
    When an urgent task is offered in 3 rounds
    Then no peer was asked to make room

  Scenario: A peer evicts nothing for a task that it is merely offered
    The holder offers the task because of a heartbeat that is a second old. It can
    evict on workers of its own; without the distinction, both would evict.
    Given workers "a" with 4 batch tasks of 6 cores
    When a peer offers an urgent task "now" of 12 cores
    Then it is refused for "no_capacity" and 0 batch tasks were evicted
    When a peer offers an urgent task "now" of 12 cores and asks to make room
    Then it is refused for "clearing" and 1 batch tasks were evicted
    When a peer offers an urgent task "now" of 12 cores and asks to make room
    Then it is accepted

  Scenario Outline: A task whose offer was lost is offered again
    The offer or its answer is lost, so the task's row is polled for a claim of the
    peer, for 10 seconds. An urgent task is offered again sooner; if the peer has
    claimed it after all, the row keeps it from starting twice.
    Given a holder without workers, the first answer to whose offers is lost
    When a job that is <kind> is submitted
    Then its task is offered again within <seconds> seconds, and not before <least>

    Examples:
      | kind       | seconds | least |
      | urgent     | 2.1     | 0.5   |
      | not urgent | 12      | 10    |

  Scenario Outline: A job is cancelled while a peer is asked to run its task
    The task waits when the job is cancelled, and is offered when the peer answers.
    Guards against a task that the peer then runs to its end, while its job is reported
    as cancelling, or has even been recorded as cancelled.
    Given a holder without workers, whose job is cancelled while a peer is asked
    And the end of the job is recorded <when> the peer answers
    When the peer accepts the task
    Then the task is cancelled, and the job ends as cancelled

    Examples:
      | when   |
      | after  |
      | before |

  Scenario: A peer claims an offered task just as its job is cancelled
    The row of the task is polled before the claim, and the cancellation of the task
    conflicts with it. Guards against a task that counts as cancelled because its row was
    not there yet, and that the peer runs to its end.
    Given a holder without workers, whose cancellation of a task conflicts with a claim
    When an urgent task is offered, and its job is cancelled as the poll finds no claim
    Then the task is cancelled again, and the job ends as cancelled
