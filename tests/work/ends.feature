Feature: An end that an instance knows is told to callers, whatever is lost
  Fakes of the table and the workers, in one process; time is simulated. An instance hears
  from its worker how a release ended while it is cut off from the table, and loses the
  worker to another instance.

  Scenario: An end that was heard is written after another instance has adopted the work
    Guards against an end that is dropped for a conflict with an adoption.
    Given an instance cut off from the table that has heard an end, and can't call its peer
    And its peer has adopted the release, and can't reach the worker
    When the instance reaches the table again
    And the worker loses its state
    Then both instances tell the release as completed

  Scenario: Whoever finds a worker without its state asks how its work ended
    Guards against work that is lost for good though a living instance knows its end.
    Given an instance cut off from the table that has heard an end, and can't call its peer
    And the worker has lost its state, and belongs to the peer
    When the peer looks after its work
    Then both instances tell the release as completed
    And nobody is asked about it any more

  Scenario Outline: Whoever is asked about work on a worker that is gone finds its end
    Guards against an end that is overwritten by the instance that knows it, or by a peer.
    Given an instance cut off from the table that has heard an end, and can't call its peer
    And the platform calls the worker gone
    Then a caller who asks <whom> is told that it is completed

    Examples:
      | whom         |
      | the instance |
      | its peer     |

  Scenario: Work is not lost while an instance that may know its end is silent
    Guards against work that is lost for good because the one who knows its end is frozen.
    Given an instance cut off from the table that has heard an end, and can't call its peer
    And the worker has lost its state, and belongs to the peer
    And calls to the instance fail with "deadline_exceeded"
    When the peer looks after its work for 8 s
    Then the peer tells the release as unknown, with a time to ask again
    When calls to the instance are answered again
    Then both instances tell the release as completed

  Scenario: Work is lost in the end if those that may know its end stay silent
    Guards against work whose outcome stays open for ever.
    Given an instance cut off from the table that has heard an end, and can't call its peer
    And the worker has lost its state, and belongs to the peer
    And calls to the instance fail with "unavailable"
    When the peer looks after its work for 12 s
    Then the peer tells the release as unknown for good
    And nobody is asked about it any more

  Scenario: An instance that was just started asks once it knows its peers
    Guards against work that is lost for good because nobody was there to be asked.
    Given an instance cut off from the table that has heard an end, and can't call its peer
    And the worker has lost its state, and belongs to the peer
    And the peer has not read the list of instances yet
    When the peer looks after its work for 3 s
    Then the peer tells the release as unknown, with a time to ask again
    When the list of instances is read
    Then both instances tell the release as completed

  Scenario: Peers of an earlier build don't hold the decision up
    Guards against work whose outcome stays open beside instances that know no such call.
    Given an instance cut off from the table that has heard an end, and can't call its peer
    And the worker has lost its state, and belongs to the peer
    And calls to the instance fail with "unimplemented"
    When the peer looks after its work for 1 s
    Then the peer tells the release as unknown for good

  Scenario: A peer writes an end that an instance can't write
    Guards against ends that are lost with the only instance that has heard them.
    Given an instance cut off from the table that runs a release
    When it hears that the release has ended
    And it dies, and the worker loses its state
    Then both instances tell the release as completed
    And no end is kept any more

  Scenario: An instance that knows the table to be away tells its peers before it writes
    Guards against ends that are lost in the seconds that a write takes to fail.
    Given two instances cut off from the table, one of which runs a release
    And the instance knows that the table is away, and will die as it writes
    When it hears that the release has ended
    Then the end is kept by b

  Scenario: A peer that is cut off as well writes the end later
    Guards against ends that are lost when a whole data centre is cut off.
    Given two instances cut off from the table, one of which runs a release
    When it hears that the release has ended
    And it dies, and the worker loses its state
    And the peer reaches the table again
    Then both instances tell the release as completed
    And no end is kept any more

  Scenario: Whoever takes the worker before a kept end is written asks for it
    Guards against a new run that finds the table before the peer that keeps the end.
    Given two instances cut off from the table, one of which runs a release
    When it hears that the release has ended
    And it dies, and the worker loses its state
    And its new run takes the worker, as it reaches the table first
    Then both instances tell the release as completed
    And no end is kept any more

  Scenario: A peer that holds the work itself ends it as its own
    Guards against room and jobs that never learn of an end that was kept.
    Given an instance cut off from the table that runs a release
    And its peer has adopted the release, and can't reach the worker
    And the peer will note what ends there
    When it hears that the release has ended
    Then the peer has ended the release as its own
    And no end is kept any more

  Scenario: An end is kept in two data centres
    Guards against ends that are lost with a data centre.
    Given instances of two data centres cut off from the table
    When it hears that the release has ended
    Then the end is kept in both data centres

  Scenario Outline: An end is told to another peer if one that keeps it goes
    Guards against ends that are lost when instances are replaced one after the other.
    Given instances of two data centres cut off from the table
    When it hears that the release has ended
    And the peer nearby that keeps it <changes>
    Then the end is kept by <names>

    Examples:
      | changes      | names         |
      | is stopped   | b and c and d |
      | falls silent | b and c and d |

  Scenario: An end is told again to a peer that has started again
    Guards against ends that are thought to be kept by a run that is gone.
    Given instances of two data centres cut off from the table
    When it hears that the release has ended
    And the peer nearby that keeps it starts again
    Then the end is kept in both data centres

  Scenario: Random histories lose no end that is known
    Instances are cut off, die and freeze, workers lose their state and change owners, and
    answers are lost, in any order. Guards against work that is lost for good while a running
    instance knows its end, and against outcomes that change.
    Then 300 random histories of up to 40 steps lose no known end

  Scenario: A peer that keeps too much refuses an end
    Guards against instances whose memory grows for as long as the table is away.
    Given instances of two data centres cut off from the table
    And the peer keeps as many ends as it may
    When it hears that the release has ended
    Then the end is kept by c and d

  Scenario: An end of an earlier generation does not end a later one
    Guards against evicted work that is told as ended while it runs again.
    Given a batch task that was evicted and resumed
    When a peer tells an end of its first generation
    Then the task runs on
    And no end is kept any more
