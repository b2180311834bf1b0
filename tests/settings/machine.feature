Feature: Accepted settings hold, whatever the table does
  Operators race at three instances while the table is down, loses answers after
  the write took effect, or lets a write take effect long after its answer was
  given up. Instances read, learn from each other and restart in between. An
  operator who was told `accepted` must find the change; one who was told
  `not_made` must never; no instance may go back to an earlier revision.

  Scenario: Random histories agree with the oracle
    Then 300 random histories of settings keep every promise

  Scenario: An instance reads one row for each look while nothing changes
    Given 150 teams' settings in a table
    When an instance looks 100 times
    Then it has read 100 rows besides the 151 of the first look
    When 3 teams' settings change and the instance looks once
    Then it has read 4 rows more

  Scenario: An instance takes up a large tree from a peer in parts
    Given 150 teams' settings in a table
    When an instance learns them from a peer in answers of at most 4000 bytes
    Then it has all 150 teams in force after more than one answer

  Scenario: A subtree that this version can't read is not said to be in force
    Given 2 teams' settings in a table
    When a later program writes a field that this one doesn't know
    Then the instance keeps what it has and its sequence number

  Scenario: The history keeps a bounded number of revisions
    When one team's settings change 503 times
    Then its history holds 500 revisions and as many change ids

  Scenario: No change is built on a table that has lost changes
    The table is put back to before a change that is in force. A change based on
    what it holds now would undo that one, so it is held off until an instance has
    written the lost change back.
    Given 2 teams' settings in a table
    When it is put back to before a change, and an operator changes what it shows
    Then the operator is told to ask again, for "table_behind"
    And the lost change is written back, and can then be built on

  Scenario: A lost change is written back though the peer furthest on is gone
    The table is put back; a peer that is further on than all is heard of, and
    leaves it to that peer, but the peer dies before it writes back. The operator
    would be told "table_behind" for good if the others went on waiting for it.
    Given 2 teams' settings in a table
    And a peer that says to be further on but can't be asked
    When it is put back to before a change, and the instance looks 100 times
    Then the table still lacks the change
    When that peer is gone and the instance looks 100 times
    Then the lost change is written back, and can then be built on

  Scenario: A new instance makes no change before it has heard its peers
    The table is put back to before a change, and an instance starts that knows
    of nothing else. A change made there would undo the one that peers hold.
    Given 2 teams' settings in a table
    And a peer that says to be further on but can't be asked
    When the instance is asked for a change before it has heard of that peer
    Then it made none before 3 seconds were over

  Scenario: A token belongs to one team
    When a second team enters the hash of the first one's token
    Then it is refused, naming "tokens.0.sha256" and no hash

  Scenario: A subtree that stays malformed is logged once and without its values
    Given 2 teams' settings in a table
    When a bad token hash is in the table and the instance looks 5 times
    Then one line is logged, without the hash

  Scenario: The example files of both users start instances
    Then each of 8 and 9 process settings is whole, with an address of its own
