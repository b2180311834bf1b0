Feature: Quotes at peers
  An instance without workers of its own passes quotes on. What it knows of its
  peers is up to four seconds old.

  Scenario: The only peer known to have room is frozen
    The caller's quote waits for a peer that never answers. Another one told of no
    room in its last heartbeat, has taken workers since, and is asked after it; the
    caller has its answer within its time, where it was told "peer_lost" before.
    Given a peer "frozen" with room and a peer "busy" without
    When "frozen" answers nothing and "busy" serves
    Then a quote is served by "busy" after "frozen" was asked
    And a quote is served by "busy" at once

  Scenario: A peer that left a quote unanswered is asked last until it is heard of
    The first quote finds out that a peer is frozen, at the cost of most of its time.
    The peer counts as reachable for seconds more, and the next quotes must not
    find it out again; once it sends a heartbeat it is asked as before.
    Given a peer "frozen" with room and a peer "other" with less room
    When "frozen" answers nothing and "other" serves
    Then a quote is served by "other" after "frozen" was asked
    And a quote is served by "other" at once
    When "frozen" serves and sends a heartbeat
    Then a quote is served by "frozen" at once

  Scenario: A failed attempt tells more than another peer's lack of room
    The quote ran at a peer's workers and failed there. The second peer has lost its
    workers. The caller is told of the failure, and not that there was no room.
    Given a peer "failing" with room and a peer "bare" with less room
    When "failing" refuses "target_failed" as "unknown" and "bare" refuses "no_capacity" as "not_run"
    Then a quote is refused "target_failed" with outcome "unknown"

  Scenario: A peer that is sent no heartbeats is asked once it sent one
    Of another data centre only two instances are sent heartbeats. One of these is
    frozen and the other has lost its workers; the third one, with all the room,
    sends heartbeats itself. Quotes went to the first two only, and were refused.
    Given a peer "frozen" with room and a peer "bare" without
    And a peer "third" that is sent no heartbeats
    When "frozen" answers nothing and "third" serves
    And "third" sends a heartbeat
    Then a quote is served by "third" after "frozen" was asked

  Scenario: No peer told of room, and one has taken a worker since
    # Guards against quotes refused at once by an instance that depends on its peers.
    Given a peer "bare" without and a peer "taker" without
    When "bare" refuses "no_capacity" as "not_run" and "taker" serves
    Then a quote is served by "taker" after "bare" was asked
    And a quote is served by "taker" at once
    When "bare" serves and sends a heartbeat
    Then a quote is served by "bare" at once

  Scenario: Where own workers are full too, peers without room are asked now and again
    # Guards against each refusal asking all peers while everybody is full.
    Given a peer "full" without and a peer "other" without
    And own workers that are full, and no retries to spend
    Then a quote finds no peer to ask
