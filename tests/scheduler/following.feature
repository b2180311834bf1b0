Feature: Watching rows of the store for changes

  Scenario: After a store outage, reads succeed again without delay
    The store refuses all requests for 4 s. Nothing has changed when it is back, so a
    long poll is answered only after its wait, and callers are refused until then.
    Given rows that are watched with long polls of 0.5 s
    When the store is down from 1 s to 5 s
    Then a read succeeds within 0.25 s after the outage
    And the watcher uses long polls again

  Scenario: A failing watch is logged once, and so is its recovery
    Requests that depend on the rows are refused while reads fail. The log must tell
    the reason, but with one line per outage rather than one per failed read.
    Given rows that are watched with long polls of 0.5 s
    When the store is down from 1 s to 5 s
    Then one log line tells that the watch was interrupted, why, and at which version
    And one log line tells after how many seconds it resumed

  Scenario Outline: A slow read of all rows does not undo a later change
    On a slow link a read of all rows takes seconds. A read for a caller beside it is
    answered first, with a data centre that was closed meanwhile. Guards against the
    older answer that opens it again: tasks were sent there until the next read.
    Given a store whose history is <history>, and a watcher that is reading all rows
    When a data centre is closed, a second read learns of that, and the first one ends
    Then the data centre is still closed, at the version of the second read

    Examples:
      | history        |
      | not known yet  |
      | lost           |

  Scenario: A store that was set up anew is followed although its versions are lower
    Given a store whose history is lost, and a watcher that is reading all rows
    When the first read ends
    Then the rows of the new store are delivered, at their version
