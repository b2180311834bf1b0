Feature: Discovery of peers
  Scenario: Running peers stay reachable
    Guards against a gRPC server that is garbage collected because nothing refers to it:
    peers reach it at first and are refused from then on.
    Given 2 instances in "shymkent" and 1 in "taraz" that reach each other
    When each has sent 4 more heartbeats to each peer
    Then every instance reaches every other and no heartbeat was refused meanwhile

  Scenario: Only a few peers of another data centre are sent heartbeats
    With heartbeats between all pairs, 88 instances would spend their whole budget on
    them. All peers in the own data centre are sent heartbeats, and two in each other.
    Given an instance that is told of 7 local peers and 8 in each of 10 other data centres
    Then it sends heartbeats to 27 of them and knows the addresses of all 87

  Scenario: An instance that never received the platform's list learns from a peer
    It starts while it is cut off from the platform. A peer that has the list sends it a
    heartbeat; it asks that peer for the others and must reach them all.
    Given 2 instances in "shymkent" and 1 in "taraz" that reach each other
    When "shymkent-9" starts cut off from the platform
    Then "shymkent-9" reaches every other instance

  Scenario: A peer replaced while the platform is unreachable is found again
    An instance is cut off from the platform, and its peers are replaced one by one under
    the same names but at new addresses. Guards against calling the old addresses, without
    receiving settings or forwarding anything, although the new peers' heartbeats give
    their addresses.

    Given an instance that is told of 2 local peers and 1 in each of 1 other data centres
    When "n0" is replaced and sends a heartbeat from "127.0.0.1:10"
    Then it sends heartbeats to "n0" at "127.0.0.1:10", and knows 3 peers as before

  Scenario: A peer that is chosen again is sent one heartbeat at a time
    An instance of another data centre leaves the platform's list and comes back, so that
    the one next in order is sent heartbeats, then not, then again, all between two of
    them. Guards against a further stream of heartbeats to it each time.
    Given an instance that sends heartbeats to 2 of 3 peers in another data centre
    When one of the 2 is missing from the list 3 times within a second
    Then the third peer is sent 1 heartbeat in each interval
