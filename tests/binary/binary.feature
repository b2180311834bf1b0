Feature: One file
  The program ships as one file, for instances that have no disk but a memory file
  system, and starts no process.

  Scenario: The file serves as one process, from a memory file system
    Given the built file on an instance without the program's packages
    When it is started
    Then it serves a quote, as one process without a child
    And it has unpacked its packages and runs its own copy of the program

  Scenario: The same sources give the same file
    Given the built file on an instance without the program's packages
    When it is built again
    Then both files are equal, byte for byte
