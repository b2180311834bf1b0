Feature: Ownership of workers
  The work that all instances together start on a worker stays within its capacity,
  even if instances die, freeze or are cut off from anything.

  Scenario: The shares of all owners of a worker never exceed its capacity
    Random sequences of starts, ends, lease expiries (noticed or not), renewals,
    releases and takeovers. The oracle is the load on the worker itself: a share
    computed from outdated knowledge of another owner shows as load above capacity.
    Then no sequence of events exceeds the worker's capacity

  Scenario: A claim whose answer was lost takes effect
    The row names this instance as the owner, but it never received the answer. Guards
    against a worker that stays idle for ever because everyone considers it owned.
    Given two instances that share a table and one worker
    When "a" claims the worker and the answer is lost
    Then "a" uses the worker after its next refresh

  Scenario: A planned shutdown hands everything over at once
    The stopping instance ends its session itself, after its quotes. The peer must not
    wait for the lease to expire, nor withhold anything.
    Given two instances that share a table and one worker
    When "a" claims the worker and releases everything
    Then "b" has the whole worker after its next refresh

  Scenario Outline: A planned shutdown hands over whatever happens to its last write
    Callers were refused for 3 s, as peers waited for the lease to expire. A renewal, due
    once a second, had changed the row whose version the last write checks; and that
    write was not repeated.
    Given two instances that share a table and one worker
    When "a" claims the worker and releases everything, and <event>
    Then "b" has the whole worker after its next refresh
    And "a" has no lease, and did not take its session for lost

    Examples:
      | event                               |
      | the answer to a renewal was lost    |
      | a renewal is in flight              |
      | the table refuses the first write   |
      | the answer to the write is lost     |

  Scenario: What an earlier owner retained is reclaimed only after the row is written
    The write fails just when the earlier owner is known to have stopped. If its share
    were used before the write, the next owner would underestimate this one's share.
    Given two instances that share a table and one worker
    When "a" claims the worker and its session expires with 2 slots of durable work
    Then "b" claims it and withholds 3 slots
    When "a" is registered again but writes by "b" fail
    Then "b" still withholds 3 slots
    When the table accepts writes again
    Then "b" has the whole worker after its next refresh

  Scenario: After an outage the first instance to read ends nobody's session
    No row could be renewed during the outage, so all rows look expired after it. Guards
    against needless handovers of every worker.
    Given two instances that share a table and one worker
    When "a" claims the worker and the table is down for longer than the lease
    Then "b" refreshes first and "a" still has the whole worker after its renewal

  Scenario: A killed owner's workers are taken over within seconds
    Its lease expires and the others divide its workers. Half of each is withheld until
    the platform no longer lists the instance, as it might only be cut off.
    Given a stage of 3 instances and 3 workers in one data centre
    When the owner of a worker is killed
    Then the worker has another owner within 7 seconds
    When the platform no longer lists the killed instance
    Then its new owner uses the whole worker within 5 seconds
    And no worker's capacity was ever exceeded

  Scenario: An owner frozen past its lease starts nothing durable when it resumes
    It resumes with releases waiting to be started, while its worker has another owner.
    It must notice this before starting them, and rejoin on its own.
    Given a stage of 3 instances and 3 workers in one data centre
    And quotes and releases arrive at every instance
    When the owner of a worker is frozen until another has acquired it
    Then it rejoins within 10 seconds
    And after the takeover nothing durable of the old owner was started
    And no worker's capacity was ever exceeded

  Scenario: An owner cut off from the table alone continues with half its capacity
    It still reaches the workers, but can't renew its lease. The peer that acquires its
    workers must leave it what it still uses until it is back.
    Given a stage of 3 instances and 3 workers in one data centre
    And quotes and releases arrive at every instance
    When the owner of a worker is cut off from the platform until another acquired it
    Then quotes at the cut-off instance are answered by its own workers
    When the connection is restored
    Then it rejoins within 10 seconds
    And every worker is fully usable again within 10 seconds
    And no worker's capacity was ever exceeded

  Scenario: The table is down for longer than the lease
    No worker can change its owner. All instances continue to serve quotes on half their
    capacity, refuse durable work, and recover fully without a handover.
    Given a stage of 3 instances and 3 workers in one data centre
    And quotes and releases arrive at every instance
    When the table is down until every lease has expired
    Then quotes are answered at every instance
    And a release is refused with "store_unavailable" at every instance
    And a new watch receives all its events at every instance
    When the table is up again
    Then all leases hold within 5 seconds and no worker changed its owner
    And no worker's capacity was ever exceeded

  Scenario: An instance owns no worker when the table goes down
    # Guards against callers who wait in vain, or are refused although peers have
    # capacity.
    Given a stage of 3 instances and 1 worker in one data centre
    And quotes and releases arrive at every instance
    When the table is down until every lease has expired
    Then quotes are answered at every instance
    And a new watch is refused at once by the instances that own no worker

  Scenario: A data centre is cut off from the platform
    Unlike a table that refuses requests, the platform does not answer: every call hangs
    until its timeout. Quotes must not wait for any such call.
    Given a stage of 3 instances and 3 workers in one data centre
    And quotes and releases arrive at every instance
    When every instance is cut off from the platform until every lease has expired
    Then quotes are answered at every instance
    When the connection is restored
    Then all leases hold within 8 seconds and no worker changed its owner
    And no worker's capacity was ever exceeded

  Scenario: Two instances of a data centre can't reach each other
    Both reach the table and the workers; only the connection between them is cut.
    Neither may consider the other dead: ownership stays, and both continue to answer.
    Given a stage of 3 instances and 3 workers, the first two instances disconnected
    And quotes and releases arrive at every instance
    When the pair has been disconnected for longer than the lease
    Then quotes are answered at every instance
    And all leases hold within 1 seconds and no worker changed its owner
    And no worker's capacity was ever exceeded

  Scenario: A claim that is answered after the session was lost is not used
    The instance is slow or frozen while its claim is under way. Its lease expires, a peer
    takes the worker over, and a new run of the instance is registered before the answer of
    the claim is read. Guards against two instances that each use the whole worker.
    Given two instances that share a table and one worker
    When "a" claims the worker, and loses its session to "b" before the answer
    Then "b" has the worker and "a" has none

  Scenario: A claim that is answered while everything is given up is not used
    The session is lost while quotes are in flight, so the instance waits for them. A new
    run is registered only after that, when it must own nothing.
    Given two instances that share a table and one worker
    When "a" claims the worker, and is waiting for its quotes at the answer
    Then "a" has no worker as its new run is registered
