Feature: Who may give a worker work
  What all instances together give a worker stays within what it can carry,
  whichever of them dies, freezes or is cut off, and from what.

  Scenario: The shares of all owners of one worker never exceed it
    Random orders of starts, ends, lapses noticed or not, renewals, releases,
    takeovers. The oracle is the sum on the worker itself: a share computed from
    what another knows, or knew earlier, would show as a sum above capacity.
    Then no order of events gives the worker more than it can carry

  Scenario: A claim whose answer was lost is not forgotten
    The row names this instance as owner, yet it never learned so. Others see
    a live owner, it sees somebody's worker: the worker would idle for ever.
    Given two instances that share a table and one worker
    When "a" takes the worker and the answer is lost
    Then "a" uses the worker at its next look

  Scenario: A planned stop gives everything to the peer at once
    The stopping instance ends its session itself, after its quotes; the peer
    need not wait for the lease, and keeps nothing back for it.
    Given two instances that share a table and one worker
    When "a" takes the worker and releases all
    Then "b" has the whole worker at its next look

  Scenario: What an earlier owner kept is used only after the row says so
    The table fails just as the earlier owner is known to be gone. Used before
    it is written, the next taker would reckon with too small a share of ours.
    Given two instances that share a table and one worker
    When "a" takes the worker and its session lapses with 2 slots of durable work
    Then "b" takes it and keeps 3 slots back
    When "a" is registered again but the table fails "b" in writing
    Then "b" still keeps 3 slots back
    When the table takes writes again
    Then "b" has the whole worker at its next look

  Scenario: After an outage nobody's lease is ended by who looks first
    During the outage no row could move. The first to read after it sees rows as
    old as the outage: ended for that, every worker would change hands for nothing.
    Given two instances that share a table and one worker
    When "a" takes the worker and the table fails all for longer than the lease
    Then "b" looks first and "a" is still whole after its renewal

  Scenario: A killed owner's workers are taken within seconds
    Its lease runs out, the rest divide its workers. Half of each is kept back
    until the platform's list no longer has it: it might only be cut off.
    Given a stage of 3 instances and 3 workers in one data centre
    When the owner of a worker is killed
    Then the worker has another owner within 7 seconds
    When the platform no longer lists the killed instance
    Then its new owner uses the whole worker within 5 seconds
    And no worker was ever given more than it can carry

  Scenario: An owner frozen past its lease starts nothing durable when it wakes
    It wakes with releases waiting to be started, and its worker has another
    owner by then. It must notice before the start, and join again by itself.
    Given a stage of 3 instances and 3 workers in one data centre
    And quotes and releases arrive at every instance
    When the owner of a worker is frozen until another has taken it
    Then it joins again within 10 seconds
    And after the takeover nothing durable of the old owner was started
    And no worker was ever given more than it can carry

  Scenario: An owner cut from the table alone goes on with half
    It reaches the workers, the table does not hear from it. The peer that takes
    its workers must leave it what it still uses, until it is back.
    Given a stage of 3 instances and 3 workers in one data centre
    And quotes and releases arrive at every instance
    When the owner of a worker is cut from the platform until another took it
    Then quotes at the cut instance are answered by its own workers
    When the cut is healed
    Then it joins again within 10 seconds
    And every worker is whole again within 10 seconds
    And no worker was ever given more than it can carry

  Scenario: The table is down for longer than the lease
    Nobody can take anything. All go on with quotes on half of what they have,
    refuse what must be recorded, and are whole again without a handover.
    Given a stage of 3 instances and 3 workers in one data centre
    And quotes and releases arrive at every instance
    When the table is down until every lease has lapsed
    Then quotes are answered at every instance
    And a release is refused with "store_unavailable" at every instance
    And a new watch is told its events to the last at every instance
    When the table is up again
    Then all leases hold within 5 seconds and no worker changed its owner
    And no worker was ever given more than it can carry

  Scenario: An instance owns no worker when the table goes down
    # Guards against callers who wait in vain, or are refused although peers have room.
    Given a stage of 3 instances and 1 worker in one data centre
    And quotes and releases arrive at every instance
    When the table is down until every lease has lapsed
    Then quotes are answered at every instance
    And a new watch is refused at once by the instances that own no worker

  Scenario: A data centre is cut off from the platform
    Unlike a table that refuses, the platform is silent: every call hangs until
    its timeout. Quotes must not wait for any of them.
    Given a stage of 3 instances and 3 workers in one data centre
    And quotes and releases arrive at every instance
    When every instance is cut from the platform until every lease has lapsed
    Then quotes are answered at every instance
    When the cut is healed
    Then all leases hold within 8 seconds and no worker changed its owner
    And no worker was ever given more than it can carry

  Scenario: Two instances of a data centre can't reach each other
    Each reaches the table and the workers, only the pair is cut. Neither may
    hold the other for dead: ownership stays, and both go on answering.
    Given a stage of 3 instances and 3 workers whose first pair is cut
    And quotes and releases arrive at every instance
    When the pair has been unreachable for longer than the lease
    Then quotes are answered at every instance
    And all leases hold within 1 seconds and no worker changed its owner
    And no worker was ever given more than it can carry
