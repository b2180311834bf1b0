Feature: Connections to workers fit the descriptors of the process

  Scenario Outline: All workers are reached, however many there are
    Each worker takes a few connections for orders. At 1,002 workers the leader ran out
    of descriptors, so that orders and looks failed at random and jobs waited.
    Given <workers> workers and <descriptors> descriptors
    When orders go to each of them
    Then each may have <each> connections for orders
    And looks and orders together leave <spare> descriptors or more

    Examples:
      | workers | descriptors | each | spare |
      | 24      | 4100        | 6    | 3900  |
      | 270     | 4100        | 6    | 2000  |
      | 650     | 4100        | 3    | 1000  |
      | 1002    | 4100        | 2    | 1000  |
      | 1002    | 8192        | 4    | 3000  |
