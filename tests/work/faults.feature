Feature: Durable work under faults, over separate processes
  What callers are told is held against the workers' own logs.

  Scenario: Answers of the table are lost after the write
    Half of all commits take effect, but their answers never come. Each order is
    sent to two instances at once, so that both claim. The row says who won.
    When 20 releases are each ordered at both instances while answers are lost
    Then each of them ends with the same outcome everywhere
    And no release started twice, nor one that was called not_run

  Scenario: Answers of the table are lost after every kind of write
    Half of all commits lose their answers, those of sessions and of the owners
    of workers too, so leases lapse and workers change hands under the claims.
    When 20 releases are each ordered at both instances while all answers are lost
    Then each of them ends with the same outcome everywhere
    And no release started twice, nor one that was called not_run

  Scenario: The answer of a start is lost
    The worker runs the release but its answer never comes. The instance asks the
    worker instead of starting again, so the caller gets the one run's answer.
    When a release is ordered whose start's answer is lost
    Then it completes with one start

  Scenario: The instance that started a release is killed while it runs
    The other instance takes the worker once the lease is over, finds the task
    running there and takes it on. Whoever asks it again gets the answer.
    When a release runs for 6 seconds and its instance is killed
    Then the other instance tells its answer, after one start

  Scenario: The instance that holds a release and a job is frozen past its lease
    The other instance adopts the release and takes the job over. The first
    one wakes up with a stale view: it must start nothing and write nothing, and
    learns the release's end from the row like any other.
    When a release of 14 seconds and a job "frozen" of 12 tasks run at one instance
    And that instance is frozen until the other has adopted the release, then wakes
    Then both instances tell one end of the release, after one start
    And the job "frozen" ends with each of its 12 tasks completed once

  Scenario: The table is down while releases and a job run
    What runs goes on and ends; its ends can't be written for 20 seconds, and
    nothing new is claimed meanwhile. Once the table is back, all is recorded.
    When 4 releases of 6 seconds and a job "outage" of 12 tasks run
    And the table is down for 20 seconds, in which the releases end
    And a release is ordered while the table is down
    Then it is refused as "store_unavailable" with a time to come back
    When the table is back
    Then the same release completes with one start
    And each of them ends with the same outcome everywhere
    And no release started twice, nor one that was called not_run
    And the job "outage" ends with each of its 12 tasks completed once
  Scenario Outline: A worker is killed while it runs a release, and forgets it
    The release runs, and its start's answer <comes>. The worker's process is
    killed and comes back at once without its memory. Asked, it knows nothing of
    the release and makes it void, which proves nothing about the earlier run.
    When a release is ordered whose start's answer <comes>, and its worker forgets it
    Then it is told "unknown" everywhere for good, after one start

    Examples:
      | comes    |
      | is lost  |
      | comes in |

  Scenario: Cancellations come in a burst and race the starts and the ends
    Half of the orders are on their way or short enough to end by themselves.
    Each ends once, and what was called not_run is in no worker's log.
    When 120 releases are ordered and cancelled at the other instance at once
    Then each of them ends with the same outcome everywhere
    And no release started twice, nor one that was called not_run

  Scenario: The order that stops a cancelled release is lost
    The caller is told that nothing certain is known yet, and asks what became of the
    release. The worker had said meanwhile that it runs, and with that the cancellation
    was forgotten (`work.cancel_in_doubt` 1, no `work.cancelled.placed`): the release
    ran to its end, 50 s later, though its caller had cancelled it.
    When a release of 50 seconds is cancelled while orders to stop are lost
    Then it is told "cancelled" everywhere after one start

  Scenario: Cancelled before it was ordered
    When the unused id "early" is cancelled, then ordered
    Then the order is told "not_run", and nothing started

  Scenario: The table is down, then back
    Nothing can be claimed, and nobody can know whether the id was used before, so
    the answer is unknown with a time to come back, never not_run.
    When a release is ordered while the table is down
    Then it is refused as "store_unavailable" with a time to come back
    When the table is back
    Then the same release completes with one start

  Scenario: No room here, but at a peer
    The instance has no worker of its own. It passes the release on once.
    When a release is ordered at an instance without workers
    Then it completes with one start

  Scenario: An instance joins while releases run, and takes workers over
    Six workers are shared by two instances, all of them busy. The third gets its
    share with what runs there: it adopts the releases and records their ends.
    When releases run on 6 workers and an instance joins
    Then it adopts some of the releases
    And each of them ends with the same outcome everywhere
    And no release started twice, nor one that was called not_run
