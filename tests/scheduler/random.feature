Feature: Random histories of leaders, workers and the store

  Scenario: Random faults break no promise
    Leaders are replaced and go on without knowing it; orders, looks and writes get lost
    or come late; workers fall silent and crash; jobs are cancelled. No task runs twice
    at a time or after its end was noted, no noted end is forgotten, and once the faults
    are over every job ends.
    Then 80 random histories of up to 40 steps keep every promise of the scheduler

  Scenario: Random faults break no promise where there are more workers than are in reach
    As above, but each leader attends to two of the three workers, and the next one may
    choose others. What an earlier one started beyond them is still seen to its end.
    Then 60 random histories of up to 40 steps keep them too where leaders attend to two of three workers

  Scenario: Random faults break no promise where workers start again under their names
    As above, but a worker that crashes keeps its name, and late orders to its earlier
    life reach the later one.
    Then 80 random histories of up to 40 steps keep them too where workers start again

  Scenario: A start in doubt is barred where it was sent before the next one begins
    # The start gets no answer and is carried out seconds later. The worker does not list
    # the run, so it seems free to begin elsewhere; the late start would run beside it.
    Given a task whose start is late at one worker
    When that worker answers again and 1 s passes
    Then its run is on one worker
    When the late start arrives
    Then its run is on one worker

  Scenario: A stop without an answer settles no doubt
    # The stop that bars the late start is lost too. While looks go on to list nothing,
    # the next run has to wait: the start may still arrive.
    Given a task whose start is late at one worker
    When that worker goes on answering looks alone and 1 s passes
    Then its run is nowhere
    When the late start arrives
    Then no task runs twice and the job ends

  Scenario Outline: An end is kept before its worker forgets it, whatever becomes of the write
    # The write of a task's end meets faults of the store. The leader sends it again
    # until it takes effect, and begins no other write meanwhile. Until then the worker
    # lists the end again; had it forgotten it, the next leader would start the task.
    Given a task that has ended done at its worker
    When 4 writes of its end are <fault>, and the leader goes on for 0.15 s
    Then its worker lists the end still
    When 1 s passes
    Then its end is kept, and its worker has forgotten it

    Examples:
      | fault |
      | lost  |
      | late  |
      | down  |
