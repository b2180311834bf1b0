Feature: End to end
  Each kind of work is served end to end, by separate processes.

  Scenario: A quote is answered by any instance
    When a dispatcher asks every instance for a quote
    Then each answer contains its own request

  Scenario: A release runs once, and its outcome can be asked for again
    When a release "r-1" is ordered at one instance
    And the same release is ordered at another instance
    Then both answers say that it completed
    And the workers' logs show one start of "r-1"

  Scenario: A repeated request id with another body is a conflict
    When a release "r-2" is ordered at one instance
    And the release "r-2" is ordered with another body
    Then the second is answered 409 "body_conflict"

  Scenario: A watch returns all events in order and resumes after a given one
    When a tail number with 5 events is watched
    Then the events 1 to 5 come in order
    When it is watched again after event 3
    Then the events 4 to 5 come in order

  Scenario: A batch job runs all its tasks
    When a job of 6 tasks is submitted
    Then all 6 tasks complete within 20 seconds
