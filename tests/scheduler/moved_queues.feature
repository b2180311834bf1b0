Feature: Jobs whose queue moves, or is gone, while they are at work

  Background:
    Given a queue with advice at service A, and service B, with 2 workers each
    And a job of 2 steps of 3 tasks, of which the first one runs

  Scenario Outline: The next step runs where the configuration in force says
    # Guards against a job that waits for ever, as advice is asked for on workers of the
    # service at its hand-in, and its tasks are placed on those of the service in force.
    When <change>
    And the first step ends
    Then the second step is done by workers of service <service> within 1 s
    And no start was rejected

    Examples:
      | change                                                         | service |
      | the queue moves to service B                                   | B       |
      | the queue moves to service B, and needs no advice there        | B       |
      | the queue moves to service B and back                          | A       |
      | the queue needs no advice any more                             | A       |
      | the queue moves to service B while the advice service is asked | B       |

  Scenario: A step that had tickets goes on where none are needed
    # Guards against tasks that are placed for ever on the workers that once had tickets.
    When the queue moves to service B, and needs no advice there
    And the tasks of the first step fail
    Then the first step is done by workers of service B within 1 s

  Scenario Outline: A job whose queue is gone keeps to what was last known of it
    # Guards against starts without a ticket, which are rejected again and again.
    When <change>
    And the first step ends
    Then the second step is done by workers of service <service> within 1 s
    And no start was rejected

    Examples:
      | change                                                                        | service |
      | the queue is removed                                                          | A       |
      | the queue is removed, and another instance leads                              | A       |
      | the queue moves to service B and is removed                                   | B       |
      | the queue moves to service B and is removed, and another instance leads       | B       |
      | the queue is removed and added again at service B                             | B       |
      | the queue moves to service B, needs no advice there, and is removed           | B       |

  Scenario: Tickets of workers that have left do not hold up a step
    # Guards against a wait until the tickets expire.
    When the first step ends
    And the workers of service A that run the second step leave, and another one comes
    Then the second step is done by workers of service A within 1 s

  Scenario: Tickets of workers that drain do not hold up a step
    # Guards against a wait until the tickets expire.
    When the workers of service A that were approved drain, and another one comes
    And the first step ends
    Then the second step is done by workers of service A within 1 s

  Scenario: A rejected start shows that a queue that is gone needs advice
    # Guards against a job of an earlier build, whose row doesn't tell that, that is
    # rejected at the pace of the retries for as long as it lasts.
    When the queue is removed, and its jobs don't tell that it needs advice
    And the first step ends
    Then the second step is done by workers of service A within 1 s
    And at most one start of each task was rejected

  Scenario: Tickets that workers reject are renewed less and less often
    # Guards against starts and calls at full pace for a job whose tickets are of no use.
    When the first step ends, and workers reject all tickets for 10 s
    Then advice on the second step was asked for 4 to 9 times

  Scenario: Advice is not asked for without a worker to ask about
    # Guards against calls at the pace of the retries, each logged, for a job that can't
    # run anywhere for now.
    When the queue moves to service C, which has no workers
    And the first step ends, and 3 s pass
    Then the advice service was not asked, and one line tells why the step waits
    When a worker of service C comes
    Then the second step is done by workers of service C within 1 s

  Scenario: A leader behind the configuration of a new job runs it where that one sends it
    # Guards against new jobs that run at the service of an earlier configuration, as the
    # leader has not read the one under which they were accepted.
    When a job is handed in after the queue moved to service B, which the leader has not read
    Then the new job is done by workers of service B within 1 s

  Scenario: A leader runs a new job where a configuration after that of the job sends it
    # Guards against leaders that go by the hand-in for longer than they are behind.
    When a job is handed in after the queue moved to service B, which the leader has not read
    And the leader reads that it moved back to service A
    Then the new job is done by workers of service A within 1 s
