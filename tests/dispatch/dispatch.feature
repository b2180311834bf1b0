Feature: Connections to targets, retries and hedges
  A caller gets the complete answer to its own quote in time, although connections go
  silent, answers are late or truncated, and workers are slow.

  Scenario: Connections that went silent are replaced within the caller's time
    A device between the two ends loses the state of open, idle connections, so that
    requests sent over them are lost without an error. The first silent connection makes
    all idle ones suspect, and callers still get their answers.
    Given 12 quotes asked at a time
    When the open connections of all workers go silent
    Then 12 quotes one by one are answered, each within 0.9 s
    And the counter "dispatch.connection_retired.suspect" has grown
    And the counter "dispatch.settled.silent_connection" has grown
    And nothing stays reserved

  Scenario: A new watch does not begin on a connection that went silent
    A watch is opened while the open connections of all workers are silent. The watch
    used one of them, waited 5.0 s for its stream to open, which was all of its time, and
    was refused with "no_worker" although four workers were healthy
    (`front.watch.broken.lost` 1). New connections work, and a watch keeps its own.
    Given 12 quotes asked at a time
    When the open connections of all workers go silent
    Then a new watch of 3 events receives them all within 2 s

  Scenario: A new watch is not ended by one worker that answers nothing
    The worker that is selected first does not answer. Waiting for it took 5.0 s, which
    was all the time allowed for opening the watch, and the caller was refused with
    "no_worker" although another worker was healthy.
    When 3 of the workers answer nothing
    Then a new watch of 3 events receives them all within 9 s
    When the black-holed workers recover
    Then all workers take quotes again

  Scenario: A slow worker is not taken for a silent connection
    A worker has received the request and runs it slowly. A hedge on another worker wins,
    so the caller gets a fast answer, and the slow attempt is voided. The reply to that
    distinguishes both cases: behind a silent connection, the worker never saw the
    request. The time of the slow attempt must be learned, or the next quotes would be
    placed on the same worker.
    Given 12 quotes asked at a time
    When the worker asked last runs everything 60 times slower
    Then 60 quotes one by one are answered, each within 0.6 s
    And at most 3 of them took longer than 0.3 s
    And the counter "dispatch.settled.slow_worker" has grown
    And the counter "dispatch.settled.silent_connection" has not grown
    And nothing stays reserved

  Scenario: Extra attempts neither take first ones' room nor cost connections
    There are nearly as many callers as slots, and one worker is slow. Hedges take the
    last slots, and a first attempt waits for a slot rather than being refused. A hedge
    that loses before its request has arrived is no evidence of a silent connection.
    Given 12 quotes asked at a time
    When worker 0 runs everything 10 times slower
    Then 30 quotes at a time, 8 times over, are all answered
    And the counter "front.hedge.slow" has grown
    And the counter "dispatch.settled.silent_connection" has not grown
    And nothing stays reserved

  Scenario Outline: What holds a worker or the instance up is not held against a connection
    The first attempt of a quote is cancelled because another one won, and its worker
    reports that it never saw the request. On a busy machine that was taken for a silent
    connection, and all idle connections of a healthy worker were closed. The logged
    examples include a request on a new connection that was in transit for 0.2 to 0.39 s
    while the void request that overtook it was answered in 0.10 s. Another case is a
    request that had not been sent yet when it was cancelled.
    Then a request <sent> s in transit over <connection>, where patience is <patience> s and the worker answers in <answer> s, is <verdict>

    Examples: as logged
      | sent   | connection            | patience | answer | verdict  |
      | 0.5125 | an earlier connection | 0.0210   | 0.0022 | silenced |
      | 0.4004 | an earlier connection | 0.0148   | 0.1064 | silenced |
      | 0.0341 | an earlier connection | 0.0210   | 0.0029 | silenced |
      | 0.2000 | a new connection      | 0.0148   | 0.1036 | unseen   |
      | 0.3857 | a new connection      | 0.0148   | 0.1041 | unseen   |
      | 0.0582 | an earlier connection | 0.1058   | 0.0174 | unseen   |

    Examples: worked out
      | sent   | connection            | patience | answer | verdict  |
      | 0.1000 | an earlier connection | 0.0210   | 0.0800 | unseen   |
      | never  | no connection         | 0.0210   | 0.0010 | unseen   |

  Scenario Outline: Half an answer or a stranger's never reaches a caller
    The answers of the worker are <answers>. A caller gets the complete answer of another
    worker if there is one, otherwise a refusal. If every attempt fails, the budget keeps
    retries from multiplying the load.
    Given 20 quotes asked at a time
    When worker 0 gives <answers> answers
    Then 8 quotes one by one are answered, each within 0.9 s
    When all workers give <answers> answers
    Then 40 quotes are refused as "target_lost", with at most 14 retries and 7 hedges

    Examples:
      | answers    |
      | truncated  |
      | mismatched |

  Scenario: A late answer is not given to the next request
    The caller times out before its worker has answered. The answer arrives later, while
    the next callers are being served over new connections.
    When all workers run everything 40 times slower
    Then a quote with 0.2 s left is refused 504 "deadline"
    When all workers run everything 1 times slower
    Then 30 quotes one by one are answered, each within 0.6 s

  Scenario: A lost attempt stays reserved until it certainly has ended
    The caller is refused when its deadline passes, but the unreachable worker is still
    running the task, so its resources stay reserved. If they were released, the next
    task would exceed the capacity of the worker.
    When all workers are black-holed after starting
    Then a quote with 0.4 s left is refused 504 "deadline"
    And something stays reserved
    When the black-holed workers recover
    Then nothing stays reserved

  Scenario: A quote that is repeated while the first one runs is answered too
    A client times out and sends the same Request-Id again. Workers refuse task ids that
    they have seen before, so each attempt has its own.
    Then 12 quotes with one request id at a time are all answered

  Scenario: Extra attempts stay within their share whatever fails
    Then any sequence of requests and failures keeps extra attempts in budget

  Scenario Outline: A leaving worker gets no new work after 3 seconds
    Quotes are sent continuously. The <who> reports that a worker is leaving. Running
    tasks continue, and 3 seconds later no new tasks are started there.
    When the <who> says that worker <number> is leaving, under steady quotes
    Then it started nothing more than 3 s later, and no quote failed

    Examples:
      | who      | number |
      | worker   | 2      |
      | platform | 3      |

  Scenario: An instance that owns no worker serves through its peers
    With more instances than workers, one of them owns none. It was never added to the
    load balancer, although its peers had capacity for the requests of its callers.
    When an instance starts where there is no worker
    Then it becomes ready and a quote there is answered

  Scenario: No worker ever held more connections than it has
    Then no worker held more than 64 connections
