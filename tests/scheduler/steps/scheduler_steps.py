import dataclasses
import random
import time

import gevent
import logbook
from behave import given, then, when
from tests.scheduler import fakes

from mangosail import codec
from mangosail.scheduler import errors, keys, messages, orders, progress
from mangosail.telemetry import logs

ID = "00000000000000aa"
URGENT = "00000000000000bb"
SERVING = "00000000000000cc"
TASK = f"{ID}.0.0.0"
PLENTY = 6
#: Tail latencies in milliseconds far below and above the target of 18.
LOW_TAIL = 3.0
HIGH_TAIL = 60.0


def submit(context, job):
    world = context.world
    world.rows.put(keys.job(job.job_id), job)
    context.job = job


def workers(context):
    return context.world.calls.workers.values()


def all_running(context):
    for worker in workers(context):
        worker.expire()
    return [task for worker in workers(context) for task in worker.running]


def end_all(context, prefix, outcome):
    for worker in workers(context):
        for task in [t for t in worker.running if t.startswith(prefix)]:
            worker.end(task, outcome)


def set_tails(context, tail):
    for worker in workers(context):
        for task in worker.running:
            if task.startswith(SERVING):
                worker.latencies[task] = tail


@given('workers "{names}" and a leader')
def step_world(context, names):
    context.world = fakes.World(random.Random(7))
    for name in names.split():
        context.world.add_worker(name)
    context.first = context.world.lead("a")


@given('worker "{name}" with the label "{label}"')
def step_labelled(context, name, label):
    context.world.add_worker(name, labels=("r2", label))


@given("a job of {first:d} tasks, then {second:d} task")
def step_two_steps(context, first, second):
    steps = (fakes.step(first), fakes.step(second, after=(0,)))
    submit(context, fakes.job(ID, *steps))


@given("a job of {count:d} task")
@given("a job of {count:d} tasks")
def step_job(context, count):
    submit(context, fakes.job(ID, fakes.step(count)))


@given("a job of {count:d} best-effort task")
@when("a job of {count:d} best-effort task comes")
@given("a job of {count:d} best-effort tasks comes")
@when("a job of {count:d} best-effort tasks comes")
def step_best_effort(context, count):
    step = fakes.step(count, best_effort=True, image="filler", checkpointing=True)
    submit(context, fakes.job(ID, step, priority=2))


@given("a job of {count:d} continuous task")
@given("a job of {count:d} continuous tasks")
def step_continuous(context, count):
    submit(context, fakes.job(ID, fakes.step(count, continuous=True)))


@given("a job of {count:d} latency-critical task")
@given("a job of {count:d} latency-critical tasks")
def step_critical(context, count):
    step = fakes.step(count, continuous=True, image="server", latency_target=18.0)
    submit(context, fakes.job(SERVING, step))


@given('a job of {count:d} tasks that need the label "{label}", at most 1 on a worker')
def step_constrained(context, count, label):
    submit(context, fakes.job(ID, fakes.step(count, label=label, most_per_worker=1)))


@given("a job of 2 occurrences, {gap:d} seconds apart, due in {wait:d} seconds")
def step_occurrences(context, gap, wait):
    due = context.world.clock.now + wait
    job = fakes.job(ID, fakes.step(), occurrences=2, first_due=due, interval=gap)
    submit(context, job)


@when("an urgent job of 1 task comes")
def step_urgent(context):
    submit(context, fakes.job(URGENT, fakes.step()))


@given('worker "{names}" with memory for all and a leader')
@given('workers "{names}" with memory for all and a leader')
def step_much_memory(context, names):
    context.world = fakes.World(random.Random(7))
    much = dataclasses.replace(fakes.CAPACITY, memory_gb=1000)
    for name in names.split():
        context.world.add_worker(name, capacity=much)
    context.first = context.world.lead("a")


@given("{count:d} jobs of {tasks:d} best-effort tasks")
def step_many_best_effort(context, count, tasks):
    step = fakes.step(tasks, best_effort=True, image="filler")
    for number in range(count):
        submit(context, fakes.job(f"{number:016x}", step, priority=2))


@then("each of the {count:d} jobs has a task running")
def step_each_runs(context, count):
    running = {task.partition(".")[0] for task in all_running(context)}
    missing = {f"{number:016x}" for number in range(count)} - running
    assert not missing, sorted(missing)


