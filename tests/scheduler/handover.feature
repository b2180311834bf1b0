Feature: A leader that the store refuses hands the lease over
  It would go on polling and place nothing until a standby has watched the lease row for
  0.9 to 2 s, although the store answers all others.

  Scenario: A peer that the store answers takes the lease at once
    Given a leader in data centre A, and peer b in data centre B
    When the leader's writes have failed for 0.5 s
    Then peer b leads, and its next check returns the lease that it claimed
    And the leader has ended, and its next write fails as it is deposed

  Scenario Outline: Nobody is asked while that may be needless
    # Deposing a live leader costs a takeover.
    Given a leader in data centre A, and peer b in data centre B
    And <condition>
    When the leader's writes have failed for <seconds> s
    Then nobody was asked

    Examples:
      | condition                                        | seconds |
      | nothing else                                     | 0.35    |
      | the leader took over 1 worker 1.3 s ago          | 0.6     |
      | the leader took over 300 workers 2 s ago         | 0.6     |
      | the leader is stopping, and releases the lease   | 0.6     |
      | the store answers the leader's reads             | 0.85    |

  Scenario: A leader whose writes alone are lost asks later
    # One write that is lost or late is sent again after 0.55 s, and most likely succeeds.
    Given a leader in data centre A, and peer b in data centre B
    And the store answers the leader's reads
    When the leader's writes have failed for 1.1 s
    Then peer b leads, and its next check returns the lease that it claimed

  Scenario: The journal tells a lost write from a store that answers nothing
    Given a leader in data centre A, and peer b in data centre B
    When a write of the leader is lost without an answer
    Then 0.3 s later it is unconfirmed, and a read of its outcome was answered
    And it is confirmed once it has been sent again

  Scenario: A leader that stood still asks nobody
    # The answer to its write arrived in the meantime. If the lease is lost, the next
    # write shows that.
    Given a leader in data centre A, and peer b in data centre B
    When the leader stands still for 3 s, and its write succeeds right after that
    Then nobody was asked

  Scenario: A peer that is partitioned from the store too refuses, and the next is asked
    Given a leader in data centre A, and peers b, c and d in data centre B
    And the store is away for b and c
    When the leader's writes have failed for 0.5 s
    Then the peers answered "store_away, store_away, claimed"
    And peer d leads, and its next check returns the lease that it claimed

  Scenario: A peer that reads slowly refuses
    # Where the store is slow for all, another leader would be no better.
    Given a leader in data centre A, and peer b in data centre B
    And a read of b takes 0.3 s
    When the leader's writes have failed for 0.5 s
    Then the peers answered "store_away"

  Scenario: No more than three peers are asked a second
    # Where the store is away for all, each request is in vain.
    Given a leader in data centre A, and peers b, c, d, e and f in data centre B
    And the store is away for all peers
    When the leader's writes have failed for 1.3 s
    Then 3 peers were asked
    When the leader's writes have failed for 1.6 s
    Then 6 peers were asked, each of the 5 at least once

  Scenario: Peers are not asked about each late write
    # On a slow store each write of the leader succeeds after more than 0.4 s.
    Given a leader in data centre A, and peers b, c, d, e and f in data centre B
    And the store is away for all peers
    When each write succeeds after 0.5 s, an answer takes 0.2 s, and 6 s pass
    Then 5 to 6 peers were asked

  Scenario: Of two peers that were asked one wins
    Given a leader in data centre A, and peers b and c in data centre B
    When peer c is asked, and b claims the lease between c's read and its claim
    Then c answered "superseded", and b leads by the next token

  Scenario: A lost answer leaves the leader deposed by its next write
    Given a leader in data centre A, and peer b in data centre B
    And the answer of b is lost
    When the leader's writes have failed for 0.5 s
    Then the peers answered "silent"
    And peer b leads, and its next check returns the lease that it claimed
    And the leader's next write fails as it is deposed

  Scenario: After a lost answer the next peer tells who leads
    Given a leader in data centre A, and peers b and c in data centre B
    And the answer of b is lost
    When the leader's writes have failed for 0.5 s
    Then the peers answered "silent, superseded"
    And the leader has ended, and its next write fails as it is deposed

  Scenario: A renewal that took effect without an answer does not prevent a claim
    # The row has a newer version than the leader knows, with the same token.
    Given a leader in data centre A, and peer b in data centre B
    And the leader's last renewal took effect, and its answer was lost
    When the leader's writes have failed for 0.5 s
    Then peer b leads, and its next check returns the lease that it claimed

  Scenario: A request that is repeated or late claims nothing
    Given a leader in data centre A, and peers b and c in data centre B
    When the leader's writes have failed for 0.5 s
    And its request reaches b and c once more 1 s later
    Then b answered "superseded", and c answered "superseded"
    And peer b leads, and its next check returns the lease that it claimed

  Scenario Outline: A peer that should not lead refuses
    Given a leader in data centre A, and peer b in data centre B
    And b <state>
    When b is asked to take the lease
    Then b answered "<reason>", after <reads> reads

    Examples:
      | state                               | reason       | reads |
      | is stopping                         | stopping     | 0     |
      | is slow at present                  | slow         | 0     |
      | gave the lease up a moment ago      | backing_off  | 0     |
      | leads by an earlier token           | leading      | 0     |
      | checks the lease and claims it now  | busy         | 0     |
      | has under half of the leader's cores | small       | 1     |
      | finds no lease row                  | row_unusable | 1     |
      | finds a row that is no lease        | row_unusable | 1     |
      | cannot write to the store           | claim_failed | 3     |

  Scenario: A flood of requests costs the store a read each 0.2 s
    Given a leader in data centre A, and peer b in data centre B
    When b is asked by an earlier token 500 times in 2 s
    Then it has read the lease 10 to 11 times

  Scenario: A check that overlaps a claim on request does not claim once more
    # The row names this instance, which to a check looks like an earlier process of it.
    Given a leader in data centre A, and peer b in data centre B
    When b is asked to take the lease during the read of its own check
    Then the check returns the lease, by the next token

  Scenario: A lease that is claimed while the peer begins to stop is not left unused
    # It would have to time out, as nobody would renew or release it.
    Given a leader in data centre A, and peer b in data centre B
    When b is asked to take the lease, and stops before its next check
    Then the stop returns the lease, to be released

  Scenario: Other data centres come first, and unsuitable peers are left out
    # The store may refuse all of one data centre, and most peers of a large fleet are
    # too small to lead.
    Given a leader in data centre A, and these peers
      | name | data centre | cores | answers     |
      | b    | A           | 2     | store_away  |
      | c    | B           | 1     | not_served  |
      | d    | B           | 1.5   | store_away  |
      | e    | C           | 1     | small       |
      | f    | C           | 0.4   | claimed     |
    When the leader's writes have failed for 0.5 s
    Then the peers asked were "d, e, c"
    When the leader's writes have failed for 2.7 s
    Then the peers asked were "d, e, c, b, d, d, b"

  Scenario: Without the option nobody is asked
    Given a scheduler with the option, and one without
    Then only the first one watches its writes to hand the lease over
