Feature: The adapter to the users' platform translates, and decides nothing

  Scenario: What is written is read, found by following, and dropped
    Given the platform's store
    When a row is written, read, and dropped while its kind is followed
    Then the row was read as written, and following told of both

  Scenario: A row that was dropped and came back in one reading is there
    # Callers' jobs wait for ever. All workers' entries lapsed while the store was away
    # and came back; one reading told of both, and the workers stayed unlisted.
    Given the platform's store
    When a row is dropped and written again while its kind is followed
    Then following tells of the row, and not that it was dropped

  Scenario: A row that came and was dropped in one reading is gone
    Given the platform's store
    When a row is written and dropped while its kind is followed
    Then following tells only that the row was dropped

  Scenario: Rows of all shards are read together, page by page
    Given the platform's store
    And 1200 rows in 3 shards
    When all rows of their kind are read
    Then 1200 rows are found

  Scenario Outline: Answers of the store keep their meaning
    # A caller is told that nothing was stored only if the store said so.
    Given the platform's store
    And the store answers a write with <status>
    When a row is written
    Then the write is <meaning>

    Examples:
      | status | meaning     |
      | 503    | unavailable |
      | 429    | unavailable |
      | 500    | uncertain   |

  Scenario: A conflict names the row that had another version
    Given the platform's store
    When a row is written that must not exist, and does
    Then the write is a conflict on that row

  Scenario: A dropped history is told apart from a failed reading
    Given the platform's store
    And the store has dropped its history
    When its rows are followed
    Then following says that the history is lost

  Scenario: An answer that never comes leaves a write uncertain, and calls go on
    Given the platform's store
    And the store never answers the next write
    When a row is written
    Then the write is uncertain
    When a row is written
    Then the write is done

  Scenario Outline: Rejections of a worker keep their meaning
    Given a worker
    And it answers a start with <status> <reason>
    When a run is started there
    Then the start is <meaning>

    Examples:
      | status | reason | meaning    |
      | 409    | fence  | fenced     |
      | 409    | old    | superseded |
      | 409    | late   | expired    |
      | 409    | room   | no_room    |
      | 409    | ticket | ticket     |
      | 400    | -      | invalid    |
      | 429    | -      | unwell     |
      | 503    | -      | unwell     |
      | 421    | -      | replaced   |
      | 500    | -      | silent     |

  Scenario: A look carries token and lease, and brings runs and ends
    Given a worker
    And it lists a run with a tail of 14 ms and the end of another
    When it is looked at
    Then the look has both, and named the life of the worker that it meant

  Scenario: A look tells which life of the worker has answered
    Given a worker
    And it lists nothing, and was born at 1792742400123
    When it is looked at
    Then the look is of the life that was born at 1792742400123

  Scenario: A worker that nobody listens for has certainly done nothing
    Given a worker whose port is closed
    When a run is started there
    Then the start is unwell

  Scenario Outline: A peer that is passed a request on answers, is silent or is not there
    # A caller is told that nothing was done only if the request was certainly not sent.
    Given the platform's store
    And a peer that <state>
    When a caller's request is passed on to it
    Then it is <outcome>

    Examples:
      | state            | outcome                  |
      | answers          | answered with the status |
      | never answers    | left undecided           |
      | is not there     | not sent                 |

  Scenario Outline: Bad jobs are refused by their fault
    When a caller hands in <body>
    Then it is refused for "<fault>"

    Examples:
      | body                                        | fault                     |
      | {                                           | truncated                 |
      | {"steps":[]}                                | steps: expected at least  |
      | {"steps":[{"count":0}]}                     | steps[0].count            |
      | {"steps":[{"count":1,"after":[0]}]}         | steps[0].after            |
      | {"steps":[{"count":1,"cpu":-1}]}            | steps[0].cpu              |
      | {"steps":[{"count":9000}]}                  | 9000 tasks                |
      | {"steps":[{"count":1}],"repeat_count":-1}   | repeat_count              |
      | {"steps":[{"count":1}],"repeat_count":5000} | steps, repeat_count       |
      | {"steps":[{"count":600,"gang":true}]}       | 600 tasks that run        |
      | a job of 300 steps                          | bytes to keep, at most    |
      | {"steps":[{"count":"x"}]}                   | Expected `int`            |

  Scenario: A job's units are those of the slices
    When a caller hands in a step of 2500 thousandths of a core and 2048 MB
    Then the step needs 2.5 cores and 2 GB

  Scenario: Callers are answered over HTTP
    Given an instance on the platform, with a queue at "q.example" "/fast/"
    When a job is posted, asked for, counted, cancelled, and posted to nowhere
    Then the answers are 200, 200, 200, 200 and 404

  Scenario: The balancer hears that an instance is not ready
    Given an instance on the platform, with a queue at "q.example" "/fast/"
    Then it is ready
    When it has not heard of the store for 3 seconds
    Then it is not ready
    And a job is refused with the time to come back

  Scenario: Settings with fields that nobody knows are read
    Given a settings file of the platform with an unknown field
    Then the settings name the instance and the store

  Scenario: An instance goes by the platform's term for changes of the configuration
    # By a longer one of its own, callers were served from queues that had been dropped.
    Given a settings file of the platform in which changes have 3000 ms
    When an instance is made from it
    Then it goes by a configuration for 3 s after it was surely the newest

  Scenario: Settings that lack the store are refused by name
    Given a settings file of the platform without the store
    Then reading it fails and names "platform"
