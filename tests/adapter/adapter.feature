Feature: The adapter to the users' platform converts messages and makes no decisions

  Scenario: A row is written, read, reported to watchers, and removed
    Given the platform's store
    When a row is written, read and removed while its table is watched
    Then the row was read as written, and the watch reported both changes

  Scenario: A row that was removed and written again within one read is present
    # Callers' jobs would wait for ever: all workers' entries expired during an outage of
    # the store and were written again. One read returned both changes, and the removal
    # won, so that the workers stayed unlisted.
    Given the platform's store
    When a row is removed and written again while its table is watched
    Then the watch reports the row, and not its removal

  Scenario: A row that was written and removed within one read is gone
    Given the platform's store
    When a row is written and removed while its table is watched
    Then the watch reports only the removal

  Scenario: Rows of all shards are read concurrently, page by page
    Given the platform's store
    And 1200 rows in 3 shards
    When all rows of their table are read
    Then 1200 rows are found

  Scenario: Rows are found beyond the first page of an answer
    # Guards against rows that seem not to exist, as one answer is taken for the whole.
    Given the platform's store
    And 1200 rows in 1 shard
    When the first and the last of them are read at once
    Then 2 rows are found

  Scenario: A scan returns as many rows as it was asked for, however long they are
    # Guards against a scan that ends early: a page with fewer rows counts as the last.
    Given the platform's store
    And 60 rows of 40000 bytes in 1 shard
    When 50 rows of their shard are scanned
    Then 50 rows are found

  Scenario: Rows are read from more shards than one answer lists
    Given the platform's store
    And 1100 rows in 1100 shards
    When all rows of their table are read
    Then 1100 rows are found

  Scenario Outline: Answers of the store keep their meaning
    # A caller may be told that nothing was stored only if the store said so.
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

  Scenario: A dropped history is distinguished from a failed read
    Given the platform's store
    And the store has dropped its history of changes
    When its rows are watched
    Then the watch reports that the history is lost

  Scenario: An answer that never comes leaves a write uncertain, and calls go on
    Given the platform's store
    And the store never answers the next write
    When a row is written
    Then the write is uncertain
    When a row is written
    Then the write is done

  Scenario Outline: A report that may have left ends out says so
    # Guards against a full answer that is taken for all that its worker has to report.
    Given a worker
    And it reports the ends of <count> runs
    When it is polled
    Then the report is <meaning>

    Examples:
      | count | meaning    |
      | 499   | complete   |
      | 500   | incomplete |

  Scenario: A job tells whether its queue needed advice
    # Guards against starts without a ticket once the queue is gone.
    When a queue that needs advice gets a job
    Then the job needs advice

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

  Scenario: A poll sends token and lease, and returns running and ended runs
    Given a worker
    And it reports a run with a tail latency of 14 ms and the end of another
    When it is polled
    Then the report has both, and the poll named the expected worker

  Scenario: A poll tells which incarnation of the worker has answered
    Given a worker
    And it reports no runs, and an incarnation started at 1792742400123
    When it is polled
    Then the report is of the incarnation started at 1792742400123

  Scenario: A worker that does not listen has certainly done nothing
    Given a worker whose port is closed
    When a run is started there
    Then the start is unwell

  Scenario Outline: A forwarded request is answered, left unanswered or not sent
    # A caller may be told that nothing was done only if the request was certainly not
    # sent.
    Given the platform's store
    And a peer that <state>
    When a caller's request is forwarded to it
    Then it is <outcome>

    Examples:
      | state            | outcome                  |
      | answers          | answered with the status |
      | never answers    | left undecided           |
      | is not there     | not sent                 |

  Scenario Outline: Invalid jobs are refused with their fault
    When a caller submits <body>
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

  Scenario: A job's units are converted to those of the scheduler
    When a caller submits a step of 2500 millicores and 2048 MB
    Then the step needs 2.5 cores and 2 GB

  Scenario: Callers are answered over HTTP
    Given an instance on the platform, with a queue at "q.example" "/fast/"
    When a job is posted, queried, counted, cancelled, and posted to an unknown path
    Then the answers are 200, 200, 200, 200 and 404

  Scenario: The load balancer's check fails on an instance that is not ready
    Given an instance on the platform, with a queue at "q.example" "/fast/"
    Then it is ready
    When it has had no answer of the store for 3 seconds
    Then it is not ready
    And a job is refused with a Retry-After header

  Scenario: Settings with unknown fields are read
    Given a settings file of the platform with an unknown field
    Then the settings name the instance and the store

  Scenario: An instance observes the platform's time limit for configuration changes
    # With a longer limit of its own, it served callers from queues that had been removed.
    Given a settings file of the platform that allows 3000 ms for changes
    When an instance is created from it
    Then it uses a configuration for 3 s after it was known to be the newest

  Scenario: An instance that is stopped as it acquires the lease releases it
    The planned stop begins while the claim is on its way to the store. Guards against a
    leader that leads until its process ends, and whose lease then has to time out.
    Given a settings file of the platform that allows 3000 ms for changes
    When an instance is created from it
    And it is stopped while it claims the lease
    Then it releases the lease at once and claims it no more

  Scenario Outline: Optional decisions are on only where the settings call for them
    # Guards against deployments with short leases being served in another way.
    Given a settings file of the platform with leases of <lease_ms> ms and <zones> data centres to lose
    Then the options that are on are "<on>"

    Examples:
      | lease_ms | zones | on                                                                                             |
      | 6000     | 1     |                                                                                                |
      | 10000    | 1     | assign_ahead,gather_jobs,copy_tasks,estimate_from_progress,hand_over_lease,refuse_late_jobs   |
      | 10000    | 0     | assign_ahead,copy_tasks,estimate_from_progress,hand_over_lease,refuse_late_jobs               |

  Scenario: An operator switches options off, and a name that is none is an error
    # Guards against a misspelt name that switches nothing off.
    Given a settings file of the platform with leases of 10000 ms and 1 data centres to lose
    Then without "gather_jobs, copy_tasks" neither of them is on
    And without "gather_job" reading it fails and names "gather_jobs"

  Scenario: Settings without the store are refused, and the error names the field
    Given a settings file of the platform without the store
    Then reading it fails and names "platform"
