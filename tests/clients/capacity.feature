Feature: What clients may hold of a machine
  Clients share what the store, peers and workers leave. A limit for each connection does
  not help if the machine has room for fewer connections.

  Scenario Outline: All clients together fit a machine of <memory> MB and <descriptors> descriptors
    Guards against limits that hold for one client, and are exceeded by many.
    Given a machine of <memory> MB and <descriptors> descriptors
    When a leader on it has <workers> workers
    Then files, the store, peers, workers and clients fit its descriptors
    And what clients hold is a quarter of its memory at most
    And <callers> callers or more may connect

    Examples:
      | memory | descriptors | workers | callers |
      | 128    | 4100        | 24      | 100     |
      | 200    | 4100        | 270     | 200     |
      | 300    | 4100        | 33      | 300     |
      | 300    | 4100        | 650     | 300     |
      | 552    | 4100        | 24      | 600     |
      | 200    | 300         | 2       | 8       |
      | 256    | 1024        | 24      | 100     |

  Scenario: A newcomer gets the place of who has waited longest
    Guards against connections that wait, and keep out callers whose request has come.
    Given 3 places, held by a connection that reads, one that works, and an idle one
    When 4 others come, one after the other
    Then those that wait had to leave in the order in which they came
    And none that works had to leave

  Scenario: Requests in hand keep their places, and a newcomer is told so
    Given 2 places, held by connections that work
    When 20 others come, one after the other
    Then all of the newcomers are refused, 16 of them at a time
    And none that works had to leave

  Scenario: A refused client holds no memory while it is waited for
    Guards against refusals that take the memory for others: what was read of a request
    stayed until its client had read why.
    Given a server with a budget of 1000000 bytes for long requests
    When a client sends 200000 bytes in chunks, then a chunk of no number, and stays
    Then it is told 400, and lingers, with nothing of the budget taken
