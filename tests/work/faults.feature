Feature: Durable work under faults, over separate processes
  The outcomes reported to callers are compared with the workers' own logs.

  Scenario: Answers of the table are lost after the write
    Half of all commits take effect, but their answers are lost. Each order is sent
    to two instances at once, so that both claim it. The row tells which one won.
    When 20 releases are each ordered at both instances while answers are lost
    Then each of them ends with the same outcome everywhere
    And no release started twice, nor one that was called not_run

  Scenario: Answers of the table are lost after every kind of write
    Half of all commits lose their answers, including those of sessions and worker
    ownership, so that leases expire and workers change owners during claims.
    When 20 releases are each ordered at both instances while all answers are lost
    Then each of them ends with the same outcome everywhere
    And no release started twice, nor one that was called not_run

  Scenario: The answer of a start is lost
    The worker runs the release, but its answer is lost. The instance asks the worker
    instead of starting again, so the caller gets the answer of the only run.
    When a release is ordered whose start's answer is lost
    Then it completes with one start

  Scenario: The instance that started a release is killed while it runs
    The other instance takes over the worker once the lease has expired, finds the
    task running there and adopts it. A caller that asks again gets the answer.
    When a release runs for 6 seconds and its instance is killed
    Then the other instance returns its answer, after one start

  Scenario: The instance that holds a release and a job is frozen past its lease
    The other instance adopts the release and takes the job over. The first one
    resumes with a stale view: it must not start or write anything, and learns the
    end of the release from the row.
    When a release of 14 seconds and a job "frozen" of 12 tasks run at one instance
    And that instance is frozen until the other has adopted the release, then resumed
    Then both instances return the same end of the release, after one start
    And the job "frozen" ends with each of its 12 tasks completed once

  Scenario: The table is down while releases and a job run
    Running work continues and ends, but the ends can't be written for 20 seconds,
    during which nothing new is claimed. Once the table is back, all are recorded.
    When 4 releases of 6 seconds and a job "outage" of 12 tasks run
    And the table is down for 20 seconds, during which the releases end
    And a release is ordered while the table is down
    Then it is refused as "store_unavailable" with a time to come back
    When the table is back
    Then the same release completes with one start
    And each of them ends with the same outcome everywhere
    And no release started twice, nor one that was called not_run
    And the job "outage" ends with each of its 12 tasks completed once
  Scenario Outline: A worker is killed while it runs a release and loses its state
    The release runs, and the answer of its start <comes>. The worker's process is
    killed and restarts at once without its state. Asked about the release, it does
    not know it and voids it, which proves nothing about the earlier run.
    When a release is ordered whose start's answer <comes>, and its worker restarts
    Then it is reported "unknown" everywhere for good, after one start

    Examples:
      | comes    |
      | is lost  |
      | comes in |

  Scenario: Cancellations come in a burst and race the starts and the ends
    Half of the orders are in flight or short enough to complete before they are
    cancelled. Each ends once, and no release reported as not_run is in a worker's log.
    When 120 releases are ordered and cancelled at the other instance at once
    Then each of them ends with the same outcome everywhere
    And no release started twice, nor one that was called not_run

  Scenario: The order that stops a cancelled release is lost
    The caller is told that the outcome is not known yet, and asks again. Regression:
    meanwhile the worker had reported the release as running, and the cancellation was
    dropped (`work.cancel_in_doubt` 1, no `work.cancelled.placed`), so that the release
    ran to completion, 50 s later, although its caller had cancelled it.
    When a release of 50 seconds is cancelled while orders to stop are lost
    Then it is reported "cancelled" everywhere after one start

  Scenario: Cancelled before it was ordered
    When the unused id "early" is cancelled, then ordered
    Then the order is reported "not_run", and nothing started

  Scenario: The table is down, then back
    Nothing can be claimed, and whether the id was used before is not known, so the
    outcome is unknown with a time to retry, never not_run.
    When a release is ordered while the table is down
    Then it is refused as "store_unavailable" with a time to come back
    When the table is back
    Then the same release completes with one start

  Scenario: The instance has no capacity, but a peer has
    The instance has no worker of its own. It forwards the release, one hop.
    When a release is ordered at an instance without workers
    Then it completes with one start

  Scenario: An instance joins while releases run, and takes workers over
    Two instances share six workers, all of them busy. The third instance takes over
    its share with the running releases, adopts these and records their ends.
    When releases run on 6 workers and an instance joins
    Then it adopts some of the releases
    And each of them ends with the same outcome everywhere
    And no release started twice, nor one that was called not_run
