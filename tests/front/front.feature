Feature: The HTTP front end
  Invalid input is refused with a reason and does not affect other callers. A planned
  shutdown interrupts no request, and watches neither lose nor repeat events.

  Scenario Outline: Invalid input is refused with a reason and counted
    When "<bad>" is sent
    Then it is refused <status> "<title>" as JSON, and counted

    Examples:
      | bad                   | status | title               |
      | no token              | 401    | token_missing       |
      | an unknown token      | 401    | token_unknown       |
      | an unknown service    | 404    | unknown_service     |
      | an unknown route      | 404    | unknown_route       |
      | a wrong method        | 405    | wrong_method        |
      | half a JSON body      | 400    | malformed           |
      | deep JSON             | 400    | malformed           |
      | 501 levels            | 400    | malformed           |
      | a list as body        | 400    | not_an_object       |
      | a form as body        | 415    | wrong_content_type  |
      | a bad request id      | 400    | bad_request_id      |
      | a long request id     | 400    | bad_request_id      |
      | timeout nan           | 400    | bad_request_timeout |
      | timeout inf           | 400    | bad_request_timeout |
      | timeout -1            | 400    | bad_request_timeout |
      | timeout soon          | 400    | bad_request_timeout |
      | timeout 0             | 504    | deadline            |
      | a large body          | 413    | oversized           |
      | a large chunked body  | 413    | oversized           |
      | a broken chunked body | 400    | malformed           |
      | slow headers          | 408    | slow_headers        |
      | a slow body           | 408    | slow_body           |
      | no HTTP               | 400    | malformed           |

  Scenario Outline: A release whose body nests deeply can be asked for again
    Guards against a body that is decoded at Python's own limit for nesting and then
    can't be encoded or read where a few more calls are in progress: its caller met an
    internal error, at once or with each repetition.
    When a release whose body has <levels> levels is ordered, repeated and asked for
    Then each answer is <status>

    Examples:
      | levels | status |
      | 500    | 200    |
      | 501    | 400    |
      | 953    | 400    |
      | 958    | 400    |

  Scenario: Hundreds of slow callers do not affect others
    200 callers send the start of a request and never finish it. Each may hold a
    connection only until the timeout for headers; quotes are served meanwhile.
    When 200 callers send their headers a byte at a time
    Then quotes are answered within 0.5 s meanwhile
    And all slow callers are answered 408 within 8 s

  Scenario Outline: A watch continues when its worker is <fault>
    The worker is <fault> in the middle of the stream. The instance must resume at
    another worker after the last event, so that the caller gets each event once, in
    order.
    When a tail number with 40 events is watched, and its worker is <fault>
    Then the events 1 to 40 come in order, the last within 20 s

    Examples:
      | fault       |
      | black-holed |
      | killed      |

  Scenario: A watch without any worker is refused with Retry-After
    When an instance without workers is asked for a watch
    Then it is refused 503 "no_capacity" with Retry-After

  Scenario: A watch waits for an instance that is about to acquire workers
    An instance was frozen until its peers acquired its workers. When it resumes it is
    ready at once, since a peer answers quotes for it, but owns no worker for 2 s more.
    Guards against watches refused with 503 during that time.
    When an instance that lost its workers wakes up and is asked for a watch at once
    Then the events 1 to 3 come in order, the last within 6 s

  Scenario: A quote that failed at a peer is not reported as not_run
    The instance owns no worker and forwards the quote, which runs at the peer and fails
    there. The caller must not be told that nothing ran.
    When a quote that fails everywhere is sent to an instance without workers
    Then it is refused 503 "target_failed" with Retry-After
    And its outcome is "unknown"

  Scenario: An instance that has not read the settings reports no token as unknown
    The table is down while an instance starts, so it can't tell a valid token from a
    revoked one. With 401, an operator would look for a revoked token.
    When a token is sent to an instance that started while the table is down
    Then it is refused 503 "starting" with Retry-After

  Scenario: A quote is forwarded past a peer that froze
    The instance owns no worker, and the first peer that it tries stays frozen. The other
    one must be tried within the caller's time.
    When a peer of an instance without workers is frozen
    Then quotes at the instance without workers are answered within 1 s

  Scenario: Each instance in turn is stopped and replaced, and nobody notices
    Quotes, releases and a watch arrive through the load balancer. On SIGTERM an instance
    becomes not ready, completes requests that arrive or are in flight, ends the watch at
    a point from which it can be resumed, and exits with 0.
    When each instance in turn is stopped and replaced under load
    Then no request failed and no event of the watch was lost or doubled
    And each stopped instance exited with 0 within 10 s

  Scenario: Internal errors and too many requests are answered
    A caller whose request hits an internal error is told that its outcome is unknown,
    without internal details. At the limit of concurrent requests the next one is
    refused, but not the load balancer's probe.
    Given an application in which reading a request raises an exception
    Then a request is answered 500 "internal_error" with outcome "unknown"
    And at the limit of concurrent requests one more is answered 503 "overloaded"