@then("no worker runs over {most:d} tasks more than another")
def step_spread(context, most):
    counts = [len(worker.running) for worker in workers(context)]
    assert max(counts) - min(counts) <= most, counts


@given("all workers lose their answers")
def step_lose(context):
    for worker in workers(context):
        worker.fault = "lost"


@given("the next start gets no answer and is carried out late")
def step_delayed_order(context):
    for worker in workers(context):
        worker.delay_next_order = True


@when("the task ends while the pending poll is not answered")
def step_unanswered_poll(context):
    (worker,) = workers(context)
    worker.ignore_next_poll = True
    worker.end(TASK)
    context.began_at = time.monotonic()
    context.world.leader.round(2)


@then("the job has ended within 1 second of real time")
def step_ended_soon(context):
    assert time.monotonic() - context.began_at < 1.0
    assert context.world.rows.state(ID) == "completed", context.world.rows.state(ID)


@when("2 rounds pass and the answer is late")
def step_late_answer(context):
    context.world.leader.round(2)
    context.began_at = context.world.clock.now
    for worker in workers(context):
        # Only one of them has received the start.
        worker.delay_next_order = False
    gevent.sleep(orders.ANSWER_TIMEOUT_S * 1.2)


@then("the task runs, {seconds:g} s later at most")
def step_runs_soon(context, seconds):
    assert all_running(context) == [TASK], all_running(context)
    assert context.world.clock.now <= context.began_at + seconds


@then("the task runs once")
def step_runs_once(context):
    assert all_running(context) == [TASK], all_running(context)


@given("all workers carry orders out late")
def step_late(context):
    for worker in workers(context):
        worker.fault = "late"


@when("the workers answer again")
def step_answer(context):
    for worker in workers(context):
        worker.fault = ""


@when("what was late arrives")
def step_arrives(context):
    context.world.calls.deliver_late()


@given("the store loses the answer to one write")
def step_lost_write(context):
    step_one_fault(context, "lost")


@given("the store leaves one write unanswered")
def step_unanswered_write(context):
    step_one_fault(context, "unanswered")


@when("3 rounds pass in less than 1 second of real time")
def step_quick_rounds(context):
    began_at = time.monotonic()
    context.world.leader.round(3)
    assert time.monotonic() - began_at < 1.0


@when("the store carries one write out late")
def step_late_write(context):
    step_one_fault(context, "late")


def others(count):
    return [
        progress.JobProgress(fakes.job(f"{number:016x}", fakes.step()))
        for number in range(count)
    ]


@given("another job changes during each write")
def step_changes_during(context):
    rows, leader = context.world.rows, context.first
    commit = rows.commit
    (other,) = others(1)

    def commit_and_change(transaction):
        leader.journal.record(other)
        return commit(transaction)

    rows.commit = commit_and_change


@given("{count:d} other jobs that change before the job does")
def step_change_before(context, count):
    step_job(context, 1)
    leader = context.first
    for feed in leader.feeds:
        feed.read_once(0)
    for worker in leader.scheduler.workers:
        leader.scheduler.poller.poll(worker)
    for other in others(count):
        leader.journal.record(other)


@when("the job's start is recorded and one transaction is written")
def step_one_transaction(context):
    context.first.scheduler.rounds.place()
    context.first.write()


@when("one more transaction is written")
def step_one_more(context):
    context.first.write()


@then("{count:d} job is counted as waiting")
@then("{count:d} jobs are counted as waiting")
def step_counted(context, count):
    assert sum(context.world.leader.scheduler.pending_counts().values()) == count


@when("another job of 1 best-effort task comes and cannot be placed")
def step_not_placed(context):
    step_another(context)
    context.world.leader.round(2)
    waiting = context.world.leader.task(f"{URGENT}.0.0.0")
    assert not waiting.live, waiting.phase


@when("one of the first job's tasks ends")
def step_one_ends(context):
    worker = context.world.calls.workers["w1"]
    worker.end(next(task for task in worker.running if task.startswith(ID)))


@then("the other job's task runs")
def step_other_runs(context):
    assert f"{URGENT}.0.0.0" in all_running(context)


@then("no task was started")
def step_none_started(context):
    assert not any(worker.starts for worker in workers(context))


