import types

import gevent
import gevent.event
import result
from behave import given, then, when
from tests.support import crowded, fakes, memory

from mangosail import resources
from mangosail.jobs import messages, offers, queue, recording, records
from mangosail.telemetry import counters
from mangosail.work import errors as work_errors
from mangosail.work import messages as work_messages

#: Placement rounds between two recordings of the held jobs.
ROUNDS_PER_RECORDING = int(recording.RECORD_INTERVAL_S / queue.IDLE_PLACE_INTERVAL_S)


class Peer:
    """A peer with its channel: makes room for some rounds, then accepts the task."""

    def __init__(self, name, rounds):
        self.listed = types.SimpleNamespace(name=name, data_centre="here")
        self.channel = self
        self.rounds = rounds
        self.able = True
        self.asked = []  # (whether asked to evict, answer)

    def call(self, method, message, timeout):
        answer = self.answer(message)
        self.asked.append((message.clear, answer))
        return result.Ok(answer)

    def answer(self, message):
        if not message.clear or not self.able:
            return messages.OfferAnswer(False, "no_capacity")
        self.rounds -= 1
        if self.rounds >= 0:
            return messages.OfferAnswer(False, offers.CLEARING)
        return messages.OfferAnswer(True)

    def made_room(self):
        return any(clear for clear, _ in self.asked)


class Peers:
    def __init__(self, peers):
        self.peers = peers
        self.by_name = {}

    def with_capacity(self, needs, data_centre):
        return self.peers[:1]

    def without_capacity(self, needs, data_centre):
        return self.peers[1:]


def make_offers(peers, runner=None, task_room=None, clock=None):
    row = types.SimpleNamespace(instance="i", data_centre="here")
    lease = types.SimpleNamespace(row=row, valid=lambda: True)
    count = counters.StatsdCounters(None, 0)
    return offers.TaskOffers(
        peers, runner, task_room, lease, clock or memory.Clock(), count
    )


@given('peers "{names}" that would make room in {rounds:d} rounds')
def peers_that_make_room(context, names, rounds):
    context.peers = Peers([Peer(name, rounds) for name in names.split(",")])
    context.by_name = {each.listed.name: each for each in context.peers.peers}


@given('"{name}" can\'t make room')
def not_able(context, name):
    context.by_name[name].able = False


@given('"{name}" is in another data centre')
def elsewhere(context, name):
    context.by_name[name].listed.data_centre = "there"


@when("an urgent task is offered in {rounds:d} rounds")
def offered(context, rounds, rotate=False):
    task_offers = make_offers(context.peers)
    request = crowded.task("now", 12)
    context.taken = False
    for _ in range(rounds):
        if rotate:
            context.peers.peers.append(context.peers.peers.pop(0))
        context.taken = task_offers.offer(request, True) or task_offers.request_room(
            request
        )
        if context.taken:
            return


@when(
    "an urgent task is offered in {rounds:d} rounds, "
    "each with another order of the peers"
)
def offered_in_turn(context, rounds):
    offered(context, rounds, rotate=True)


@then("one peer accepted it, and no other was asked to make room")
def one_made_room(context):
    assert context.taken
    made = [name for name, peer in context.by_name.items() if peer.made_room()]
    assert len(made) == 1, made


@then('"{name}" accepted it')
def accepted_by(context, name):
    assert context.taken
    assert context.by_name[name].asked[-1][1].accepted


@then("no peer was asked to make room")
def none_made_room(context):
    assert not any(peer.made_room() for peer in context.by_name.values())


@when('a peer offers an urgent task "{name}" of {cpus:d} cores')
def peer_offers(context, name, cpus, clear=False):
    scene = context.scene
    offer = messages.Offer("peer", crowded.task(name, cpus), True, clear)
    context.answer = make_offers(Peers([]), scene, scene.room).accept(offer)
    gevent.sleep(0)


@when('a peer offers an urgent task "{name}" of {cpus:d} cores and asks to make room')
def peer_asks(context, name, cpus):
    peer_offers(context, name, cpus, clear=True)


@then('it is refused for "{reason}" and {count:d} batch tasks were evicted')
def refused_for(context, reason, count):
    assert context.answer == messages.OfferAnswer(False, reason), context.answer
    assert len(context.scene.evicted) == count, context.scene.evicted


@then("it is accepted")
def accepted(context):
    assert context.answer.accepted


class LosingPeer(Peer):
    """A peer that loses the first offer and records the time of each."""

    def __init__(self, clock):
        super().__init__("p", 0)
        self.clock = clock
        self.came_at = []

    def call(self, method, message, timeout):
        self.came_at.append(self.clock.now)
        if len(self.came_at) > 1:
            return result.Ok(messages.OfferAnswer(True))
        self.clock.sleep(timeout)
        return result.Err("deadline_exceeded")


