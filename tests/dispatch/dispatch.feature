Feature: Connections to targets, retries and hedges
  A dispatcher gets the whole answer to its own quote, in time, although
  connections go silent, answers are late or cut short, and workers are slow.

  Scenario: Connections that went silent are replaced within the caller's time
    Callers see their quotes answered. Connections are open and idle; something
    between the ends loses track of them, so that orders sent over them vanish,
    with no error. The first that stays silent makes all beside it suspect.
    Given 12 quotes asked at a time
    When the open connections of all workers go silent
    Then 12 quotes one by one are answered, each within 0.9 s
    And the counter "dispatch.connection_retired.suspect" has grown
    And the counter "dispatch.settled.silent_connection" has grown
    And nothing stays reserved

  Scenario: A new watch does not begin on a connection that went silent
    The caller opens a watch while the open connections of all workers are silent. The
    watch took one of these, waited 5.0 s for its stream to open, which was all the time
    that it had, and was told "no_worker" though four workers were well
    (`front.watch.broken.lost` 1). What is new works, and a watch keeps its connection.
    Given 12 quotes asked at a time
    When the open connections of all workers go silent
    Then a new watch of 3 events is told them all within 2 s

  Scenario: A new watch is not ended by one worker that answers nothing
    The worker that is chosen first answers nothing. The wait for it took 5.0 s, which
    was all the time that the opening had, and the caller was told "no_worker" while
    another worker was well.
    When 3 of the workers answer nothing
    Then a new watch of 3 events is told them all within 9 s
    When the black holes end
    Then all workers take quotes again

  Scenario: A slow worker is not taken for a silent connection
    The caller sees a fast answer. Its worker has the order and runs it slowly;
    a hedge on another worker wins, and the loser is stopped, which tells the
    two apart: a worker behind a silent connection never saw the order. The
    loser's time counts: unlearned, the next quotes would go there and wait too.
    Given 12 quotes asked at a time
    When the worker asked last runs everything 60 times slower
    Then 60 quotes one by one are answered, each within 0.6 s
    And at most 3 of them took longer than 0.3 s
    And the counter "dispatch.settled.slow_worker" has grown
    And the counter "dispatch.settled.silent_connection" has not grown
    And nothing stays reserved

  Scenario: Extra attempts neither take first ones' room nor cost connections
    Callers come nearly as many as there are slots, and a worker is slow. Hedges
    take the last slots; a first attempt waits for one rather than being refused.
    A hedge that loses before its order has arrived tells nothing of silence.
    Given 12 quotes asked at a time
    When worker 0 runs everything 10 times slower
    Then 30 quotes at a time, 8 times over, are all answered
    And the counter "front.hedge.slow" has grown
    And the counter "dispatch.settled.silent_connection" has not grown
    And nothing stays reserved

  Scenario Outline: What holds a worker or the instance up is not held against a connection
    A quote's first attempt is given up as another one won, and its worker says that it
    never saw the order. On a busy machine that was taken for a connection gone silent;
    all idle ones of a sound worker were closed. Lines of such runs: an order on a
    new connection, 0.2 to 0.39 s on its way, while the question that overtook it was
    answered in 0.10 s; an order that the instance had not sent yet when it was given up.
    Then an order <sent> s on its way over <connection>, where patience is <patience> s and the worker answers in <answer> s, is <verdict>

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
    The worker's answers are <answers>. A caller gets another worker's whole
    answer if there is one, else a refusal; and as every attempt fails, the
    budget keeps retries from multiplying the load.
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
    The caller's time is over before its worker has answered. The answer comes
    later, when the next callers are being served over new connections.
    When all workers run everything 40 times slower
    Then a quote with 0.2 s to go is refused 504 "deadline"
    When all workers run everything 1 times slower
    Then 30 quotes one by one are answered, each within 0.6 s

  Scenario: A lost attempt stays reserved until it certainly has ended
    The caller is told that its time is over. The worker still runs the order,
    out of reach, so what it needs is still taken; were it given to the
    next one, the worker would be given more than it can carry.
    When all workers are black-holed after starting
    Then a quote with 0.4 s to go is refused 504 "deadline"
    And something stays reserved
    When the black holes end
    Then nothing stays reserved

  Scenario: A quote that is repeated while the first one runs is answered too
    A dispatcher's client gives up and sends the same Request-Id again. The
    worker refuses a task id that it has seen, so each attempt has its own.
    Then 12 quotes with one request id at a time are all answered

  Scenario: Extra attempts stay within their share whatever fails
    Then any sequence of requests and failures keeps extra attempts in budget

  Scenario Outline: A leaving worker gets no new work after 3 seconds
    Quotes are asked all the time. The <who> says that a worker leaves; what
    runs on it goes on, and 3 seconds later nothing new is started there.
    When the <who> says that worker <number> is leaving, under steady quotes
    Then it started nothing more than 3 s later, and no quote failed

    Examples:
      | who      | number |
      | worker   | 2      |
      | platform | 3      |

  Scenario: An instance that owns no worker serves through its peers
    There are more instances than workers, so one owns none. It used to stay out
    of the balancer for ever, though its peers had room for what callers sent it.
    When an instance starts where there is no worker
    Then it becomes ready and a quote there is answered

  Scenario: No worker ever held more connections than it has
    Then no worker held more than 64 connections
