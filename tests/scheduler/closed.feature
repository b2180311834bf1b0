Feature: Nothing more is sent to the workers of a closed data centre

  Scenario: Tasks start elsewhere until the data centre is open again
    The operator empties a data centre, and takes it back later. Tasks went on starting
    there, and callers lost the work when it was switched off.
    Given a leader, a worker in data centre "a" and one in "b"
    When the operator closes "a"
    And jobs of 6 tasks are handed in
    Then 4 of them run, all in "b"
    When the operator opens "a" again
    Then all 6 of them run

  Scenario: What runs in a data centre that is closed runs on
    Its tasks' leases are extended and their ends taken in: most end before the workers go.
    Given a leader, a worker in data centre "a" and one in "b"
    When jobs of 6 tasks are handed in
    And the operator closes "a"
    And rounds go on for 5 seconds
    Then all 6 of them run
    When each of these runs ends
    Then both of these jobs are completed