def make_holder(scene, peer):
    """Return the jobs of an instance without workers that offers tasks to `peer`."""
    return queue.JobQueue(
        records.Records(fakes.Table(fakes.World())),
        scene,
        scene.room,
        make_offers(Peers([peer]), scene, scene.room, scene.clock),
        fakes.Lease("i", "1"),
        lambda team: resources.Resources(cpus=100),
        scene.clock,
        scene.counters,
    )


@given("a holder without workers, the first answer to whose offers is lost")
def losing_holder(context):
    scene = context.scene = crowded.Crowded()
    context.peer = LosingPeer(scene.clock)
    context.queue = make_holder(scene, context.peer)


@when("a job that is {kind} is submitted")
def submit_job(context, kind):
    needs = resources.Resources(12, 2, 0, 1)
    job = messages.Job("t", "j", "k", 1, needs, None, urgent=kind == "urgent")
    assert isinstance(context.queue.submit(job), result.Ok)
    clock, rounds = context.scene.clock, 0
    while len(context.peer.came_at) < 2 and rounds < 200:
        rounds += 1
        context.queue.place()
        if rounds % ROUNDS_PER_RECORDING == 0:
            context.queue.recorder.record()
        clock.sleep(queue.IDLE_PLACE_INTERVAL_S)


@then("its task is offered again within {seconds:g} seconds, and not before {least:g}")
def offered_again(context, seconds, least):
    first, *again = context.peer.came_at
    assert again and least <= again[0] - first <= seconds, context.peer.came_at


class CancelledMeanwhile(Peer):
    """A peer that accepts a task, whose job is cancelled before its answer arrives."""

    def __init__(self, context):
        super().__init__("p", 0)
        self.context = context

    def call(self, method, message, timeout):
        assert isinstance(self.context.queue.cancel("t", "j"), result.Ok)
        # The answer takes long enough for the cancellation of running tasks to be over.
        gevent.sleep(0.01)
        if self.context.recorded_first:
            self.context.queue.recorder.record()
        return result.Ok(messages.OfferAnswer(True))


class CancelledTasks(crowded.Crowded):
    """In-memory workers with the tasks that were cancelled."""

    def __init__(self):
        super().__init__()
        self.cancelled = []

    def cancel(self, team, request_id, forward=True):
        self.cancelled.append(request_id)
        return result.Ok(types.SimpleNamespace(state=work_messages.State.CANCELLED))


@given("a holder without workers, whose job is cancelled while a peer is asked")
def cancelled_meanwhile(context):
    context.scene = CancelledTasks()
    context.queue = make_holder(context.scene, CancelledMeanwhile(context))


@given("the end of the job is recorded {order} the peer answers")
def recorded(context, order):
    context.recorded_first = order == "before"


@when("the peer accepts the task")
def accepts_task(context):
    needs = resources.Resources(12, 2, 0, 1)
    job = messages.Job("t", "j", "k", 1, needs, None)
    assert isinstance(context.queue.submit(job), result.Ok)
    context.queue.place()
    gevent.sleep(0.01)
    context.queue.recorder.record()


@then("the task is cancelled, and the job ends as cancelled")
def task_cancelled(context):
    assert context.scene.cancelled == ["j.0"], context.scene.cancelled
    progress = context.queue.look_up("t", "j").ok_value
    assert progress.state is messages.State.CANCELLED, progress


class Accepting(Peer):
    """A peer that accepts each task."""

    def answer(self, message):
        return messages.OfferAnswer(True)


class ConflictingCancellation(CancelledTasks):
    """The first cancellation is under way until it is told of the peer's claim."""

    def __init__(self):
        super().__init__()
        self.claimed = gevent.event.Event()

    def cancel(self, team, request_id, forward=True):
        done = super().cancel(team, request_id)
        if len(self.cancelled) > 1:
            return done
        self.claimed.wait()
        return result.Err(work_errors.Undecided(1.0))


@given("a holder without workers, whose cancellation of a task conflicts with a claim")
def conflicting(context):
    context.scene = ConflictingCancellation()
    context.queue = make_holder(context.scene, Accepting("p", 0))


@when("an urgent task is offered, and its job is cancelled as the poll finds no claim")
def cancelled_as_polled(context):
    needs = resources.Resources(12, 2, 0, 1)
    job = messages.Job("t", "j", "k", 1, needs, None, urgent=True)
    assert isinstance(context.queue.submit(job), result.Ok)
    context.queue.place()
    context.scene.clock.sleep(queue.URGENT_OFFER_CLAIM_TIMEOUT_S)
    assert isinstance(context.queue.cancel("t", "j"), result.Ok)
    gevent.sleep(0.01)
    context.queue.recorder.record()
    context.scene.claimed.set()


@then("the task is cancelled again, and the job ends as cancelled")
def cancelled_again(context):
    # The retry is due within 0.25 s.
    with gevent.Timeout(5):
        while len(context.scene.cancelled) < 2:
            gevent.sleep(0.01)
    gevent.sleep(0.01)
    context.queue.recorder.record()
    progress = context.queue.look_up("t", "j").ok_value
    assert progress.state is messages.State.CANCELLED, progress
