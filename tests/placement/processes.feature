Feature: Placement over separate processes
  Placement as seen by callers, with one instance and three workers.

  Scenario: A worker that fails everything costs no quote
    # The worker fails immediately, so it looks idle and attracts work. Each failed quote
    # is retried on another worker, and after a few failures only probes are sent.
    Given one instance with three workers
    When 20 quotes are asked for
    And the first worker fails everything
    And 60 quotes are asked for
    Then all were answered
    And at most 15 tasks failed on the first worker
    When the first worker recovers
    Then it carries quotes again within 10 seconds

  Scenario: A quote without the time for it is refused before it starts
    Given one instance with three workers
    When quotes that take 0.4 seconds are asked for with 0.2 seconds left
    Then the last is answered 504 "deadline" at once, with a retry-after time

  Scenario: A job that fits no worker is refused at once, and holds up no other
    Given one instance with three workers
    When a job of 2 tasks that need 64 cpus is refused 422 "too_large" permanently
    And a job of 2 tasks that need 2 cpus is submitted
    Then 2 of its tasks complete
