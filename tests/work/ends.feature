Feature: An end that an instance knows is told to callers, whatever is lost
  Fakes of the table and the workers, in one process; time is simulated. An instance hears
  from its worker how a release ended while it is cut off from the table, and loses the
  worker to another instance.

  Scenario: An end that was heard is written after another instance has adopted the work
    Guards against an end that is dropped for a conflict with an adoption.
    Given an instance that has heard the end of a release while cut off from the table
    And its peer has adopted the release, and can't reach the worker
    When the instance reaches the table again
    And the worker loses its state
    Then both instances tell the release as completed

  Scenario: Whoever finds a worker without its state asks how its work ended
    Guards against work that is lost for good though a living instance knows its end.
    Given an instance that has heard the end of a release while cut off from the table
    And the worker has lost its state, and belongs to the peer
    When the peer looks after its work
    Then both instances tell the release as completed
    And nobody is asked about it any more

  Scenario Outline: Whoever is asked about work on a worker that is gone finds its end
    Guards against an end that is overwritten by the instance that knows it, or by a peer.
    Given an instance that has heard the end of a release while cut off from the table
    And the platform calls the worker gone
    Then a caller who asks <whom> is told that it is completed

    Examples:
      | whom         |
      | the instance |
      | its peer     |

  Scenario: Work is not lost while an instance that may know its end is silent
    Guards against work that is lost for good because the one who knows its end is frozen.
    Given an instance that has heard the end of a release while cut off from the table
    And the worker has lost its state, and belongs to the peer
    And calls to the instance fail with "deadline_exceeded"
    When the peer looks after its work for 8 s
    Then the peer tells the release as unknown, with a time to ask again
    When calls to the instance are answered again
    Then both instances tell the release as completed

  Scenario: Work is lost in the end if those that may know its end stay silent
    Guards against work whose outcome stays open for ever.
    Given an instance that has heard the end of a release while cut off from the table
    And the worker has lost its state, and belongs to the peer
    And calls to the instance fail with "unavailable"
    When the peer looks after its work for 12 s
    Then the peer tells the release as unknown for good
    And nobody is asked about it any more

  Scenario: An instance that was just started asks once it knows its peers
    Guards against work that is lost for good because nobody was there to be asked.
    Given an instance that has heard the end of a release while cut off from the table
    And the worker has lost its state, and belongs to the peer
    And the peer has not read the list of instances yet
    When the peer looks after its work for 3 s
    Then the peer tells the release as unknown, with a time to ask again
    When the list of instances is read
    Then both instances tell the release as completed

  Scenario: Peers of an earlier build don't hold the decision up
    Guards against work whose outcome stays open beside instances that know no such call.
    Given an instance that has heard the end of a release while cut off from the table
    And the worker has lost its state, and belongs to the peer
    And calls to the instance fail with "unimplemented"
    When the peer looks after its work for 1 s
    Then the peer tells the release as unknown for good
