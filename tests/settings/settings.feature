Feature: Operators change settings while instances run
  Two instances of shymkent and one of taraz; no workers are needed.

  Scenario: An accepted change is in force everywhere within seconds
    When the desk sets its quota to 100 cores at "shymkent-0"
    Then the change is accepted
    And every instance has 100 cores in force within 5 seconds
    And "taraz-0" reports that "shymkent, taraz" have the change in force

  Scenario: An operator sees an accepted change at any instance at once
    When the desk sets its quota to 101 cores at "shymkent-0"
    Then "taraz-0" shows 101 cores at once, read from the table

  Scenario: One of two concurrent changes is accepted, the other is told by whom
    Two operators change the same revision at two instances at the same time. The
    refused one gets 409 with the current revision and its author, and no part of
    the refused change is ever in force.
    When two operators change the current revision concurrently, 10 times
    Then each time one is accepted and the other is told the author of the first

  Scenario: A change whose answer was lost is made once
    The table commits the change but its answer is lost. The instance retries with
    the same checks, finds the change id, and answers accepted.
    Given the table loses every answer to a write
    When the desk sets its quota to 102 cores at "shymkent-0"
    Then the change is accepted
    And the history contains it once

  Scenario: The outcome of a change is unknown until a retry resolves it
    The table commits the change, its answer is lost, and the table goes down before
    the instance can retry. The operator is told `unknown`; a retry with the same id
    at another instance finds that the change was made once.
    Given the table loses every answer to a write
    And it goes down once it has committed the next change
    When the desk sets its quota to 103 cores at "shymkent-0"
    Then the answer is 503 "undecided" with the change id and when to retry
    When the table is up and the same change is requested at "taraz-0"
    Then the change is accepted
    And the history contains it once
    When its id is used for another change
    Then the answer is 409 "change_id_conflict"

  Scenario: Invalid settings are refused as a whole, with every fault
    When the desk sets settings with three faults
    Then the answer names each fault's path, value and what was expected
    And nothing has changed

  Scenario: A dry run shows what would change and changes nothing
    When the desk tries a quota of 110 cores without a release operation
    Then it is shown both differences and a warning about running releases
    And nothing has changed

  Scenario: Restoring an earlier revision does not bring a revoked token back
    The desk rotates a token, then restores the revision before that. The content
    is that of the earlier revision, but the revoked token stays revoked.
    When the desk rotates its caller's token and restores the revision before
    Then the earlier content is in force as a new revision
    And the old caller's token is refused everywhere, the new one is not

  Scenario: Settings are private to their team, and tokens are never shown
    When callers, another team, strangers and the administrator ask for everything
    Then each gets only what it is authorized for
    And no answer or log contains a token or a hash

  Scenario: The history shows who changed what and when
    When the administrator creates the team "depot"
    And "depot" sets its quota to 9 cores
    Then its history names both authors, times and paths

  Scenario: An instance cut off from the table learns changes from its peers
    One instance cannot reach the platform. It still gets every change from its
    peers, refuses to make changes, and reports the age of its settings.
    Given "taraz-0" is cut off from the platform
    When the desk sets its quota to 120 cores at "shymkent-0"
    Then "taraz-0" has 120 cores in force within 5 seconds
    And "taraz-0" refuses changes with "store_unavailable" and answers from memory
    And "taraz-0" reports stale settings until it is reconnected

  Scenario: An instance started while the table is down learns from its peers
    When the table goes down and "taraz-1" is started
    Then "taraz-1" has the settings that are in force elsewhere

  Scenario: A table restored to an earlier state does not revert settings
    The platform restores an old backup. Instances keep the settings in force, and
    one of them writes the lost change back to the table.
    When the table is restored to the state before the last change
    Then the change stays in force, and the table contains it again

  Scenario: The command line changes, shows and follows settings
    When an operator runs each settings command
    Then each command prints what it should and exits as documented
