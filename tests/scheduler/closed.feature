Feature: Nothing more is sent to the workers of a closed data centre

  Scenario: Tasks start elsewhere until the data centre is open again
    An operator closes a data centre, and reopens it later. Guards against tasks that
    are still started there, and are lost when it is switched off.
    Given a leader, a worker in data centre "a" and one in "b"
    When the operator closes "a"
    And jobs of 6 tasks are submitted
    Then 4 of them run, all in "b"
    When the operator opens "a" again
    Then all 6 of them run

  Scenario: Tasks that run in a data centre when it is closed continue
    Their leases are still extended and their ends processed: most end before the
    workers leave.
    Given a leader, a worker in data centre "a" and one in "b"
    When jobs of 6 tasks are submitted
    And the operator closes "a"
    And rounds go on for 5 seconds
    Then all 6 of them run
    When each of these runs ends
    Then both of these jobs are completed