def step_one_fault(context, fault):
    context.world.rows.once.append(fault)


@when("the late write arrives")
def step_late_write_arrives(context):
    context.late = context.world.rows.deliver_late()


@then("the late write was refused")
def step_late_refused(context):
    assert context.late, "nothing was late"
    assert all(done.is_err() for done in context.late), context.late


@when("{count:d} round passes")
@when("{count:d} rounds pass")
def step_rounds(context, count):
    context.world.leader.round(count)


@when("{count:d} seconds pass")
def step_seconds(context, count):
    until = context.world.clock.now + count
    while context.world.clock.now < until:
        context.world.leader.round()
        context.world.clock.now += 0.1


@when("the first step's tasks end done")
def step_end_first(context):
    end_all(context, f"{ID}.0.0.", "done")


@when("the second step's task ends done")
def step_end_second(context):
    end_all(context, f"{ID}.0.1.", "done")


@when("the task ends {outcome}")
def step_end(context, outcome):
    end_all(context, ID, outcome)


@when("its end is recorded but not acknowledged")
def step_unacknowledged(context):
    leader = context.world.leader
    listed = {w.entry.name: list(w.ended) for w in workers(context)}
    leader.round()
    for worker in workers(context):
        # As if the leader had crashed before its next poll.
        worker.ended = listed[worker.entry.name]
        worker.running.clear()


@when("the store goes down")
def step_down(context):
    context.world.rows.fault = "down"


@when("the store is back")
def step_back(context):
    context.world.rows.fault = ""


@when("the task's worker stops answering")
def step_silent(context):
    name = context.world.runs(TASK)[0]
    context.world.calls.workers[name].fault = "silent"


@when("the task's worker is replaced")
def step_replaced(context):
    name = context.world.runs(TASK)[0]
    context.world.calls.workers[name].fault = "replaced"


@when("another instance leads")
@when("another instance leads beside it")
def step_other(context):
    context.world.clock.now += 1.0
    context.world.lead("b")


@when("the first leader goes on")
def step_goes_on(context):
    context.deposed = False
    job = context.first.scheduler.jobs.get(ID)
    if job is not None:
        context.first.journal.record(job)
    try:
        context.first.write()
    except errors.DeposedError:
        context.deposed = True


@then("the first leader is deposed")
def step_deposed(context):
    assert context.deposed


@then("the leader still leads")
def step_leads(context):
    assert not context.first.journal.deposed


@when("the leader stops as planned")
def step_planned(context):
    context.first.scheduler.stop()
    try:
        context.first.write()
    except errors.DeposedError:
        return
    raise AssertionError("the lease was not released")


@then("the next instance leads at its first check")
def step_at_once(context):
    before = context.world.clock.now
    context.world.lead("b")
    assert context.world.clock.now - before < 0.2


@when("the job is cancelled")
def step_cancel(context):
    context.world.rows.put(keys.cancellation(ID), "1")


@when("the task is throttled to 0 percent")
def step_slow(context):
    for worker in workers(context):
        worker.speed_limits[TASK] = 0


@when("the workers leave the next {count:d} throttling orders unanswered")
def step_ignored_throttles(context, count):
    for worker in workers(context):
        worker.ignored_throttles = count


@when("their tail latencies are too high")
def step_tails(context):
    set_tails(context, HIGH_TAIL)


@when("their tail latencies are low again")
def step_tails_low(context):
    set_tails(context, LOW_TAIL)


@when("the best-effort task works beside low tail latencies")
def step_works_beside(context):
    (worker,) = workers(context)
    worker.latencies[TASK] = fakes.NEED.cpus * 1000
    set_tails(context, LOW_TAIL)
    context.world.leader.scheduler.model.pressure["server", "filler"] = 0.0
    context.world.leader.round(2)


@when("another job of 1 best-effort task comes")
def step_another(context):
    step = fakes.step(1, best_effort=True, image="filler", checkpointing=True)
    submit(context, fakes.job(URGENT, step, priority=2))


@then("the other job's task does not run")
def step_other_waits(context):
    starts = context.world.starts(f"{URGENT}.0.0.0")
    assert not starts, starts


