import contextlib

from behave import given, then, when
from tests.support import fakes, peers

from mangosail.dispatch import messages as dispatch
from mangosail.work import ends, inquiries, messages


def run_release(context, *names):
    """Run a release at the first instance, which is cut off from the table."""
    context.world = fakes.World()
    context.worker = fakes.Worker(context.world, "w0")
    context.instances = {}
    context.first = peers.add(context.world, context.instances, "a")
    for name in names:
        peers.add(context.world, context.instances, name)
    context.peer = context.instances["b"]
    context.first.take(context.worker, 1)
    context.first.submit("r")
    context.first.reach.cut = True


@given(
    "an instance cut off from the table that has heard an end, and can't call its peer"
)
def heard(context):
    run_release(context, "b")
    context.peer.as_peer.fault = "deadline_exceeded"
    hear_end(context)


def hear_end(context):
    context.worker.end("team/r", dispatch.TaskState.DONE, "whole")
    with contextlib.suppress(fakes.Crash):
        context.first.hear(context.worker)


@given("an instance cut off from the table that runs a release")
def alone_cut(context):
    run_release(context, "b")


@given("two instances cut off from the table, one of which runs a release")
def both_cut(context):
    run_release(context, "b")
    context.peer.reach.cut = True


@given("instances of two data centres cut off from the table")
def two_data_centres(context):
    run_release(context, "b", "d", "c")
    for instance in context.instances.values():
        instance.reach.cut = True


@given("the instance knows that the table is away, and will die as it writes")
def dies_writing(context):
    context.first.lease.table_unreachable = True
    context.first.reach.is_deadly = True


@given("the peer keeps as many ends as it may")
def peer_full(context):
    context.peer.runner.ends.kept_bytes = ends.MAX_KEPT_BYTES


@when("it hears that the release has ended")
def hears_end(context):
    hear_end(context)


@when("it dies, and the worker loses its state")
def dies(context):
    context.worker.lose_state()
    for instance in context.instances.values():
        instance.peers.by_name.pop("a", None)
    del context.instances["a"]
    context.first = peers.add(context.world, context.instances, "a")


@when("its new run takes the worker, as it reaches the table first")
def new_run_takes(context):
    context.first.take(context.worker, 2)
    context.first.sweep()


@when("the peer reaches the table again")
def peer_reaches(context):
    context.peer.reach.cut = False
    context.peer.sweep()


def keeping(context):
    """Return the names of the instances that keep an end."""
    instances = context.instances.items()
    return {name for name, instance in instances if instance.runner.ends.kept}


@when("the peer nearby that keeps it {changes}")
def keeper_changes(context, changes):
    (name,) = keeping(context) - {"c"}
    peer = context.instances[name].as_peer
    if changes == "starts again":
        context.instances[name].runner.ends.kept.clear()
    if changes == "is stopped":
        peer.state.draining = True
    elif changes == "starts again":
        peer.state.incarnation = "2"
    elif changes == "falls silent":
        peer.is_reachable = False
    context.first.sweep()


@then("the end is kept by {names}")
def kept_by(context, names):
    assert keeping(context) == set(names.split(" and ")), keeping(context)


@then("the end is kept in both data centres")
def kept_in_both(context):
    kept = keeping(context)
    assert len(kept) == 2 and {peers.DATA_CENTRES[name] for name in kept} == {
        "near",
        "far",
    }


@then("the peer has ended the release as its own")
def ended_as_own(context):
    assert context.ended == ["completed"], context.ended
    assert "team/r" not in context.peer.runner.ctx.registry


@given("the peer will note what ends there")
def note_ends(context):
    context.ended = []
    context.peer.runner.end_listeners.append(
        lambda outcome, row: context.ended.append(outcome.outcome)
    )


@then("no end is kept any more")
def none_kept(context):
    for instance in context.instances.values():
        instance.sweep()
        assert not instance.runner.ends.kept, instance.name


