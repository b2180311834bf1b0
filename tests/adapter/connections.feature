Feature: Connections to workers fit the file descriptors of the process

  Scenario Outline: All workers can be reached, whatever their number
    With a fixed number of order connections per worker, the leader of 1,002 workers ran
    out of file descriptors: orders and polls failed at random, and jobs waited.
    Given <workers> workers and <descriptors> descriptors
    When orders are sent to each of them
    Then each may hold <each> connections for orders
    And polls and orders together leave <spare> descriptors or more free

    Examples:
      | workers | descriptors | each | spare |
      | 24      | 4100        | 6    | 3900  |
      | 270     | 4100        | 6    | 2000  |
      | 650     | 4100        | 3    | 1000  |
      | 1002    | 4100        | 2    | 1000  |
      | 1002    | 8192        | 4    | 3000  |
