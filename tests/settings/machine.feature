Feature: Accepted settings are durable under faults of the table
  Operators make concurrent changes at three instances while the table is down,
  loses answers after the write took effect, or applies a write long after the
  caller timed out. Instances read, fetch from each other and restart in between. A
  change answered `accepted` must exist, one answered `not_made` must never exist,
  and no instance may revert to an earlier revision.

  Scenario: Random histories agree with the oracle
    Then 300 random histories of settings keep all invariants

  Scenario: A refresh reads one row while nothing changes
    Given 150 teams' settings in a table
    When an instance refreshes 100 times
    Then it has read 100 rows besides the 151 of the first refresh
    When 3 teams' settings change and the instance refreshes once
    Then it has read 4 more rows

  Scenario: An instance fetches many settings from a peer in several answers
    Given 150 teams' settings in a table
    When an instance fetches them from a peer in answers of at most 4000 bytes
    Then it has all 150 teams in force after more than one answer

  Scenario: A subtree that this version cannot parse is not reported as in force
    Given 2 teams' settings in a table
    When a later version writes a field that this one does not know
    Then the instance keeps its settings and its sequence number

  Scenario: The history keeps a bounded number of revisions
    When one team's settings change 503 times
    Then its history holds 500 revisions and as many change ids

  Scenario: No change is based on a table that has lost changes
    The table is restored to the state before a change that is in force. A change
    based on the restored content would undo that change, so it is refused until an
    instance has written the lost change back.
    Given 2 teams' settings in a table
    When the table loses a change, and an operator changes what it contains
    Then the operator is told to retry, with the reason "table_behind"
    And the lost change is written back, and a change based on it is accepted

  Scenario: A lost change is written back when the peer with later changes is gone
    The table loses a change. The instance leaves writing back to a peer that
    reports a later change, but that peer dies first. If the instance went on
    waiting for it, changes would be refused with "table_behind" for ever.
    Given 2 teams' settings in a table
    And a peer that reports later changes but does not answer
    When the table loses a change, and the instance refreshes 100 times
    Then the table still lacks the change
    When that peer is gone and the instance refreshes 100 times
    Then the lost change is written back, and a change based on it is accepted

  Scenario: A new instance makes no change before it has heard from its peers
    The table has lost a change and an instance starts that knows only the table.
    A change made there would undo the lost one, which the peers still have.
    Given 2 teams' settings in a table
    And a peer that reports later changes but does not answer
    When the instance is asked for a change before it has heard from that peer
    Then it makes the change no earlier than after 3 seconds

  Scenario: A token belongs to one team
    When a second team enters the hash of the first one's token
    Then it is refused, naming "tokens.0.sha256" and no hash

  Scenario: A malformed subtree is logged once and without its values
    Given 2 teams' settings in a table
    When a bad token hash is in the table and the instance refreshes 5 times
    Then one line is logged, without the hash

  Scenario: The example files of both users start instances
    Then the 8 and 9 example process settings are valid and share no address
