Feature: The fastest instance leads

  Scenario: A faster standby takes the lease from a slower holder
    # Callers' jobs start seconds late: after a kill a small instance was the first to
    # claim the lease, and all starts go through it for as long as it lives.
    Given an instance of 0.3 cores leads and renews its lease
    When a standby of 2 cores watches for 4 seconds
    Then the standby leads
    And the first holder is deposed by its next write

  Scenario: A standby that is as fast leaves the lease to its holder
    Given an instance of 1 core leads and renews its lease
    When a standby of 1.2 cores watches for 6 seconds
    Then the standby does not lead

  Scenario: A slower standby lets a faster one claim first
    Given an instance of 2 cores led and died
    When a standby of 0.3 cores and one of 2 cores watch from the same moment
    Then the faster standby leads

  Scenario: A slower standby leads when no faster one is left
    Given an instance of 2 cores led and died
    When a standby of 0.3 cores watches for 5 seconds
    Then the standby leads

  Scenario: A much slower standby looks seldom while the holder is well
    # Most instances of a large fleet are small ones that should not lead. Their looks
    # at the lease grow with the fleet, and each is a call to the store.
    Given an instance of 2 cores leads and renews its lease
    When a standby of 0.3 cores watches for 12 seconds
    Then it has looked 13 times at most

  Scenario: A leader that turns slow gives the lease up
    # Callers' jobs start late though the lease is renewed in time: the machine works
    # at a fifth of its speed. Others take over at once.
    Given an instance of 1 core leads and works as fast as ever
    When its work takes 5 times as long
    Then it gives the lease up
    And it leaves the lease to others for a while

  Scenario: A leader that was slow from the start keeps the lease
    # All machines are as slow; a lease that is handed on again and again would help
    # nobody.
    Given an instance of 1 core leads and was slow when it took the lease
    When its work takes 5 times as long
    Then it keeps the lease

  Scenario: One slow measurement does not count
    Given an instance of 1 core leads and works as fast as ever
    When one piece of its work takes 50 times as long
    Then it keeps the lease

  Scenario: A holder that lives is not deposed for being late
    # Guards against leaders that depose each other while each has too much to do.
    Given an instance of 2 cores leads and renews its lease each 0.6 s
    When a standby of 2 cores watches for 6 seconds
    And the holder is 1.7 s late once
    Then the standby does not lead

  Scenario: A holder that has just taken over many workers is given time
    # Guards against a takeover that is met by the next one.
    Given a standby of 2 cores saw another instance take over 800 workers
    Then the standby leads 2 to 3.2 s after the holder's last renewal
    When the holder has led for 8 seconds before it dies
    Then the standby leads 0.9 to 2.1 s after the holder's last renewal

  Scenario: A holder that has just taken over few workers is replaced as soon as another
    # Guards against starts that wait where leaders are lost one after the other.
    Given a standby of 2 cores saw another instance take over 30 workers
    Then the standby leads 0.9 to 2.1 s after the holder's last renewal

  Scenario: A late holder that dies is replaced while leases of workers go on
    # Guards against a holder that says it renews seldom and is waited for too long.
    Given an instance of 2 cores leads and renews its lease each 1.5 s
    When it dies, seen by a standby of 2 cores
    Then the standby leads 2 to 3.2 s after the holder's last renewal
