Feature: Operators change settings while instances run
  Two instances of shymkent and one of taraz; no workers are needed.

  Scenario: An accepted change is in force everywhere within seconds
    When the desk sets its quota to 100 cores at "shymkent-0"
    Then the change is accepted
    And every instance has 100 cores in force within 5 seconds
    And "taraz-0" says that "shymkent, taraz" have the change in force

  Scenario: An operator sees an accepted change at any instance at once
    When the desk sets its quota to 101 cores at "shymkent-0"
    Then "taraz-0" shows 101 cores at once, read from the table

  Scenario: One of two racing operators wins, the other learns who did
    Two operators change the same revision at two instances at the same time. The
    loser gets 409 with the present revision and its author, and nothing of the
    loser's change is ever in force.
    When two operators change the present revision at once, 10 times
    Then each time one is accepted and the other told who was first

  Scenario: A change whose answer was lost stands once
    The table makes the change but its answer never comes. The instance tries
    again under the same checks, finds the change id, and answers accepted.
    Given the table loses every answer to a write
    When the desk sets its quota to 102 cores at "shymkent-0"
    Then the change is accepted
    And the history holds it once

  Scenario: A change that can't be cleared up is unknown until asked again
    The table makes the change, its answer is lost, and the table goes down before
    the instance can look. The operator is told `unknown`; asking again with the
    same id, at another instance, finds the change made, once.
    Given the table loses every answer to a write
    And it goes down once it has made the next change
    When the desk sets its quota to 103 cores at "shymkent-0"
    Then the answer is 503 "undecided" with the change id and when to come back
    When the table is well and the same change is asked for at "taraz-0"
    Then the change is accepted
    And the history holds it once
    When its id is used for another change
    Then the answer is 409 "change_id_conflict"

  Scenario: Bad settings are refused whole, with every fault
    When the desk sets settings with three faults
    Then the answer names each fault's path, value and what was expected
    And nothing has changed

  Scenario: A dry run tells what would change and changes nothing
    When the desk tries a quota of 110 cores without a release operation
    Then it is told both differences and what becomes of running releases
    And nothing has changed

  Scenario: Rolling forward to an earlier content brings no old token back
    The desk rotates a token, then takes up the revision before it. The content
    is that of the earlier revision; the withdrawn token stays withdrawn.
    When the desk rotates its caller's token and then rolls back before it
    Then the earlier content is in force as a new revision
    And the old caller's token is refused everywhere, the new one is not

  Scenario: No one reaches another team's settings, and no token is ever shown
    When callers, another team, strangers and the administrator ask for everything
    Then each gets only what is theirs
    And no token or hash stands in any answer or log

  Scenario: The history tells who changed what and when
    When the administrator creates the team "depot"
    And "depot" sets its quota to 9 cores
    Then its history names both authors, times and paths

  Scenario: An instance cut off from the table learns changes from its peers
    The platform can't be reached from one instance. It still gets every change
    from its peers, refuses to administer, and says how old its settings are.
    Given "taraz-0" is cut off from the platform
    When the desk sets its quota to 120 cores at "shymkent-0"
    Then "taraz-0" has 120 cores in force within 5 seconds
    And "taraz-0" refuses changes with "store_unavailable" and shows its memory
    And "taraz-0" reports stale settings until it is joined again

  Scenario: An instance started while the table is down learns from its peers
    When the table goes down and "taraz-1" is started
    Then "taraz-1" has the settings that are in force elsewhere

  Scenario: A table put back to an earlier state does not revert settings
    The platform restores an old backup. Instances keep what is in force, one
    writes it back, and an operator then finds it in the table again.
    When the table is put back to before the last change
    Then the change is never out of force, and the table holds it again

  Scenario: The command line changes, shows and follows settings
    When an operator works through the command line
    Then each command prints what it should and exits as documented
