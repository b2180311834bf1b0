Feature: The speed of best-effort work is known, or found out

  What presses on a tail latency is paused before its users have had to bear that for 4 s,
  and what was paused goes on, whoever leads and whichever answers are lost.

  Scenario: Work that an earlier leader left at full speed is paused beside a high tail
    # Guards against a new leader that takes all it inherits for paused, and pauses none.
    Given a latency-critical and a best-effort task on a worker
    When the tail latency rises too high while another instance comes to lead
    And the tail latency is too high for 3 s
    Then the best-effort task is paused

  Scenario: Work whose start got no answer is paused beside a high tail
    # Guards against a start in doubt that is taken for paused once it is listed.
    Given a latency-critical task on a worker
    And a best-effort task there whose start gets no answer
    When the tail latency is too high for 3 s
    Then the best-effort task is paused

  Scenario: Work that was paused before and began anew is paused beside a high tail
    # Guards against a run that keeps the limit of the task's earlier one, as it is listed
    # before its start is answered.
    Given a latency-critical and a best-effort task on a worker
    When the tail latency is too high for 1 s
    And the best-effort task ends stopped, and its next start is answered late
    And the tail latency is too high for 3 s
    Then the best-effort task is paused

  Scenario: Work that waits again counts in full where it may start next
    # Guards against best-effort work that was paused and counts as no pressure there.
    Given a latency-critical and a best-effort task on a worker
    When the tail latency is too high for 1 s
    And the best-effort task ends stopped
    Then it counts at full speed on the worker that it is placed on

  Scenario: A late answer about an earlier run says nothing about the next one
    # Guards against a run at full speed that is taken for paused as its predecessor was.
    Given a latency-critical and a best-effort task on a worker
    When the tail latency is too high for 1 s, and orders are answered late
    And the best-effort task ends stopped, and starts again
    And the late answers come
    And the tail latency is too high for 3 s
    Then the best-effort task is paused

  Scenario: Work that a late order lets go on is paused beside a high tail
    # Guards against an order without an answer that is carried out after a newer one.
    Given a latency-critical and a best-effort task on a worker
    When the tail latency is too high for 1 s
    And the next throttling order is carried out late
    And the tail latency is low for 1 s
    And the tail latency is too high for 1 s
    And what was late arrives
    And the tail latency is too high for 3 s
    Then the best-effort task is paused

  Scenario: Work that a late order pauses beside a low tail goes on
    # Guards against a job that stands still for good after an order without an answer.
    Given a latency-critical and a best-effort task on a worker
    When the next throttling order is carried out late
    And the tail latency is too high for 0.5 s
    And the tail latency is low for 1 s
    And what was late arrives
    And the tail latency is low for 3 s
    Then the best-effort task works at full speed

  Scenario: Work is paused beside a high tail also where polls are answered late
    # Guards against reports that count for everything but for the tails that they list.
    Given a latency-critical and a best-effort task on a worker
    When the tail latency is too high for 3 s, and each first poll gets no answer
    Then the best-effort task is paused

  Scenario: What to pause next beside a high tail is decided as soon as its effect shows
    # Guards against decisions that come when a poll happens to end, 1.2 s apart.
    Given a latency-critical and a best-effort task on a worker
    When the tail latency is too high for 0.2 s
    Then the last poll waited 0.3 s at most
    When the tail latency is too high for 1 s
    And the tail latency is low for 1 s
    Then the last poll waited as long as usual

  Scenario: A tail that was too high ends with its run
    # Guards against a task that keeps best-effort work away from the worker where it
    # begins anew, for the tail that it had elsewhere.
    Given a latency-critical and a best-effort task on a worker
    When the tail latency is too high for 1 s
    And the latency-critical task ends stopped
    Then no tail on the worker that it is placed on counts as too high

  Scenario: All work beside a high tail is paused in 2 s if the model blames none of it
    # Guards against a wrong model that lets a tail stand for longer than users bear, which
    # is 4 s less those until it is seen, one poll without an answer, and the last order.
    Given a latency-critical and 6 best-effort tasks on a worker
    And a model that blames none of them
    When the tail latency is too high for 2 s
    Then all of the 6 best-effort tasks are paused
