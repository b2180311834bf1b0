Feature: An invalid entry is not used as a worker

  Any writer may store anything in the rows of workers' entries. Callers' jobs would
  wait if one such row stopped the reading of all others, or fail if it directed orders
  to an address that is no worker.

  Scenario: A valid entry describes its worker
    When an entry is read as a worker wrote it
    Then it describes the worker with 16 cores at its address

  Scenario Outline: An entry tells which incarnation of the worker wrote it
    When an entry is read that <tells>
    Then its worker's incarnation is <born>

    Examples:
      | tells              | born          |
      | has a start time   | 1792742400123 |
      | has no start time  | None          |

  Scenario Outline: An entry with <wrong> is invalid
    When an entry is read with <wrong>
    Then it is invalid for its <fault>

    Examples:
      | wrong               | fault      |
      | no capacity         | unreadable |
      | no sequence         | unreadable |
      | slots as text       | unreadable |
      | a label that is 7   | unreadable |
      | a start as text     | unreadable |
      | a list around it    | unreadable |
      | unlimited nesting   | unreadable |
      | half a surrogate    | unreadable |
      | the state asleep    | state      |
      | no port             | address    |
      | port 0              | address    |
      | a port of 5000 nines | address   |
      | a name for address  | address    |
      | no cores            | capacity   |
      | -4000 megabytes     | capacity   |
      | too many cores      | capacity   |

  Scenario: Any bytes in a row are read as their text, or as empty text
    Then any bytes in a row give their text or an empty one

  Scenario: Any JSON in an entry is a usable worker or invalid
    Then any JSON in an entry gives a usable worker or a fault

  Scenario: An entry with any field changed is a usable worker or invalid
    Then any field of an entry with any value gives a usable worker or a fault
