Feature: Clients that don't behave
  Clients outside the limits of the pages may be refused or cut off. No process ends or
  hangs for them, each stays within the memory and the descriptors that its settings
  name, and ordinary callers still get answers. Each scenario lowers these limits, and
  starts an instance of its own. Bytes that were received and not yet read count as
  memory.

  Scenario Outline: An instance stays within its memory beside <count> clients with <crowd>
    Guards against an instance that keeps what clients send until its machine's memory
    is used up, and is ended for it.
    Given an instance with 128 MB of memory and 4100 descriptors
    When <count> clients come with "<crowd>"
    Then an ordinary request is answered while they stay, and afterwards
    And the instance lives, and stayed within its memory and descriptors

    Examples:
      | crowd                      | count |
      | long-heads-left-open       | 30    |
      | long-heads-completed       | 30    |
      | short-lines-without-a-body | 300   |
      | endless-header-lines       | 30    |
      | endless-header-line        | 30    |
      | endless-request-line       | 30    |
      | endless-empty-lines        | 30    |
      | slow-empty-lines           | 300   |
      | bodies-left-open           | 600   |
      | chunked-bodies-left-open   | 600   |
      | unread-answers             | 60    |

  Scenario: An instance stays within its memory where the operator allows long heads
    Guards against memory that is only counted once a line is complete.
    Given an instance with 128 MB of memory and 4100 descriptors
    And its operator allows 2000000 bytes of headers
    When 600 clients come with "long-line-left-open"
    Then an ordinary request is answered while they stay, and afterwards
    And the instance lives, and stayed within its memory and descriptors

  Scenario Outline: An instance answers others beside <count> clients with <crowd>
    Guards against a client that always has bytes ready, and so keeps the only thread:
    nobody else is answered, no timeout fires and the lease lapses.
    Given an instance with 128 MB of memory and 4100 descriptors
    When <count> clients come with "<crowd>"
    Then an ordinary request is answered while they stay, and afterwards
    And a job that is handed in while they stay is completed
    And the instance lives, and stayed within its memory and descriptors

    Examples:
      | crowd                  | count |
      | endless-trailers       | 1     |
      | endless-small-chunks   | 1     |
      | endless-small-chunks   | 20    |
      | pipelined-requests     | 60    |
      | pipelined-large-heads  | 60    |
      | pipelined-unknown-jobs | 60    |
      | hasty                  | 60    |

  Scenario Outline: An instance keeps descriptors beside <count> clients with <crowd> at <port>
    Guards against connections of clients that take all descriptors: no caller is
    answered any more, and the store, peers and workers can't be reached.
    Given an instance with 128 MB of memory and 300 descriptors
    When <count> clients come with "<crowd>" to its <port> port
    Then an ordinary request is answered while they stay, and afterwards
    And a job that is handed in while they stay is completed
    And the instance lives, and stayed within its memory and descriptors

    Examples:
      | crowd                | count | port    |
      | silent               | 400   | front   |
      | dripped-request-line | 400   | front   |
      | silent               | 400   | ready   |
      | silent               | 400   | metrics |
      | silent               | 400   | peer    |

  Scenario Outline: The product's own interface stands <count> clients with <crowd>
    The same bounds hold for the port that serves callers and operators over TLS, before,
    during and after the handshake.
    Given an instance of the product with 192 MB of memory and 300 descriptors, over TLS
    When <count> clients come with "<crowd>" to its own interface
    Then it answers an ordinary request while they stay, and afterwards
    And the instance lives, and stayed within its memory and descriptors

    Examples:
      | crowd                        | count |
      | silent                       | 400   |
      | half-a-handshake             | 400   |
      | long-heads-completed in TLS  | 30    |
      | pipelined-requests in TLS    | 30    |

  Scenario: The product's own interface stands clients at the port for its peers
    That port is served by another library.
    Given an instance of the product with 192 MB of memory and 300 descriptors, over TLS
    When 400 clients come with "silent" to the port for its peers
    Then it answers an ordinary request while they stay, and afterwards
    And the instance lives, and stayed within its memory and descriptors

  Scenario: An instance stops as planned beside clients that never end a request
    Guards against a stop that waits for such clients until the process is killed.
    Given an instance with 128 MB of memory and 300 descriptors
    When 400 clients come with "dripped-request-line"
    And the instance is told to stop
    Then it exits with 0 before the platform would kill it