def lose_worker(context):
    """The peer takes the worker, as the session of the first instance has expired."""
    context.first.lease.holds = False
    context.first.owned.remove("w0")
    context.peer.take(context.worker, 2)


@given("its peer has adopted the release, and can't reach the worker")
def adopted(context):
    lose_worker(context)
    context.world.order_fault = "unreachable"
    context.peer.sweep()
    assert "team/r" in context.peer.runner.ctx.registry


@given("the worker has lost its state, and belongs to the peer")
def lost_state(context):
    lose_worker(context)
    context.worker.lose_state()


@given("the platform calls the worker gone")
def gone(context):
    context.worker.gone = True


@given('calls to the instance fail with "{status}"')
def calls_fail(context, status):
    context.first.as_peer.fault = status


@given("the peer has not read the list of instances yet")
def no_list(context):
    context.peer.peers.by_name.clear()
    context.peer.peers.has_list = False


@when("the list of instances is read")
def list_read(context):
    context.peer.peers.by_name["a"] = context.first.as_peer
    context.peer.peers.has_list = True


@when("calls to the instance are answered again")
def calls_answered(context):
    context.first.as_peer.fault = ""


@when("the instance reaches the table again")
def reaches_again(context):
    context.first.reach.cut = False
    context.first.sweep()


@when("the peer looks after its work")
def peer_sweeps(context):
    context.peer.sweep()


@when("the peer looks after its work for {seconds:g} s")
def peer_sweeps_for(context, seconds):
    clock = context.world.clock
    deadline = clock.now + seconds
    while clock.now < deadline:
        context.peer.runner.sweep()
        clock.now += 1.0


@when("the worker loses its state")
def loses_state(context):
    context.worker.lose_state()


def told_by(instance):
    return instance.runner.look_up("team", "r").ok_value


@then("both instances tell the release as completed")
def told_completed(context):
    for instance in (context.peer, context.first):
        instance.reach.cut, instance.as_peer.fault = False, ""
        instance.sweep()
    for instance in (context.peer, context.first):
        told = told_by(instance)
        assert (told.outcome, told.answer) == ("completed", "whole"), told


@then("the peer tells the release as unknown, with a time to ask again")
def told_open(context):
    told = told_by(context.peer)
    assert (told.outcome, told.retry_after) == ("unknown", 1.0), told


@then("the peer tells the release as unknown for good")
def told_for_good(context):
    told = told_by(context.peer)
    expected = ("unknown", "worker_lost", None)
    assert (told.outcome, told.reason, told.retry_after) == expected, told


@then("a caller who asks {whom} is told that it is completed")
def caller_told(context, whom):
    instance = {"the instance": context.first, "its peer": context.peer}[whom]
    instance.reach.cut = False
    told = told_by(instance)
    assert (told.outcome, told.answer) == ("completed", "whole"), told


@then("nobody is asked about it any more")
def nothing_left(context):
    open_inquiries = context.peer.runner.adoption.inquiries
    assert isinstance(open_inquiries, inquiries.Inquiries)
    assert not open_inquiries.deadlines


@given("a batch task that was evicted and resumed")
def resumed(context):
    context.world = fakes.World()
    context.worker = fakes.Worker(context.world, "w0")
    context.instances = {}
    context.first = peers.add(context.world, context.instances, "a")
    context.first.take(context.worker, 1)
    context.first.submit("t", restartable=True)
    assert context.first.runner.evict("team/t", "pressure").is_ok()
    context.first.submit("t", restartable=True)


@when("a peer tells an end of its first generation")
def tell_earlier(context):
    end = messages.End(
        messages.Generation("team", "t", 1), messages.State.COMPLETED, "stale"
    )
    assert context.first.runner.ends.keep_for_peer(end).kept


@then("the task runs on")
def runs_on(context):
    told = context.first.runner.look_up("team", "t").ok_value
    assert told.state == "claimed", told
    assert context.worker.running() == ["team/t"]
