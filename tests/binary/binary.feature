Feature: Single-file release
  The program ships as a single file, for instances that have only an in-memory file
  system, and starts no other process.

  Scenario: The file serves as one process, from an in-memory file system
    Given the built file on an instance without the program's packages
    When it is started
    Then it serves a quote, as one process without a child
    And it has unpacked its packages and runs its own copy of the program

  Scenario: The build is reproducible
    Given the built file on an instance without the program's packages
    When it is built again
    Then both files are identical
