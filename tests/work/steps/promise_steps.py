import itertools
import json

import gevent
import hypothesis
from behave import then, when
from hypothesis import stateful
from tests.support import fakes
from tests.work import ends_machine, machine

from mangosail.dispatch import messages as dispatch
from mangosail.platform import batching, errors, table
from mangosail.telemetry import counters
from mangosail.work import messages


@then("{count:d} random histories of up to {steps:d} steps keep every guarantee")
def histories(context, count, steps):
    run_histories(machine.Work, count, steps)


@then("{count:d} random histories of up to {steps:d} steps lose no known end")
def histories_of_ends(context, count, steps):
    run_histories(ends_machine.Ends, count, steps)


def run_histories(kind, count, steps):
    stateful.run_state_machine_as_test(
        kind,
        settings=hypothesis.settings(
            max_examples=count,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def stage_for_crash(step, after):
    world = fakes.World()
    worker = fakes.Worker(world, "w0")
    first = fakes.Instance(world, "a")
    first.take(worker, 1)
    world.crash_at, world.crash_after_effect = step, after
    return world, worker, first


def adopted_by_other(world, worker):
    """Replace the instance that died, and have another take over its worker."""
    world.crash_at = None
    other = fakes.Instance(world, "b")
    other.take(worker, 2)
    other.sweep()
    spare = fakes.Instance(world, "a", "2")
    spare.take(fakes.Worker(world, "w1"), 1)
    return other, spare


def crash_points(work):
    """Run `work` once for each step it takes, crashing before or after it."""
    for after in (False, True):
        for step in itertools.count(1):
            world, worker, first = stage_for_crash(step, after)
            try:
                work(first)
            except fakes.Crash:
                yield world, worker
                continue
            assert step > 3, step
            break


def finish_everywhere(world, *instances):
    for worker in world.workers.values():
        for task_id in worker.running():
            worker.end(task_id, dispatch.TaskState.DONE, "whole")
    for instance in instances:
        for worker in world.workers.values():
            instance.hear(worker)
        instance.sweep()


def starts(world):
    return [
        entry
        for worker in world.workers.values()
        for entry in worker.log
        if entry[0] == "start"
    ]


@then("a crash before or after every step of an eviction resumes exactly once")
def eviction_crashes(context):
    def work(instance):
        instance.submit("t", restartable=True)
        assert instance.runner.evict("team/t", "pressure").is_ok()
        instance.submit("t", restartable=True)

    for world, worker in crash_points(work):
        other, spare = adopted_by_other(world, worker)
        stopped = [e for e in worker.log if e[0] == "stopped"]
        for instance in (other, spare, other):
            instance.submit("t", restartable=True)
        finish_everywhere(world, other, spare)
        generations = [entry[2] for entry in starts(world)]
        assert generations == sorted(set(generations)), worker.log
        assert len(generations) <= len(stopped) + 1, worker.log
        assert not stopped or starts(world)[-1][3] == "checkpoint/team/t/1"
        done = [e for w in world.workers.values() for e in w.log if e[0] == "done"]
        assert len(done) == 1, done
        for instance in (other, spare):
            reported = instance.runner.look_up("team", "t").ok_value
            assert (reported.outcome, reported.answer) == ("completed", "whole"), (
                reported
            )


@then("a crash before or after every step of a release runs it at most once")
def release_crashes(context):
    def work(instance):
        instance.submit("r")
        finish_everywhere(instance.world, instance)

    for world, worker in crash_points(work):
        other, spare = adopted_by_other(world, worker)
        instances = (other, spare)
        for instance in instances:
            instance.submit("r")
        finish_everywhere(world, *instances)
        reported = [i.runner.look_up("team", "r").ok_value for i in instances]
        assert reported[0] == reported[1], reported
        expected = {0: "not_run", 1: "completed"}[len(starts(world))]
        assert reported[0].outcome == expected, (reported, worker.log)


def grouped(context, count, longest_queue, present=()):
    world = fakes.World()
    for key in present:
        world.rows[key] = table.Row(key, "{}", 7)
    counts = counters.StatsdCounters(None, 0)
    rows = batching.GroupCommit(
        fakes.Table(world), counts, max_queue_length=longest_queue
    )
    waiting = [gevent.spawn(rows.commit, claim(f"k{n}")) for n in range(count)]
    gevent.idle()
    rows.commit_group()
    gevent.joinall(waiting)
    context.answers = [greenlet.get() for greenlet in waiting]
    context.world, context.counts = world, counts.snapshot()


def claim(key):
    return table.Transaction((table.Check(key, 0),), (table.Write(key, "{}"),))


@when("{count:d} claims are grouped and the third one conflicts")
def group_with_conflict(context, count):
    grouped(context, count, 100, present=["k2"])


@then("only the third is refused, after {count:d} commits")
def third_refused(context, count):
    refused = [number for number, a in enumerate(context.answers) if a.is_err()]
    assert refused == [2], context.answers
    assert context.answers[2].err_value == errors.Conflict("k2")
    assert context.counts["platform.group_commits"] == count


@when("{count:d} claims meet a queue that holds {room:d}")
def group_too_long(context, count, room):
    grouped(context, count, room)


@then('the last is refused as "{reason}", having no effect')
def last_refused(context, reason):
    assert [a.is_ok() for a in context.answers] == [True, True, False]
    assert context.answers[2].err_value == errors.Unavailable(reason)
    assert "k2" not in context.world.rows


@when("the lease of a worker's {count:d} tasks is renewed with the table up, then down")
def renew(context, count):
    context.world, context.worker, instance = stage_for_crash(None, False)
    for number in range(count):
        instance.submit(f"t{number}")
    context.written = context.world.rows.version
    owned = instance.owned.get("w0")
    context.world.clock.now += 200
    instance.runner.leases.renew(owned)
    context.world.clock.now += 200
    context.world.table_fault = "down"
    instance.runner.leases.renew(owned)


@then("one row was written, and the worker's lease ends {margin:g} s before the row's")
def lease_margin(context, margin):
    assert context.world.rows.version == context.written + 1
    row = json.loads(context.world.rows["tasklease/w0"].value)
    assert row["lease_deadline"] == 1200 + 600
    assert context.worker.lease_deadline == row["lease_deadline"] - margin


@when("releases meet a start that is unreachable, and one that is late")
def never_started(context):
    context.world, _, instance = stage_for_crash(None, False)
    instance.take(fakes.Worker(context.world, "w1"), 1)
    for fault in ("unreachable", "late"):
        context.world.order_fault = fault
        instance.submit(fault)
    context.world.deliver()


@then("each started once, as generation 2, and is listed under that worker only")
def started_elsewhere(context):
    for fault in ("unreachable", "late"):
        found = [e for e in starts(context.world) if e[1] == f"team/{fault}"]
        assert [entry[2] for entry in found] == [2], found
        row = json.loads(context.world.rows[f"work/team/{fault}"].value)
        listed = [k for k in context.world.rows if k.endswith(f"team/{fault}")]
        placed = f"placed/{row['worker']}/team/{fault}"
        assert sorted(listed) == [placed, f"work/team/{fault}"], listed
        assert ("start", f"team/{fault}", 2, "") in (
            context.world.workers[row["worker"]].log
        )


@when("a release and a batch task run on a worker that goes silent")
def silent_worker(context):
    context.world, context.worker, context.first = stage_for_crash(None, False)
    context.reported = [
        context.first.submit("r").ok_value,
        context.first.submit("t", restartable=True).ok_value,
    ]


@then("both are unknown, with a time to ask again")
def both_unknown(context):
    for reported in context.reported:
        assert (reported.outcome, reported.retry_after) == ("unknown", 1.0), reported


@when("the platform calls the worker gone")
def worker_gone(context):
    context.worker.gone = True
    context.first.owned.remove("w0")
    context.first.take(fakes.Worker(context.world, "w1"), 1)
    context.first.sweep()


@then('the release is unknown for good, because "{reason}"')
def unknown_for_good(context, reason):
    reported = context.first.submit("r").ok_value
    assert (reported.outcome, reported.reason, reported.retry_after) == (
        "unknown",
        reason,
        None,
    )


@then("the batch task resumes elsewhere as generation {generation:d}")
def resumes(context, generation):
    context.first.submit("t", restartable=True)
    assert ("start", "team/t", generation, "") in context.world.workers["w1"].log


class SlowCommits:
    """A table whose commits let other greenlets run before they take effect."""

    def __init__(self, rows):
        self.rows = rows

    def read(self, keys):
        gevent.sleep(0.001)
        return self.rows.read(keys)

    def commit(self, transaction):
        fault, self.rows.world.table_fault = self.rows.world.table_fault, ""
        gevent.sleep(0.002)
        self.rows.world.table_fault = fault
        return self.rows.commit(transaction)


@when("{count:d} callers order {work} at once, and the first claim meets {obstacle}")
def order_at_once(context, count, work, obstacle):
    context.world = world = fakes.World()
    worker = fakes.Worker(world, "w0")
    instance = fakes.Instance(world, "a")
    instance.take(worker, 1)
    evicted = work == "an evicted task"
    if evicted:
        instance.submit("t", restartable=True)
        assert instance.runner.evict("team/t", "pressure").is_ok()
    if obstacle == "a table that is down":
        world.table_fault = "down"
    slow = SlowCommits(instance.runner.ctx.claims.rows)
    instance.runner.ctx.claims.rows = slow
    request = messages.Request(
        "team", "t", "kind", fakes.NEEDS, {"id": "t"}, restartable=evicted
    )
    deadline = world.clock.now + 0.1
    context.callers = [
        gevent.spawn(instance.runner.submit, request, deadline) for _ in range(count)
    ]
    gevent.joinall(context.callers, timeout=5)


@then("none of the callers meets an exception")
def no_exception(context):
    assert all(caller.ready() for caller in context.callers)
    errors_met = [c.exception for c in context.callers if c.exception is not None]
    assert not errors_met, errors_met


@then("the work was started {count:d} times, each generation once")
def started_each_once(context, count):
    generations = [entry[2] for entry in starts(context.world)]
    assert generations == list(range(1, count + 1)), generations


@when("a release is moved from a worker that another instance finds to be gone")
def moved_from_gone(context):
    context.world = world = fakes.World()
    context.first = fakes.Instance(world, "a")
    for name in ("w0", "w1"):
        context.first.take(fakes.Worker(world, name), 1)
    other = fakes.Instance(world, "b")

    def find_gone():
        row = json.loads(world.rows["work/team/r"].value)
        world.workers[row["worker"]].gone = True
        found = other.runner.look_up("team", "r").ok_value
        assert found.reason == "worker_lost", found

    world.on_pause = find_gone
    world.table_fault, world.order_fault = "paused", "unreachable"
    context.reported = context.first.submit("r")


@then("its caller is told that the outcome is unknown for good")
def told_unknown(context):
    reported = context.reported.ok_value
    assert (reported.outcome, reported.retry_after) == ("unknown", None), reported


@then("no worker of the first instance has anything reserved")
def nothing_reserved(context):
    reserved = {owned.name: owned.ledger.reserved for owned in context.first.owned}
    assert not any(reserved.values()), reserved
    assert not context.first.runner.placer.active


@when("an evicted task is resumed, and the end of its lost generation is written again")
def lost_again(context):
    context.world = world = fakes.World()
    context.worker = fakes.Worker(world, "w0")
    context.first = first = fakes.Instance(world, "a")
    first.take(context.worker, 1)
    first.submit("t", restartable=True)
    lost = first.runner.ctx.registry.get("team/t")
    context.worker.gone = True
    assert fakes.Instance(world, "b").runner.look_up("team", "t").is_ok()
    context.worker.gone = False
    context.worker.end("team/t", dispatch.TaskState.DONE, "whole")
    first.hear(context.worker)
    assert lost.removed.ready()
    first.submit("t", restartable=True)
    first.runner.cancellations.cancel_task(lost)


@then("room is reserved for the resumed task")
def room_reserved(context):
    assert starts(context.world)[-1][1:3] == ("team/t", 2), starts(context.world)
    assert context.worker.running() == ["team/t"]
    (owned,) = context.first.owned
    assert list(owned.ledger.reserved) == ["team/t"], owned.ledger.reserved
    assert list(context.first.runner.placer.active) == ["team/t"]
