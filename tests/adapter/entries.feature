Feature: An entry of another writer names no worker to use

  Anybody may write anything where workers describe themselves. Callers' jobs would
  stand still if one such row ended the reading of all others, or fail if it led
  orders to a machine that is none.

  Scenario: A worker's own entry names it
    When an entry is read as a worker wrote it
    Then it names the worker with 16 cores at its address

  Scenario Outline: An entry tells which life of the worker wrote it
    When an entry is read that <tells>
    Then its worker's birth is <born>

    Examples:
      | tells              | born          |
      | has a birth        | 1792742400123 |
      | tells no birth     | None          |

  Scenario Outline: An entry with <wrong> names no worker
    When an entry is read with <wrong>
    Then it is bad for its <fault>

    Examples:
      | wrong               | fault      |
      | no capacity         | unreadable |
      | no sequence         | unreadable |
      | slots as text       | unreadable |
      | a label that is 7   | unreadable |
      | a birth as text     | unreadable |
      | a list around it    | unreadable |
      | nesting without end | unreadable |
      | half a character    | unreadable |
      | the state asleep    | state      |
      | no port             | address    |
      | port 0              | address    |
      | a port of 5000 nines | address   |
      | a name for address  | address    |
      | no cores            | capacity   |
      | -4000 megabytes     | capacity   |
      | cores without end   | capacity   |

  Scenario: Any bytes in a row are read as text that is no message, or as they are
    Then any bytes in a row give a text or an empty one

  Scenario: Any JSON in an entry is a worker that can be used, or none
    Then any JSON in an entry gives a usable worker or a fault

  Scenario: An entry with any one field changed is a worker that can be used, or none
    Then any field of an entry with any value gives a usable worker or a fault
