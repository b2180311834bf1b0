Feature: Answers to starts are overdue by how long answers take at present

  Scenario: Starts of a leader that reads answers late are not taken for lost
    # Guards against a busy leader that stops the runs it has just begun, has to start them
    # again, and so stays busy for good while most tasks wait beside unused workers.
    Given 10 workers whose answers take 400 ms
    When 5 times 10 tasks are started
    Then at most 10 of the starts were taken for lost
    And an answer is overdue after 1 s at most

  Scenario: An answer that is lost is noticed soon once answers are quick again
    Given 10 workers whose answers take 400 ms
    When 1 times 10 tasks are started
    And 150 answers take 10 ms
    Then an answer is overdue after 0.25 s at most

  Scenario: A check that is late itself waits for answers that were not read yet
    Given 10 workers whose answers take 400 ms
    When the check of a start comes 300 ms late
    Then the worker is not polled for it
    When the check of a start that has expired comes 300 ms late
    Then the worker is polled for it
