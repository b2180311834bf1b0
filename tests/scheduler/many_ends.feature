Feature: More ends wait on a worker than one of its answers has room for

  Scenario: A new leader starts no task again whose end comes with a later answer
    # Guards against tasks that run twice, because the first answer after a change of
    # leader, full of ends, is taken for all that its worker has to report.
    Given a worker that reports 3 ends at a time, and 10 tasks that run there
    When all tasks end done, and another instance leads
    Then each task was started once, and the job is completed within 1 s

  Scenario: Tasks of which a new leader has not heard yet keep their room
    # Guards against a worker that is given more than it has room for.
    Given a worker that reports 3 ends at a time, and 10 tasks that run there
    When all tasks but 2 end done, another instance leads, and 20 more tasks come
    Then no start exceeded the worker's capacity, and all jobs are completed within 3 s

  Scenario: A leader starts no task again while it can't acknowledge the first ends
    # Guards against tasks that run twice, because the same full answer, before and after
    # the stops of what it left out, is taken as proof that nothing runs there.
    Given a worker that reports 3 ends at a time, and 10 tasks that run there
    When all tasks end done while the store is down for 1.5 s
    Then each task was started once, and the job is completed within 1 s

  Scenario: A new leader starts tasks that never began
    # The start that got lost is found by the first answer that leaves nothing out.
    Given a worker that reports 3 ends at a time, and 10 tasks that run there
    And one more task whose start the worker never got
    When all tasks end done, and another instance leads
    Then that task was started once, and the job is completed within 1 s

  Scenario: Tasks that have ended are not blamed for a crash of their worker
    # Guards against sound jobs that are shown as failed: a run that a worker with a short
    # life doesn't list counts as the cause of the crash before.
    Given a new worker that reports 3 ends at a time, and 10 tasks that run there
    When all tasks end done, and another instance leads
    Then no task was suspected of a crash, and the job is completed within 1 s

  Scenario: A new leader starts no task again that was started under an assignment
    # As the first, for starts that only an assignment permitted.
    Given workers that report 1 end at a time, and a job whose next step has 9 tasks
    When that step starts while the store is down, ends done, and another instance leads
    Then each of its tasks was started once, and the job is completed within 2 s

  Scenario: A worker that may have more ends is asked for them at once
    # Guards against a wait for the next end where exactly as many waited as an answer
    # has room for.
    Given a worker that reports 3 ends at a time, and 3 tasks that run there
    When all tasks end done, and another instance leads
    Then no poll waited for an end before all were reported
