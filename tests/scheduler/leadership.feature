Feature: The fastest instance leads

  Scenario: A faster standby takes the lease from a slower holder
    # All starts go through the leader. If a small instance is the first to claim the
    # lease after a crash, starts are seconds late for as long as it leads.
    Given an instance of 0.3 cores leads and renews its lease
    When a standby of 2 cores checks the lease for 4 seconds
    Then the standby leads
    And the first holder is deposed by its next write

  Scenario: A standby that is as fast leaves the lease to its holder
    Given an instance of 1 core leads and renews its lease
    When a standby of 1.2 cores checks the lease for 6 seconds
    Then the standby does not lead

  Scenario: A slower standby lets a faster one claim first
    Given an instance of 2 cores led and crashed
    When a standby of 0.3 cores and one of 2 cores check the lease together
    Then the faster standby leads

  Scenario: A slower standby leads when no faster one is left
    Given an instance of 2 cores led and crashed
    When a standby of 0.3 cores checks the lease for 5 seconds
    Then the standby leads

  Scenario: A much slower standby seldom checks the lease of a live holder
    # Most instances of a large fleet are small ones that should not lead. Each check is
    # a call to the store, and their number grows with the fleet.
    Given an instance of 2 cores leads and renews its lease
    When a standby of 0.3 cores checks the lease for 12 seconds
    Then it has checked the lease 13 times at most

  Scenario: A leader that becomes slow releases the lease
    # Its machine works at a fifth of the usual speed. The lease is still renewed in
    # time, but starts are late.
    Given an instance of 1 core leads and works at full speed
    When its work takes 5 times as long
    Then it releases the lease
    And it lets others claim the lease first for a while

  Scenario: A leader that was slow from the start keeps the lease
    # All machines are as slow, so passing the lease on would help nobody.
    Given an instance of 1 core leads and was slow when it claimed the lease
    When its work takes 5 times as long
    Then it keeps the lease

  Scenario: A single slow measurement does not count
    Given an instance of 1 core leads and works at full speed
    When one measurement of its work takes 50 times as long
    Then it keeps the lease

  Scenario: A live holder is not deposed for renewing late
    # Guards against busy leaders that depose each other in turn.
    Given an instance of 2 cores leads and renews its lease each 0.6 s
    When a standby of 2 cores checks the lease for 6 seconds
    And the holder is 1.7 s late once
    Then the standby does not lead

  Scenario: A holder that has just taken over many workers gets a longer time-out
    # Guards against a takeover that is interrupted by the next one.
    Given a standby of 2 cores saw another instance take over 800 workers
    Then the standby leads 2 to 3.2 s after the holder's last renewal
    When the holder has led for 8 seconds before it crashes
    Then the standby leads 0.9 to 2.1 s after the holder's last renewal

  Scenario: A holder that has just taken over few workers gets the usual time-out
    # Guards against starts that wait when one leader after the other is lost.
    Given a standby of 2 cores saw another instance take over 30 workers
    Then the standby leads 0.9 to 2.1 s after the holder's last renewal

  Scenario: A crashed holder with long renewal intervals is replaced before worker leases end
    # Guards against waiting too long for a holder that reports long intervals.
    Given an instance of 2 cores leads and renews its lease each 1.5 s
    When it crashes, observed by a standby of 2 cores
    Then the standby leads 2 to 3.2 s after the holder's last renewal
