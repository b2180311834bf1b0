Feature: The leader publishes its backlog in the lease row

  Scenario: Work ahead of a job counts by its place in the order
    # Guards against small jobs that count as late behind work that they go before.
    Given the waiting jobs of priority 0 and 2, of which some can end in time
    Then a small job of priority 2 has only the urgent work ahead
    And a large one has all work ahead
    And the published text has less than 1500 bytes, and is read as it was written

  Scenario: Without the option the row is written as before
    Given workers "w1" and a leader
    When 60 rounds pass
    Then the lease row has no backlog

  Scenario: With the option the waiting work is published, once the workers are known
    Given workers "w1" and a leader that refuses late jobs
    When 20 jobs of 4 tasks are waiting, and 5 rounds pass
    Then the lease row has no backlog
    When 60 rounds pass
    Then the lease row tells of more than 100 core-seconds
    When another leader takes over
    Then the lease row has no backlog

  Scenario: Work that waits for something else than room is not published
    # Guards against jobs that are refused beside idle workers for ever.
    Given workers "w1" and a leader that refuses late jobs
    When 20 jobs wait for a label that no worker has, and 60 rounds pass
    Then the lease row tells of no waiting work

  Scenario: Figures of an earlier plan are not published for ever
    # Guards against a leader that plans no more and goes on renewing its lease.
    Given workers "w1" and a leader that refuses late jobs
    When 20 jobs of 4 tasks are waiting, and 60 rounds pass
    And it writes for 2 s without planning
    Then the lease row has no backlog
