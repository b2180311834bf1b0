Feature: A planned stop cuts nothing off
  On SIGTERM an instance becomes not ready, completes the requests in flight, hands its
  workers over and exits with 0. Each scenario has two instances and two workers.

  Scenario: Orders that take seconds are answered by an instance that stops
    Callers were cut off 2.5 s after the signal, whatever the time limit of the stop. Its
    listening socket was closed after 1.5 s; the server took this for its own end, killed
    all requests 1 s later, and the process ended with workers and session still held.
    Given two instances, and orders of 4 s in flight at one of them
    When this instance is stopped
    Then all orders are answered as completed
    And it has exited with 0

  Scenario: A peer takes the workers of a stopped instance at once
    The stop ended before the hand-over, so peers waited until the lease had expired; the
    workers were idle for that time, and callers were refused.
    Given two instances, and orders of 4 s in flight at one of them
    When this instance is stopped
    Then the peer owns all workers within 2 s of its exit

  Scenario: A stop ends at its time limit, with requests that take longer
    A supervisor kills an instance that does not end, and then nothing is handed over.
    Given two instances, and orders of 60 s in flight at one that stops within 4 s
    When this instance is stopped
    Then it has exited with 0
    And it took at most 4 s
    And the peer owns all workers within 2 s of its exit

  Scenario: A second signal does no harm
    Supervisors and operators may both stop an instance.
    Given two instances, and orders of 4 s in flight at one of them
    When this instance is stopped and gets 3 more signals
    Then all orders are answered as completed
    And it has exited with 0

  Scenario: The last log lines and counts of a stopped instance are written
    On-call engineers have only these to learn whether a stop cut callers off. What was
    logged in the last 0.2 s, and counted in the last second, was never written.
    Given two instances, and orders of 60 s in flight at one that stops within 4 s
    When this instance is stopped
    Then it has logged "drain deadline passed with requests in flight"
    And it has logged "session released"
    And it has logged "drained"
    And it has sent the counter "front.drain.cut_off" to statsd

  Scenario Outline: A stop ends at its time limit while the table is away
    A supervisor kills an instance that takes longer, and then its last lines are lost.
    The hand-over began at the time limit, and waits for the table.
    Given two instances, and orders of 60 s in flight at one that stops within 4 s
    When this instance is stopped while the table <state>
    Then it has exited with 0
    And it took at most 4 s
    And it has logged "session not released"

    Examples:
      | state            |
      | answers nothing  |
      | refuses all      |

  Scenario: Requests on open connections are answered, or never begun, during a stop
    A caller had a connection open, on which it sent nothing until no request was in
    flight. A request that then came was begun during the hand-over and cut off at its
    end: 500 as plain text, though a worker had answered. The table answers after 0.5 s, so
    that the hand-over takes 1 s.
    Given two instances, and 100 open connections to one of them
    When this instance is stopped beside a slow table
    And a quote is sent on each connection, from 1.64 s to 3 s after the signal
    Then each of them is answered 200 or refused as not run, or its connection was closed and no worker began it

  Scenario: A quote that a peer passed on is answered by an instance that stops
    The caller's instance has no worker. Its peer stops while one of its workers computes
    the quote, and nobody else could answer.
    Given an instance with workers, and one without that has passed on a quote of 3 s
    When the instance with workers is stopped
    Then the quote is answered 200

  Scenario: A caller that a stop cuts off is told so
    The caller got 500 as plain text, which says that the program is at fault, and nothing
    about its order; and an internal error was counted. The order goes on at its worker.
    Given two instances, and orders of 60 s in flight at one that stops within 4 s
    When this instance is stopped
    Then all orders are answered 504 "draining" with outcome "unknown"
    And it has not sent the counter "front.internal_error" to statsd

  Scenario: A stop with nothing in flight does not wait for a table that is away
    With no peer able to take the workers, a stop tried its last write for 28 s, in which
    the instance served nobody and could not start again.
    Given two instances, and 1 open connections to one of them
    When this instance is stopped while the table refuses all
    Then it has exited with 0
    And it took at most 4 s
