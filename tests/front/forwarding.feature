Feature: Forwarding of quotes to peers
  An instance without workers forwards quotes to peers. The state that it has of
  its peers is up to four seconds old.

  Scenario: The only peer known to have capacity is frozen
    Guards against quotes refused with "peer_lost" because the only peer that reported
    capacity never answers. Another peer, which has acquired workers since its last
    heartbeat, must be tried next, within the caller's time.
    Given a peer "frozen" with capacity and a peer "busy" without
    When "frozen" answers nothing and "busy" serves
    Then a quote is served by "busy" after "frozen" was asked
    And a quote is served by "busy" at once

  Scenario: A peer that left a quote unanswered is tried last until its next heartbeat
    Guards against every quote waiting for the same frozen peer, which is considered
    reachable for seconds more. Once it sends a heartbeat it is tried as before.
    Given a peer "frozen" with capacity and a peer "other" with less capacity
    When "frozen" answers nothing and "other" serves
    Then a quote is served by "other" after "frozen" was asked
    And a quote is served by "other" at once
    When "frozen" serves and sends a heartbeat
    Then a quote is served by "frozen" at once

  Scenario: A failed attempt takes precedence over another peer's lack of capacity
    The quote ran at one peer and failed there; the second peer has lost its workers.
    The caller must be told of the failure, not of the lack of capacity.
    Given a peer "failing" with capacity and a peer "bare" with less capacity
    When "failing" refuses "target_failed" as "unknown" and "bare" refuses "no_capacity" as "not_run"
    Then a quote is refused "target_failed" with outcome "unknown"

  Scenario: A peer that is sent no heartbeats is tried once it sent one
    Only two instances of another data centre are sent heartbeats. One is frozen and the
    other has lost its workers; a third one has capacity and sends heartbeats itself.
    Guards against quotes that are refused because only the first two are tried.
    Given a peer "frozen" with capacity and a peer "bare" without
    And a peer "third" that is sent no heartbeats
    When "frozen" answers nothing and "third" serves
    And "third" sends a heartbeat
    Then a quote is served by "third" after "frozen" was asked

  Scenario: No peer reported capacity, and one has acquired a worker since
    # Guards against quotes refused at once by an instance that depends on its peers.
    Given a peer "bare" without and a peer "taker" without
    When "bare" refuses "no_capacity" as "not_run" and "taker" serves
    Then a quote is served by "taker" after "bare" was asked
    And a quote is served by "taker" at once
    When "bare" serves and sends a heartbeat
    Then a quote is served by "bare" at once

  Scenario: While own workers are full too, peers without capacity are tried rarely
    # Guards against every refused quote being sent to all peers while all are full.
    Given a peer "full" without and a peer "other" without
    And own workers that are full, and an exhausted retry budget
    Then a quote is forwarded to no peer

  Scenario: A peer is removed from the list while another one is asked
    A frozen peer is asked first. The next one is replaced meanwhile, and its channel is
    closed. Guards against an internal error for the caller, who must be refused.
    Given a peer "frozen" with capacity and a peer "gone" with less capacity
    When "frozen" answers nothing and "gone" is removed from the list meanwhile
    Then a quote is refused "peer_lost" with outcome "unknown"
