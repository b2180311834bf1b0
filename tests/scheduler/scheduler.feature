Feature: One leader runs jobs of steps on workers that fail in every way

  Scenario: Steps run in order and the job completes
    Given workers "w1 w2" and a leader
    And a job of 2 tasks, then 1 task
    When 2 rounds pass
    Then 2 tasks of the first step run and none of the second
    When the first step's tasks end done
    And 3 rounds pass
    Then the second step's task runs
    When the second step's task ends done
    And 2 rounds pass
    Then the job is shown as completed

  Scenario: A start whose answer is lost is not repeated elsewhere
    # The caller sees its order carried out once. The start is carried out, its
    # answer is lost; a second start at once would run the task twice.
    Given workers "w1 w2" and a leader
    And all workers lose their answers
    And a job of 1 task
    When 2 rounds pass
    Then the task was started once
    When the workers answer again
    And 3 rounds pass
    Then the task was started once
    And the task runs on one worker

  Scenario: A start whose answer is late runs elsewhere at once
    # Some orders get no answer and are carried out seconds later. Each held up its job
    # for 2 to 4 s: until the call was given up, until the look under way came back, and
    # again until the one after the stop did.
    Given workers "w1 w2" and a leader
    And a job of 1 task
    And the next start gets no answer and is carried out late
    When 2 rounds pass and the answer is late
    And 3 rounds pass
    Then the task runs, 0.2 s later at most
    When what was late arrives
    Then the task runs once

  Scenario: A look that gets no answer hides no end
    # Looks get lost like orders. For 2 s nothing that ended on the worker was seen, and
    # the caller's job waited; here the worker is looked at once more, beside that look.
    Given workers "w1" and a leader
    And a job of 1 task
    When 3 rounds pass
    And the task ends while the look that waits gets no answer
    Then the job has ended within 1 second of real time

  Scenario: A start that is carried out late does not run beside the next one
    # The caller sees its order carried out once. The start gets no answer, the task
    # is stopped there, which bars the run, and starts elsewhere; then the first
    # start arrives after all.
    Given workers "w1 w2" and a leader
    And all workers carry orders out late
    And a job of 1 task
    When 1 round passes
    And the workers answer again
    And 6 rounds pass
    Then the task runs on one worker
    When what was late arrives
    Then the task runs on one worker

  Scenario: Ends are noted only once they are durable
    # The caller sees its order carried out once. The task ends while the store is
    # down, the leader dies; had the worker forgotten the end, the next leader
    # would start the task again.
    Given workers "w1" and a leader
    And a job of 1 task
    When 2 rounds pass
    And the store goes down
    And the task ends done
    And 2 rounds pass
    Then the worker was not told to forget the end
    When the store is back
    And another instance leads
    And 3 rounds pass
    Then the task was started once
    And the job is shown as completed

  Scenario: The tasks of a silent worker run elsewhere once its lease is over
    # The caller waits no longer than the lease. A worker falls silent for good; each
    # unanswered look used to extend its lease in our reckoning, so that its tasks
    # waited for ever.
    Given workers "w1 w2" and a leader
    And a job of 1 task
    When 2 rounds pass
    And the task's worker falls silent
    And 3 seconds pass
    Then the task was started once
    When 3 seconds pass
    Then the task was started twice
    And the task runs on one worker

  Scenario: The tasks of a worker that came back as another run elsewhere at once
    Given workers "w1 w2" and a leader
    And a job of 1 task
    When 2 rounds pass
    And the task's worker is replaced
    And 3 rounds pass
    Then the task was started twice

  Scenario: A new leader stops the runs of a job that was cancelled meanwhile
    # The caller cancels while nobody leads. The next leader used to send the stops
    # before it knew where the workers were, and the job ran on.
    Given workers "w1 w2" and a leader
    And a job of 2 tasks
    When 2 rounds pass
    And the job is cancelled
    And another instance leads
    And 4 rounds pass
    Then no task runs
    And the job is shown as cancelled

  Scenario: A new leader lets tasks work again that an earlier one slowed down
    # The caller's order would stand still for good: looks don't tell a task's speed,
    # so the new leader took it for full.
    Given workers "w1" and a leader
    And a job of 1 best-effort task
    When 2 rounds pass
    And the task is slowed down to 0
    And another instance leads
    And 30 rounds pass
    Then the task works at full speed

  Scenario: A new leader leaves tasks where they run well
    # Guards against work being thrown away, and the lease lost, at each change of leader.
    Given workers "w1 w2" and a leader
    And a job of 4 best-effort tasks comes
    When 2 rounds pass
    And the workers leave the next 2 changes of speed unanswered
    And another instance leads
    And 40 rounds pass
    Then each of 4 tasks was started once, and runs
    And each of them works at full speed

  Scenario: A deposed leader writes nothing more, and its starts are refused
    # The caller sees its order carried out once. The leader is suspended with a
    # start on its way, another leads meanwhile, the first wakes up and goes on.
    Given workers "w1 w2" and a leader
    And a job of 1 task
    When another instance leads beside it
    And 3 rounds pass
    Then the task was started once
    When the first leader goes on
    Then the first leader is deposed
    And the task was started once

  Scenario: A transaction that takes effect late does not undo a later one
    # The caller would see a completed job run again. The store carries a write out
    # after its leader has sent it again and written more.
    Given workers "w1" and a leader
    And a job of 1 task
    When 2 rounds pass
    And the store carries one write out late
    And the task ends done
    And 3 rounds pass
    And the late write arrives
    Then the late write was refused
    And the job is shown as completed

  Scenario: A write whose answer was lost is found in the store
    Given workers "w1" and a leader
    And the store loses the answer to one write
    And a job of 1 task
    When 3 rounds pass
    Then the task was started once
    And the leader still leads

  Scenario: A write whose answer never comes is found in the store at once
    # The caller's job starts in time. The write that records its start takes effect and
    # its connection stays silent; the client's own time limit is seconds away.
    Given workers "w1" and a leader
    And the store leaves one write unanswered
    And a job of 1 task
    When 3 rounds pass in less than 1 second of real time
    Then the task was started once
    And the leader still leads

  Scenario: Starts are not held back by what changes during each write
    # The caller's job starts at once, however busy the leader is. Another job changes
    # while each transaction is on its way, so some change always waits; a start
    # that waited for none to be left would wait for seconds.
    Given workers "w1 w2" and a leader
    And another job changes during each write
    And a job of 1 task
    When 2 rounds pass
    Then the task was started once

  Scenario: A start waits until its own job is written
    # The task runs once though the leader dies. More jobs changed than one
    # transaction takes; a start that was sent with the first one would not be known
    # to the next leader.
    Given workers "w1 w2" and a leader
    And 90 other jobs that change before the job does
    When the job's start is recorded and one transaction is written
    Then no task was started
    When one more transaction is written
    Then the task was started once

  Scenario: A job whose starts are in doubt is still counted as waiting
    # The caller asks how many jobs wait. The job's starts are on their way to workers
    # that do not answer, so that nothing of it has begun.
    Given workers "w1 w2" and a leader
    And all workers carry orders out late
    And a job of 1 task
    When 1 round passes
    Then 1 job is counted as waiting
    When the workers answer again
    And what was late arrives
    And 2 rounds pass
    Then 0 jobs are counted as waiting

  Scenario: Best-effort work takes room as soon as it becomes free
    # The caller's batch job gets on. After a search in vain a step is tried only on workers
    # that have changed since, all of them each second; a worker whose task ended has.
    Given workers "w1" and a leader
    And a job of 4 best-effort tasks comes
    When 2 rounds pass
    And another job of 1 best-effort task comes and finds no room
    And one of the first job's tasks ends
    And 2 rounds pass
    Then the other job's task runs

  Scenario: A planned stop hands the lease over with all that was recorded
    # The caller's order goes on at once: the next leader does not wait until the
    # lease is old.
    Given workers "w1" and a leader
    And a job of 1 task
    When 2 rounds pass
    And the leader stops as planned
    Then the next instance leads at its first look
    And the task was started once

  Scenario: A job fails after its attempts, each counted once
    # The caller sees the job fail after two attempts, not one. The end is listed
    # again to a new leader, because the first died before it was acknowledged.
    Given workers "w1 w2" and a leader
    And a job of 1 task
    When 2 rounds pass
    And the task ends failed
    And its end is recorded but not acknowledged
    And another instance leads
    And 3 rounds pass
    Then the task runs on one worker
    And the job is shown as running
    When the task ends failed
    And 3 rounds pass
    Then the job is shown as failed

  Scenario: Tasks that last are started again however they end
    Given workers "w1 w2" and a leader
    And a job of 1 continuous task
    When 2 rounds pass
    And the task ends failed
    And 4 rounds pass
    Then the task runs on one worker
    And the job is shown as running

  Scenario: Labels and spreading are kept to
    Given workers "w1 w2" and a leader
    And worker "gpu" with the label "fast"
    And a job of 3 tasks that need the label "fast", at most 1 on a worker
    When 3 rounds pass
    Then 1 task runs, on "gpu"

  Scenario: An occurrence does not start before it is due
    Given workers "w1" and a leader
    And a job of 2 occurrences, 10 seconds apart, due in 5 seconds
    When 3 rounds pass
    Then no task runs
    When 6 seconds pass
    Then 1 task runs
    When 5 seconds pass
    Then no more than 1 task runs
    When 6 seconds pass
    Then both occurrences have been started

  Scenario: A short task finds room where continuous tasks took all
    # The caller of a quote used to wait until a continuous job was cancelled.
    Given workers "w1" and a leader
    And a job of 4 continuous tasks
    When 3 rounds pass
    And an urgent job of 1 task comes
    And 10 rounds pass
    Then the urgent task runs

  Scenario: A job with nothing running is not kept waiting for the tail latencies beside it
    # The caller's release used to wait for ever on workers that all serve.
    Given workers "w1" and a leader
    And a job of 2 tasks that serve
    When 3 rounds pass
    And their tail latencies are too high
    And a job of 3 best-effort tasks comes
    And 30 rounds pass
    Then 1 of the best-effort tasks runs

  Scenario: Every job gets on where more wait than a round can look for room for
    # The caller's release used to wait for ever, with most workers' memory free: a round
    # gives up after some searches in vain, and those in front used them up in each.
    # The jobs in front run their first task, then look for room for the second; the last
    # one gets its first task within seconds all the same, as no new job comes.
    Given worker "w1" with memory for all and a leader
    And 60 jobs of 2 best-effort tasks
    When 12 seconds pass
    Then each of the 60 jobs has a task running

  Scenario: Jobs with nothing running are spread over workers without tail latencies
    # The callers' releases took several times as long as they had to: each first task
    # went to the same worker, until its memory was full, though others had as little to
    # disturb and more cores unused.
    Given workers "w1 w2 w3" with memory for all and a leader
    And 60 jobs of 2 best-effort tasks
    When 12 seconds pass
    Then each of the 60 jobs has a task running
    And no worker runs over 2 tasks more than another

  Scenario: Best-effort work beside a high tail is stopped, and the others go on
    Given workers "w1" and a leader
    And a job of 1 task that serves
    And a job of 1 best-effort task
    When 4 rounds pass
    And their tail latencies are too high
    And 30 rounds pass
    Then the best-effort task works at 0 percent

  Scenario: No best-effort work comes to a tail that is too high
    # The users of a task that serves bear slow answers for seconds. Best-effort work
    # beside it is stopped where it is and presses no more, so to the model there is
    # room at once; what started into that room kept the answers slow, and each look
    # stopped only what had come since the last.
    Given workers "w1" and a leader
    And a job of 1 task that serves
    And a job of 1 best-effort task
    When 4 rounds pass
    And the best-effort task works beside low tail latencies
    And their tail latencies are too high
    And 1 round passes
    And another job of 1 best-effort task comes
    And 2 rounds pass
    Then the other job's task does not run
    When their tail latencies are low again
    And 3 rounds pass
    Then the other job's task runs

  Scenario: A job with nothing running goes beside the tail that is not too high
    # The caller's release has to run somewhere; the users on the worker whose tail is
    # high already are spared, though the model sees more room there.
    Given workers "w1" and a leader
    And worker "w2" with the label "fast"
    And a task that serves on each of them
    When 4 rounds pass
    And the tail on "w1" is too high, and "w2" has less room by what is known
    And a job of 1 best-effort task comes
    And 30 rounds pass
    Then 1 of the best-effort tasks runs, on "w2"

  Scenario: Tasks that stand still go on elsewhere
    # The caller waits about two seconds, not until the worker recovers. The worker
    # answers every call and makes no progress.
    Given workers "w1 w2" and a leader
    And a job of 2 tasks
    When 2 rounds pass
    And the task's worker stands still
    And 2 seconds pass
    Then the task was started twice
    And the task runs on one worker

  Scenario: A gang starts whole or not at all
    Given workers "w1" and a leader
    And a gang of 5 tasks
    When 3 rounds pass
    Then no task runs
    When worker "w2" comes
    And 3 rounds pass
    Then 5 tasks run, with one number of the run
    When one member ends done
    And 3 rounds pass
    Then the job is shown as completed

  Scenario: A gang of which one member was refused does not wait in vain
    # The caller would see the gang end for want of a member: the others would wait
    # for it until their time is over.
    Given workers "w1 w2" and a leader
    And worker "w2" refuses the next start
    And a gang of 5 tasks
    When 8 rounds pass
    Then 5 tasks run, with one number of the run
    And no run waited in vain

  Scenario: Only workers that the advice names run an advised step
    Given workers "w1 w2 w3" and a leader
    And a queue that asks for advice, which names "w2"
    And a job of 3 tasks
    When 4 rounds pass
    Then 3 tasks run, on "w2"
    And each start carried the ticket of its worker

  Scenario: A job that is over does not begin again when the history is lost
    # The caller would see its order carried out twice. The job is over and forgotten,
    # its row not cleared yet; the store drops its history, so all rows are read anew.
    Given workers "w1" and a leader
    And a job of 1 task
    When 2 rounds pass
    And the task ends done
    And 4 rounds pass
    And the store drops its history
    And 3 rounds pass
    Then the task was started once
    And the job is shown as completed

  Scenario: A look from before a stop's answer does not prove that a run is over
    # The caller would see its order carried out twice. A start is in doubt, its run
    # ends done, the stop is answered; a look that was sent before arrives only now and
    # lists neither. A later look lists the end.
    Given workers "w1 w2" and a leader
    And all workers lose their answers
    And a job of 1 task
    When 1 round passes
    And the workers answer again
    And the task ends done
    And its stop is answered, and then a look from before arrives
    And 3 rounds pass
    Then the task was started once
    And the job is shown as completed

  Scenario: What was learned of images survives a change of leader
    # Callers of latency-critical tasks would suffer anew with each leader.
    Given workers "w1" and a leader
    And a job of 1 task that serves
    When 2 rounds pass
    And the leader has learned that "filler" presses on "server"
    And 60 rounds pass
    And another instance leads
    Then the new leader knows that "filler" presses on "server"

  Scenario: A late entry of an earlier life does not end the present one
    # The caller would see its order carried out twice. A worker crashes while it is cut
    # off and comes back as another at its address; the entry of the earlier life is
    # written once more after that, as the store keeps no order among them.
    Given workers "w1 w3" and a leader
    When "w1" comes back as "w2" at its address
    And 4 rounds pass
    And a job of 4 tasks comes
    And 2 rounds pass
    And the entry of "w1" is written once more
    And 6 rounds pass
    Then each of 4 tasks was started once, and runs

  Scenario: A worker whose address another life has is asked at once
    # The caller does not wait until the silent worker's lease is over.
    Given workers "w1" and a leader
    And a job of 1 task
    When 2 rounds pass
    And "w1" comes back as "w2" at its address
    And 3 rounds pass
    Then the task was started twice
    And the task runs on one worker

  Scenario: Each decision about a job leaves its line, and none shows the job's text
    # On-call engineers have only logs. The job's text may hold what callers keep secret.
    Given workers "w1 w2" and a leader
    And the log is kept
    And a job of 1 task with the text "s3cret"
    When 2 rounds pass
    And the task ends failed
    And 3 rounds pass
    And the job is cancelled
    And 4 rounds pass
    Then the log tells "job taken, started, ended, waiting again, started, cancelling, job ended, stopping, ended, waiting again" of the job
    And no line holds "s3cret"

  Scenario: A worker whose entry somebody overwrote keeps its tasks and gets no more
    # An order would stand still or run twice. Somebody writes bytes over a worker's
    # entry while a task runs there: the task goes on, also under the next leader,
    # which has to read past the row, and new tasks go to the other worker.
    Given workers "w1 w2" and a leader
    And a job of 1 task
    When 2 rounds pass
    And the entry of the task's worker is overwritten
    And 2 rounds pass
    And a job of 3 more tasks comes
    And 3 rounds pass
    Then no task of the later job is on the worker of the first
    When another instance leads
    And 4 rounds pass
    Then the task was started once
    And the task runs on one worker
    And no task of the later job is on the worker of the first
    When the entry of the task's worker is written again
    And a job of 4 tasks comes last
    And 3 rounds pass
    Then a task of the last job is on the worker of the first

  Scenario: A worker of a pool that comes with the next configuration waits for it
    # Its entry is there first. It gets nothing until the configuration names the
    # pool, and is used without being written anew once it does.
    Given workers "w1" and a leader
    And worker "w2" of the pool "later"
    And a job of 8 tasks
    When 3 rounds pass
    Then no worker "w2" is known
    When the configuration names the pool "later"
    Then a worker "w2" is known

  Scenario: Rows of jobs that nobody can read stop neither the leader nor the rest
    # Every job would wait for ever: one row that can't be read ended the reading of
    # all, and each next leader's too. A job whose past can't be read starts nothing,
    # since it may have run.
    Given workers "w1" and a leader
    And a row of a job and a row of another job's past that nobody can read
    And a job of 1 task
    When another instance leads
    And 3 rounds pass
    Then the task was started once
    And the job without a readable past has started nothing

  Scenario: A new leader that has not read the jobs yet tells the earlier one's counts
    # The caller asks how many jobs wait and is told none. The next leader renews its
    # lease while it still reads the jobs, which takes seconds where there are many.
    Given workers "w1" and a leader
    And a job of 1 task
    And its only worker takes no orders
    When 8 rounds pass
    Then 1 job is told to wait
    When another instance wins the lease and renews it before it has read the jobs
    Then 1 job is told to wait

  Scenario: A job that is declared to take for ever keeps no other from its turn
    # Every caller's job would stand still. One caller declares 1e305 seconds; from a
    # few others' tasks that took longer than declared the sum of it overflowed.
    Given workers "w1" and a leader
    And tasks of the queue took ten times as long as declared
    And a job of 9 tasks that is declared to take 1e305 seconds
    When 4 rounds pass
    And an urgent job of 1 task comes
    And another worker "w2" comes
    And 8 rounds pass
    Then the urgent task runs
