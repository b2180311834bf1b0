Feature: The API's description and the house's rules for the code
  What can be held by a check is held by one, so that reviews can be about the rest.

  Scenario: Each route is described, and each described one is served
    Given the description docs/openapi.json
    Then it describes the routes of the program, and no other
    And each reference in it leads somewhere
    And it lists each title that the program can refuse with, and no other

  Scenario: The running program answers as described
    Given the description docs/openapi.json
    And an instance with a worker
    When each described operation is called with its examples
    Then each is answered with a described status
    And a call without a token is refused where one is due

  Scenario: Modules are imported, not names
    Then no import takes a name out of a module

  Scenario: Files hold no paths of a machine
    Then no file names a folder of the machine it was written on

  Scenario: The soak is under a tenth of the code
    Then the soak's share of the code is printed and under a tenth

  Scenario: The platform's words stay in its folder
    Then no module outside src/mangosail/platform speaks the platform's words

  Scenario: Slices that run at the same time never share a port
    An instance found its port taken and never became ready, once in several runs of all
    slices; another stage's instance, or an outgoing connection, had it meanwhile.
    When 4 processes ask for 40 ports each at the same time
    Then all of them differ, and the kernel gives none to outgoing connections