@given("a latency-critical task on each of them")
def step_serving_each(context):
    quick = fakes.step(continuous=True, image="server", latency_target=18.0, label="r1")
    slow = fakes.step(
        continuous=True, image="slow server", latency_target=100.0, label="fast"
    )
    submit(context, fakes.job(SERVING, quick))
    submit(context, fakes.job(URGENT, slow))


@when('the tail on "{high}" is too high, and "{other}" has less capacity by the model')
def step_one_high(context, high, other):
    calls = context.world.calls.workers
    model = context.world.leader.scheduler.model
    for image, pressure in (("server", 1.0), ("slow server", 9.0)):
        model.pressure[image, "filler"] = pressure
    for first, second in ((LOW_TAIL, 60.0), (16.0, 70.0)):
        calls[high].latencies[f"{SERVING}.0.0.0"] = first
        calls[other].latencies[f"{URGENT}.0.0.0"] = second
        context.world.leader.round()
    step = fakes.step(1, best_effort=True, image="filler")
    rooms = [
        model.headroom(step, context.world.leader.worker(name))
        for name in (high, other)
    ]
    assert 0.0 > rooms[0] > rooms[1], rooms


@then('{count:d} of the best-effort tasks runs, on "{name}"')
def step_count_on(context, count, name):
    step_count(context, count)
    assert context.world.runs(TASK) == [name], context.world.runs(TASK)


@then("the task works at full speed")
def step_full(context):
    speed_limits = [
        w.speed_limits[TASK] for w in workers(context) if TASK in w.speed_limits
    ]
    assert speed_limits == [100], speed_limits


@then("each of them works at full speed")
def step_all_full(context):
    for worker in workers(context):
        speed_limits = {task: worker.speed_limits.get(task) for task in worker.running}
        assert set(speed_limits.values()) == {100}, speed_limits


@then("the best-effort task works at 0 percent")
def step_stopped(context):
    speed_limits = [w.speed_limits.get(TASK) for w in workers(context)]
    assert speed_limits == [0], speed_limits


@then("{count:d} tasks of the first step run and none of the second")
def step_first_runs(context, count):
    running = all_running(context)
    assert sum(t.startswith(f"{ID}.0.0.") for t in running) == count, running
    assert not any(t.startswith(f"{ID}.0.1.") for t in running), running


@then("the second step's task runs")
def step_second_runs(context):
    assert f"{ID}.0.1.0" in all_running(context)


@then("the job is shown as {state}")
def step_shown(context, state):
    assert context.world.rows.state(ID) == state, context.world.rows.state(ID)


@then("the task was started once")
def step_once(context):
    assert len(context.world.starts(TASK)) == 1, context.world.starts(TASK)


@then("the task was started twice")
def step_twice(context):
    assert len(context.world.starts(TASK)) == 2, context.world.starts(TASK)


@then("the task runs on one worker")
def step_one_worker(context):
    assert len(context.world.runs(TASK)) == 1, context.world.runs(TASK)


@then("the end was not acknowledged to the worker")
def step_not_forgotten(context):
    assert all(worker.acknowledged == 0 for worker in workers(context))


@then("no task runs")
def step_none(context):
    assert all_running(context) == []


@then("{count:d} task runs")
@then("no more than {count:d} task runs")
@then("{count:d} of the best-effort tasks runs")
def step_count(context, count):
    running = [task for task in all_running(context) if task.startswith(ID)]
    assert len(running) == count, running


@then('{count:d} task runs, on "{name}"')
@then('{count:d} tasks run, on "{name}"')
def step_on(context, count, name):
    running = all_running(context)
    assert len(running) == count, running
    assert len(context.world.calls.workers[name].running) == count


@then("both occurrences have been started")
def step_both(context):
    assert context.world.starts(f"{ID}.0.0.0")
    assert context.world.starts(f"{ID}.1.0.0")


@then("the urgent task runs")
def step_urgent_runs(context):
    assert f"{URGENT}.0.0.0" in all_running(context), all_running(context)


@when("the task's worker makes no progress")
def step_stalled(context):
    for worker in workers(context):
        worker.stalled = worker.entry.name == context.world.runs(TASK)[0]


@given("a gang of {count:d} tasks")
def step_gang(context, count):
    submit(context, fakes.job(ID, fakes.step(count, gang=True)))


@when('worker "{name}" comes')
def step_comes(context, name):
    context.world.add_worker(name)


