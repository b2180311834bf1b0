Feature: No caller is answered by a configuration that may have been replaced

  An instance goes by a configuration only as long as it was the newest one less than the
  time ago within which changes must be in force. That nothing was heard of a newer one does
  not show that there is none.

  Scenario Outline: A removed queue is answered for no longer while readings <fail>
    A caller asked for the number of waiting jobs 4 s after a change was acknowledged, and
    was told it by the configuration before: its reading had failed, and until the next one
    began to arrive nothing told the instance of a newer one, while the store went on giving
    it all other rows. Jobs of a removed queue were shown and cancelled in the same way.
    Given an instance that reads 1000 KB a second from the store, and an accepted job
    And a configuration must be in force everywhere within 2 s
    When its readings of the configuration <fail>
    And the queue of the job is removed, one of 1000
    Then from 2.5 s on the instance answers nothing by the configuration before
    When its readings of the configuration work again
    Then it tells within 2 s that the queue does not exist

    Examples:
      | fail               |
      | stall after 50 KB  |
      | break after 50 KB  |
      | have no answer     |
      | are reset          |
      | are refused as 503 |
      | are refused as 429 |

  Scenario: A peer does not answer by a configuration that it could not confirm either
    An instance that could not read the configuration passed a caller on to a peer in the
    same state. The peer had no older version than the instance, and so it answered.
    Given an instance that reads 1000 KB a second from the store, and an accepted job
    And the instance serves requests forwarded by peers
    And a configuration must be in force everywhere within 2 s
    When its readings of the configuration are refused as 503
    And the queue of the job is removed, one of 1000
    Then from 2.5 s on a peer that asks for the number of waiting jobs is refused

  Scenario: An instance that is cut off from the store tells what it remembers
    A data centre is cut off. Whether the configuration has changed can't be known there, and
    no instance in it can read a job; its callers are better served by the last known state
    of their jobs than by refusals.
    Given an instance that reads 1000 KB a second from the store, and an accepted job
    And a configuration must be in force everywhere within 2 s
    And the caller is told that its job is queued
    When the store answers nothing any more
    Then from 2.5 s on the caller is told that its job is queued
    And the number of waiting jobs is refused within 0.2 s

  Scenario: An instance answers as soon as a large configuration has arrived
    It took longer to arrive than a change may take to be in force, so whether it is still the
    newest one has to be asked again. This request waited for the next change, for 0.5 s, in
    which all callers were refused.
    Given an instance that reads 500 KB a second from the store, and an accepted job
    And a configuration must be in force everywhere within 1 s
    When the configuration grows to 4000 queues
    And the instance applies it
    Then it tells within 0.3 s how many jobs wait

  Scenario: A leader that runs a job of a newer configuration no longer answers by its own
    Callers saw that a change was in force, as a job for a queue that was added ran. The
    instance that led had started it without having read the change, and went on answering
    for queues that the change had removed: for its callers the configuration went back.
    Given an instance that reads 1000 KB a second from the store, and an accepted job
    And a configuration must be in force everywhere within 10 s
    And the instance leads
    When its readings of the configuration are refused as 503
    And the queue of the job is removed, one of 1000
    And another instance accepts a job for a queue that was added
    Then from 0.5 s on the instance answers nothing by the configuration before
    When its readings of the configuration work again
    Then it tells within 2 s that the queue does not exist

  Scenario: Callers are answered soon after an outage, not once a lost request is given up
    The store was away without a sign. When it was back, an instance still waited for the
    answer to a request that had been lost, for up to 1.3 s, and refused its callers meanwhile.
    Given an instance that reads 1000 KB a second from the store, and an accepted job
    And a configuration must be in force everywhere within 2 s
    When the store answers nothing for each of 2.6, 3.0 and 3.4 s, and callers ask on
    Then callers were answered at most 0.6 s after its return each time

  Scenario Outline: A large configuration that grew during an outage is read once after it
    After the outage, the watch and callers each had the configuration sent, and on a narrow
    link both copies took twice as long, in which callers were refused.
    Given an instance that reads 500 KB a second from the store, and an accepted job
    And a configuration must be in force everywhere within 2 s
    When the configuration grows to 4000 queues during an outage of <seconds> s, and callers ask on
    Then the instance applies it within 5 s
    And little more than one copy of the configuration was read

    Examples:
      | seconds |
      | 2.4     |
      | 2.8     |
      | 3.2     |

  Scenario: A read that is replaced before its answer comes leaves nothing behind
    The store had dropped its history, and answered readings of all rows after 0.7 s. One that
    had been replaced meanwhile still counted as arriving when its answer came, for ever: the
    instance waited for it, and refused all callers from the next doubt on.
    Given an instance that reads 1000 KB a second from the store, and an accepted job
    And a configuration must be in force everywhere within 2 s
    When the store answers nothing for each of 2.6 s, and callers ask on, and its history is lost
    Then callers were answered at most 3 s after its return each time
    And no answer counts as arriving
