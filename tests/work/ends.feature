Feature: An end that an instance knows is told to callers, whatever is lost
  Fakes of the table and the workers, in one process; time is simulated. An instance hears
  from its worker how a release ended while it is cut off from the table, and loses the
  worker to another instance.

  Scenario: An end that was heard is written after another instance has adopted the work
    Guards against an end that is dropped for a conflict with an adoption.
    Given an instance that has heard the end of a release while cut off from the table
    And its peer has adopted the release, and can't reach the worker
    When the instance reaches the table again
    Then both instances tell the release as completed