@given('worker "{name}" refuses the next start')
def step_refuses(context, name):
    context.world.calls.workers[name].refusals = 1


@then("{count:d} tasks run, with the same run number")
def step_gang_runs(context, count):
    runs = [run for worker in workers(context) for run in worker.running.values()]
    assert len(runs) == count, runs
    assert len(set(runs)) == 1, runs


@when("one member ends done")
def step_member_done(context):
    for worker in workers(context):
        for task in list(worker.running):
            worker.end(task, "done")
            for other in workers(context):
                other.running.clear()
            return


@then("no run ended for want of the other members")
def step_not_alone(context):
    ends = [end.outcome for worker in workers(context) for end in worker.ended]
    assert "alone" not in ends, ends


@given("a job of {count:d} continuous tasks of another queue")
def step_continuous_elsewhere(context, count):
    job = fakes.job(ID, fakes.step(count, continuous=True))
    submit(context, dataclasses.replace(job, queue="other"))


@then('the urgent task runs on "{name}", and nothing was stopped on "{other}"')
def step_urgent_runs(context, name, other):
    world = context.world
    assert world.runs(f"{URGENT}.0.0.0") == [name]
    ended = [*world.calls.workers[other].ended, *world.calls.workers[other].noted]
    assert not ended, ended


@when('a queue that needs advice, which approves "{name}"')
@given('a queue that needs advice, which approves "{name}"')
def step_advised(context, name):
    queue = messages.Queue("q", "h", "/", "pool", 0, 2, 3.0, needs_advice=True)
    services = (messages.Service("pool"),)
    context.world.catalog = messages.Catalog(1, (queue,), services)
    context.world.advisor.may = {name}


@then("each start carried the ticket of its worker")
def step_tickets(context):
    carried = [t for worker in workers(context) for t in worker.tickets]
    assert carried, "nothing was started"
    assert set(carried) == {"ticket-w2"}, carried


@when("the store drops its history")
def step_history(context):
    context.world.rows.forgotten = context.world.rows.kept.version


@when("its stop is answered, and then an earlier report arrives")
def step_earlier_report(context):
    leader = context.world.leader
    task = leader.task(TASK)
    worker = leader.worker(task.worker)
    before = context.world.clock.now
    context.world.clock.now += 0.1
    leader.scheduler.orders.stop(task, worker, "doubt")
    gevent.sleep(0)
    assert task.stop_confirmed_at is not None, "the stop was not answered"
    old = messages.WorkerReport(int(before * 1000), (), ())
    leader.scheduler.reports.process(worker, old, before)
    leader.scheduler.rounds.place()
    leader.write()
    gevent.sleep(0)


@when('the leader has learned that "{best_effort}" interferes with "{critical}"')
def step_learned(context, best_effort, critical):
    context.world.leader.scheduler.model.pressure[critical, best_effort] = 9.0


@then('the new leader knows that "{best_effort}" interferes with "{critical}"')
def step_knows(context, best_effort, critical):
    known = context.world.leader.scheduler.model.pressure
    assert known == {(critical, best_effort): 9.0}, known


@when("a job of {count:d} tasks comes")
def step_job_comes(context, count):
    step_job(context, count)


@when('"{old}" restarts as "{new}" at its address')
def step_restarts(context, old, new):
    earlier = context.world.calls.workers[old]
    earlier.fault = "replaced"
    earlier.running.clear()
    later = context.world.add_worker(new, address=earlier.entry.address)
    assert later.entry.address == earlier.entry.address


@when('the entry of "{name}" is written again')
def step_entry_again(context, name):
    context.world.rows.put(fakes.WORKERS_PREFIX + name, {"name": name})


@then("each of {count:d} tasks was started once, and runs")
def step_each_once(context, count):
    names = [f"{ID}.0.0.{index}" for index in range(count)]
    starts = {name: len(context.world.starts(name)) for name in names}
    assert set(starts.values()) == {1}, starts
    assert sorted(all_running(context)) == names, all_running(context)


@given("the log is captured")
def step_log(context):
    context.log = logbook.TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)


@given('a job of 1 task with the specification "{text}"')
def step_text(context, text):
    job = fakes.job(ID, fakes.step())
    submit(context, dataclasses.replace(job, spec=text))


