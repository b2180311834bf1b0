Feature: The operator's limits on requests
  What is inside the limits is served; what is outside is refused with a status that says
  why, which the client can read though it has sent more than was read.

  Background:
    Given an instance whose operator allows 16384 bytes of headers within 800 ms

  Scenario Outline: A request inside the limits is served, with <what>
    Guards against limits of a library, on the number of lines or the form of a body, that
    refuse what the operator allows.
    When a request is sent with <what>
    Then it is answered 200

    Examples:
      | what                         |
      | 300 short header lines       |
      | a header of 16000 bytes      |
      | a query of 12000 bytes       |
      | an empty line before it      |
      | a pipelined second request   |
      | a chunked job                |
      | a chunked job and a trailer  |
      | a job in chunks of one byte  |
      | a job of 262144 bytes        |
      | a job after 100 Continue     |

  Scenario Outline: A client outside the limits is told so, with <what>
    Guards against a refusal that never arrives: a connection that is closed with unread
    bytes is reset, and its client reads an error in place of the answer.
    When a request is sent with <what>
    Then it is answered <status> with the title "<title>"
    And the refusal is counted, and in the log

    Examples:
      | what                      | status | title             |
      | a header of 400000 bytes  | 431    | large_head        |
      | 5000 header lines         | 431    | large_head        |
      | a query of 400000 bytes   | 414    | long_request_line |
      | a job of 500000 bytes     | 413    | oversized         |
      | a chunked job of 500000 bytes | 413 | oversized        |
      | headers that never end    | 408    | slow_headers      |
      | a body that never ends    | 408    | slow_body         |
      | a request line of one word | 400   | malformed         |
      | a version of one digit    | 400    | malformed         |
      | a header line of one word | 400    | malformed         |
      | a chunk of no number      | 400    | malformed         |
      | half a head, then its end | 400    | malformed         |
      | 400000 bytes of empty lines | 400  | malformed         |

  Scenario: A connection that is silent for longer than the operator allows is closed
    Guards against connections that occupy places for as long as their clients like.
    When a client connects, and sends nothing
    Then its connection is closed without an answer

  Scenario: Random input never causes an internal error
    Guards against input that no parser was written for: an error inside the server would
    end the connection without an answer, or show as an internal error.
    When 300 random requests are sent, by a fixed seed
    Then each of them is answered, or its connection closed
    And nothing was counted as an internal error, and no error was printed
