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