@then('the log has the events "{events}" of the job')
def step_told(context, events):
    logged = [
        record.message
        for record in context.log.records
        if str(record.kwargs.get("job") or record.kwargs.get("task")).startswith(ID)
    ]
    assert logged == events.split(", "), logged


@then('no log line contains "{text}"')
def step_secret(context, text):
    lines = [logs.format_record(record, None) for record in context.log.records]
    assert lines and not any(text in line for line in lines)


LATER = "00000000000000dd"
LAST = "00000000000000ee"


def entry_key(context):
    (name,) = context.world.runs(TASK)
    return fakes.WORKERS_PREFIX + name, {"name": name}


@when("the entry of the task's worker is overwritten")
def step_overwrite(context):
    key, _ = entry_key(context)
    context.world.rows.put(key, ["no", "entry"])


@when("the entry of the task's worker is written again")
def step_restore_entry(context):
    context.world.rows.put(*entry_key(context))


@when("a job of {count:d} more tasks comes")
def step_later_job(context, count):
    submit(context, fakes.job(LATER, fakes.step(count)))


@when("a job of {count:d} tasks comes last")
def step_last_job(context, count):
    submit(context, fakes.job(LAST, fakes.step(count)))


def beside_task(context, job_id):
    (name,) = context.world.runs(TASK)
    running = context.world.calls.workers[name].running
    return [task for task in running if task.startswith(job_id)]


@then("no task of the later job is on the worker of the first")
def step_none_beside(context):
    assert any(task.startswith(LATER) for task in all_running(context))
    assert not beside_task(context, LATER)


@then("a task of the last job is on the worker of the first")
def step_some_beside(context):
    assert beside_task(context, LAST)


@given('worker "{name}" of the pool "{pool}"')
def step_pool(context, name, pool):
    worker = context.world.add_worker(name)
    worker.entry = dataclasses.replace(worker.entry, service=pool)


@then('no worker "{name}" is known')
def step_unknown(context, name):
    assert context.world.leader.scheduler.workers.get(name) is None


@when('the configuration names the pool "{pool}"')
def step_named(context, pool):
    pools = (messages.Service("pool"), messages.Service(pool))
    context.world.catalog = messages.Catalog(2, (), pools)
    context.world.leader.scheduler.listing.recheck_pools()


@then('a worker "{name}" is known')
def step_known(context, name):
    assert context.world.leader.scheduler.workers.get(name).usable(0) is False
    context.world.leader.round(2)
    now = context.world.clock.elapsed()
    assert context.world.leader.scheduler.workers.get(name).usable(now)


@given("a row of a job and a record of another job that can't be decoded")
def step_unreadable(context):
    context.world.rows.put(keys.job(LATER), "no job")
    context.world.rows.put(keys.job(LAST), fakes.job(LAST, fakes.step(1)))
    context.world.rows.put(keys.state(LAST), "no record")


@then("the job without a valid record has started nothing")
def step_nothing_started(context):
    assert not context.world.starts(f"{LAST}.0.0.0")


@given("its only worker does not answer")
def step_no_orders(context):
    (worker,) = workers(context)
    worker.fault = "silent"


@when("another instance acquires the lease and renews it before it has read the jobs")
def step_renews_early(context):
    reader = fakes.Leader(context.world, "c", reads=False)
    for _ in range(2):
        context.world.clock.now += 1.0
        reader.journal.write()


@then("{count:d} job is published as waiting")
def step_published(context, count):
    row = context.world.rows.kept.get(keys.LEASE)
    assert sum(codec.from_json(row.value, dict)["pending"].values()) == count, row


@given("tasks of the queue took ten times as long as declared")
def step_underdeclared(context):
    estimator = context.world.leader.scheduler.estimator
    for number, declared in enumerate((0.1, 1.0, 10.0, 100.0)):
        step = dataclasses.replace(fakes.step(), estimate=declared)
        job = progress.JobProgress(fakes.job(f"{number:016x}", step))
        estimator.record(next(job.tasks()), declared**1.3 * 10)


@given("a job of {count:d} tasks that is declared to take {seconds:g} seconds")
def step_long_estimate(context, count, seconds):
    step = dataclasses.replace(fakes.step(count), estimate=seconds)
    submit(context, fakes.job(ID, step))


@when('another worker "{name}" comes')
def step_joins(context, name):
    context.world.add_worker(name)
