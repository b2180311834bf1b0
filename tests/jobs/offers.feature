Feature: Urgent tasks offered to peers
  An instance that has no worker to clear has a peer evict batch tasks for its
  urgent one, and gives the task to that peer once there is room.

  Scenario: One peer at a time makes room
    Which peer told of more room changes with each heartbeat. Asked in that order,
    another one would evict in each round, all for the same task.
    Given peers "p1,p2,p3" that would make room in 3 rounds
    When an urgent task is offered in 5 rounds, to the peers in another order each
    Then one peer took it, and no other was asked to make room

  Scenario: A peer that can't make room leaves it to the next one
    Its workers are full of urgent tasks and releases, which are never evicted.
    Given peers "p1,p2" that would make room in 1 rounds
    And "p1" can't make room
    When an urgent task is offered in 3 rounds
    Then "p2" took it

  Scenario: A peer of another data centre is not asked to evict
    Its batch tasks would make way for a task whose data lie elsewhere.
    Given peers "far" that would make room in 1 rounds
    And "far" is in another data centre
    When an urgent task is offered in 3 rounds
    Then no peer was asked to make room

  Scenario: A peer evicts nothing for a task that it is merely offered
    The holder believes that the peer has room, from a heartbeat that is a second
    old. It has workers of its own to clear; both would evict.
    Given workers "a" with 4 batch tasks of 6 cores
    When a peer offers an urgent task "now" of 12 cores
    Then it is refused for "no_capacity" and 0 batch tasks were evicted
    When a peer offers an urgent task "now" of 12 cores and asks to make room
    Then it is refused for "clearing" and 1 batch tasks were evicted
    When a peer offers an urgent task "now" of 12 cores and asks to make room
    Then it is accepted

  Scenario Outline: A task whose offer was lost is offered again
    The peer never had the offer, or its answer is lost: the task's row will tell.
    An urgent task is not left for the 10 seconds that others have for that; if
    the peer has claimed it all the same, the row keeps it from starting twice.
    Given a holder without workers, the first answer to whose offers is lost
    When a job is handed in that is <kind>
    Then its task is offered again within <seconds> seconds, and not before <least>

    Examples:
      | kind       | seconds | least |
      | urgent     | 2.1     | 0.5   |
      | not urgent | 12      | 10    |
