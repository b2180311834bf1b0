Feature: The API's description and the conventions of the code
  Conventions that can be checked automatically are, so that reviews can focus on the
  rest.

  Scenario: Each route is described, and each described one is served
    Given the description docs/openapi.json
    Then it describes the routes of the program, and no other
    And each reference in it resolves
    And it lists each title that the program can refuse with, and no other

  Scenario: The running program answers as described
    Given the description docs/openapi.json
    And an instance with a worker
    When each described operation is called with its examples
    Then each is answered with a described status
    And a call without a token is refused where one is required

  Scenario: Modules are imported, not names
    Then no import statement imports a name from a module

  Scenario: Files hold no paths of a machine
    Then no file contains a path of a developer's machine

  Scenario: The soak is under a tenth of the code
    Then the soak's share of the code is printed and under a tenth

  Scenario: The platform's words stay in its folder
    Then no module outside src/mangosail/platform uses the platform's terms

  Scenario: Slices that run at the same time never share a port
    Guards against an instance that never becomes ready because an instance of another
    stage, or an outgoing connection, has taken its port. This happened once in several
    runs of all slices.
    When 4 processes ask for 40 ports each at the same time
    Then all of them differ, and none is in the kernel's range for outgoing connections
