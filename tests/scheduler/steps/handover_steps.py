import random

import gevent
import result
from behave import given, then, when
from tests.scheduler import fakes

from mangosail import codec
from mangosail.scheduler import (
    errors,
    handover,
    journal,
    keys,
    leadership,
    options,
    scheduler,
)


class Rows(fakes.Rows):
    """The store as one instance sees it."""

    def __init__(self, kept):
        super().__init__()
        self.kept = kept
        self.reads = 0
        self.read_seconds = 0.0
        #: True if the next write has no effect until the client gives up on it.
        self.lose_next_write = False
        #: Called once, before the next read returns or the next write is applied.
        self.during_read = self.before_write = lambda: None

    def read(self, wanted):
        self.reads += 1
        if self.read_seconds:
            gevent.sleep(self.read_seconds)
        found = super().read(wanted)
        hook, self.during_read = self.during_read, lambda: None
        hook()
        return found

    def commit(self, transaction):
        hook, self.before_write = self.before_write, lambda: None
        hook()
        if self.lose_next_write:
            self.lose_next_write = False
            gevent.sleep(fakes.CLIENT_TIMEOUT_S)
        return super().commit(transaction)


class Peer:
    """An instance that may be asked to take the lease."""

    def __init__(self, context, name, data_centre, cores=2.0):
        world = context.world
        self.rows = Rows(world.rows.kept)
        self.leadership = leadership.Leadership(
            self.rows, name, world.clock, world.counters, world.rand, cores
        )
        self.successor = handover.Successor(self.leadership, world.counters)
        self.candidate = handover.Candidate(name, f"{name}:1", data_centre, cores)
        self.answer_lost = False
        #: Answers instead of the instance, if set.
        self.fixed_answer = None


class Successors:
    """The leader's way to its peers, without a network."""

    data_centre = "A"

    def __init__(self, clock):
        self.clock = clock
        self.peers = {}
        self.asked = []
        #: Called before each answer.
        self.on_answer = lambda: None
        self.requests = []
        self.answers = []

    def candidates(self):
        return [peer.candidate for peer in self.peers.values()]

    def ask(self, candidate, request):
        peer = self.peers[candidate.name]
        self.asked.append(candidate.name)
        self.requests.append(request)
        self.on_answer()
        answer = peer.fixed_answer or result.Ok(peer.successor.handle(request))
        if peer.answer_lost:
            self.clock.now += handover.ANSWER_TIMEOUT_S
            answer = result.Err(handover.NoAnswer.SILENT)
        self.answers.append(handover.judge(answer, request)[1].value)
        return answer


def lead(context):
    """Let an instance of 2 cores lead, for longer than the time after a takeover."""
    world = context.world = fakes.World(random.Random(7))
    world.rows.put(keys.LEASE, journal.Lease("z", "1", 6, released=True))
    context.successors = Successors(world.clock)
    first = Peer(context, "a", "A")
    held = first.leadership.check()
    while held is None:
        world.clock.now += 0.3
        held = first.leadership.check()
    context.rows = first.rows
    context.journal = journal.Journal(first.rows, held, world.clock, world.counters)
    context.journal.write()
    context.ended = []
    context.handover = handover.LeaseHandover(
        context.journal, context.successors, lambda: end(context), world.clock,
        world.counters,
    )  # fmt: skip
    world.clock.now += 10
    context.failed_for = 0.0
    context.sent_at = None


def end(context):
    context.journal.deposed = True
    context.ended.append(context.world.clock.now)


def add_peer(context, name, data_centre, cores=2.0):
    context.successors.peers[name] = Peer(context, name, data_centre, cores)


@given("a leader in data centre A, and peer {name} in data centre B")
@given("a leader in data centre A, and peers {name} in data centre B")
def step_leader(context, name):
    lead(context)
    for each in name.replace(" and ", ", ").split(", "):
        add_peer(context, each, "B")


@given("a leader in data centre A, and these peers")
def step_leader_table(context):
    lead(context)
    for row in context.table:
        add_peer(context, row["name"], row["data centre"], float(row["cores"]))
        peer = context.successors.peers[row["name"]]
        peer.fixed_answer = answer_of(row["answers"])


def answer_of(name):
    if name == handover.NoAnswer.NOT_SERVED:
        return result.Err(handover.NoAnswer.NOT_SERVED)
    if name == handover.Outcome.CLAIMED:
        return result.Ok(handover.Answer(handover.Outcome.CLAIMED, token=100))
    reason = errors.ClaimRefusal(name)
    return result.Ok(handover.Answer(handover.Outcome.REFUSED, reason))


@given("nothing else")
def step_nothing(context):
    pass


@given("the leader took over {count:d} worker {ago:g} s ago")
@given("the leader took over {count:d} workers {ago:g} s ago")
def step_took_over(context, count, ago):
    context.journal.worker_count = lambda: count
    context.journal.renew_at = 0.0
    context.journal.write()
    context.handover.began_at = context.world.clock.now - ago


@given("the leader is stopping, and releases the lease")
def step_releasing(context):
    context.journal.release()


@given("the store answers the leader's reads")
def step_reads_answered(context):
    context.journal.outcome_read = True


@given("the store is away for {names}")
def step_away(context, names):
    peers = context.successors.peers
    for name in peers if names == "all peers" else names.split(" and "):
        peers[name].rows.fault = "down"


@given("a read of b takes {seconds:g} s")
def step_slow_read(context, seconds):
    context.successors.peers["b"].rows.read_seconds = seconds


@given("the answer of b is lost")
def step_answer_lost(context):
    context.successors.peers["b"].answer_lost = True


@given("the leader's last renewal took effect, and its answer was lost")
def step_renewal_lost(context):
    held = context.journal.held
    context.journal.renew_at = 0.0
    transaction, _ = context.journal._next_transaction()
    assert context.rows.commit(transaction).is_ok()
    context.journal.held = held
    row = context.rows.kept[keys.LEASE]
    assert row.version > held.lease_version


@when("the leader's writes have failed for {seconds:g} s")
def step_writes_fail(context, seconds):
    clock = context.world.clock
    context.rows.fault = "down"
    if context.sent_at is None:
        context.sent_at = context.journal.unconfirmed_since = clock.now
    while clock.now < context.sent_at + seconds and not context.ended:
        clock.now += handover.CHECK_INTERVAL_S
        context.handover.check()


@when(
    "the leader stands still for {seconds:g} s, and its write succeeds right after that"
)
def step_stands_still(context, seconds):
    context.journal.unconfirmed_since = context.world.clock.now
    context.handover.check()
    context.world.clock.now += seconds
    context.handover.check()
    # What arrived meanwhile is read before the next check.
    context.journal.write()
    assert context.journal.unconfirmed_since is None
    context.handover.check()


@when(
    "each write succeeds after {seconds:g} s, an answer takes {answer:g} s, and"
    " {passing:g} s pass"
)
def step_slow_writes(context, seconds, answer, passing):
    clock, written = context.world.clock, context.journal

    def pass_time(by):
        clock.now += by
        if clock.now >= written.unconfirmed_since + seconds:
            written.unconfirmed_since = clock.now

    context.successors.on_answer = lambda: pass_time(answer)
    written.unconfirmed_since = clock.now
    end = clock.now + passing
    while clock.now < end:
        pass_time(handover.CHECK_INTERVAL_S)
        context.handover.check()


@when("a write of the leader is lost without an answer")
def step_write_lost(context):
    context.rows.lose_next_write = True
    context.writing = gevent.spawn(context.journal.write)


@then("{seconds:g} s later it is unconfirmed, and a read of its outcome was answered")
def step_unconfirmed(context, seconds):
    gevent.sleep(seconds)
    assert context.journal.unconfirmed_since is not None
    assert context.journal.outcome_read


@then("it is confirmed once it has been sent again")
def step_confirmed(context):
    context.writing.join(1.0)
    assert context.writing.ready()
    assert context.journal.unconfirmed_since is None


@when("peer c is asked, and b claims the lease between c's read and its claim")
def step_two_asked(context):
    b, c = (context.successors.peers[name] for name in "bc")
    request = request_of(context)
    c.rows.before_write = lambda: b.successor.handle(request)
    context.by_name = {"c": c.successor.handle(request)}


@when("its request reaches b and c once more 1 s later")
def step_replayed(context):
    context.world.clock.now += 1.0
    request = context.successors.requests[0]
    context.by_name = {
        name: context.successors.peers[name].successor.handle(request) for name in "bc"
    }


def request_of(context):
    held = context.journal.held
    return handover.Request(held.lease.token, held.lease_version)


@given("b {state}")
def step_state(context, state):
    peer = context.successors.peers["b"]
    lead = peer.leadership
    if state == "is stopping":
        lead.closed = True
    elif state == "is slow at present":
        for took in (0.0001, *[0.001] * 5):
            lead.speed.record(took)
    elif state == "gave the lease up a moment ago":
        lead.back_off()
    elif state == "leads by an earlier token":
        lead.held_token = context.journal.token - 1
    elif state == "checks the lease and claims it now":
        lead.claiming.acquire()
    elif state == "has under half of the leader's cores":
        lead.cores = 0.9
    elif state == "finds no lease row":
        del peer.rows.kept[keys.LEASE]
    elif state == "finds a row that is no lease":
        peer.rows.put(keys.LEASE, ["nothing"])
    elif state == "cannot write to the store":
        peer.rows.once = ["down"]
    else:
        raise AssertionError(state)


@when("b is asked to take the lease")
def step_asked(context):
    peer = context.successors.peers["b"]
    context.by_name = {"b": peer.successor.handle(request_of(context))}


@when("b is asked by an earlier token {count:d} times in {seconds:g} s")
def step_flood(context, count, seconds):
    peer = context.successors.peers["b"]
    for _ in range(count):
        peer.successor.handle(handover.Request(context.journal.token - 1, 1))
        context.world.clock.now += seconds / count


@when("b is asked to take the lease during the read of its own check")
def step_asked_during_check(context):
    peer = context.successors.peers["b"]
    request = request_of(context)

    def ask():
        assert peer.successor.handle(request).outcome is handover.Outcome.CLAIMED

    peer.rows.during_read = ask
    context.held = peer.leadership.check()


@when("b is asked to take the lease, and stops before its next check")
def step_stops(context):
    peer = context.successors.peers["b"]
    assert peer.successor.handle(request_of(context)).outcome == "claimed"
    context.held = peer.leadership.close()


@then("the check returns the lease, by the next token")
@then("the stop returns the lease, to be released")
def step_returned(context):
    token = context.journal.token + 1
    assert context.held is not None
    assert context.held.lease.token == token, context.held
    row = codec.from_json(context.world.rows.kept[keys.LEASE].value, journal.Lease)
    assert row.token == token, row
    assert context.successors.peers["b"].leadership.close() is None


@then("it has read the lease {least:d} to {most:d} times")
def step_reads(context, least, most):
    reads = context.successors.peers["b"].rows.reads
    assert least <= reads <= most, reads


@then('{name} answered "{reason}", after {reads:d} reads')
def step_refused(context, name, reason, reads):
    answer = context.by_name[name]
    assert answer.outcome is handover.Outcome.REFUSED, answer
    assert answer.reason == reason, answer
    assert context.successors.peers[name].rows.reads == reads
    assert context.successors.peers[name].leadership.taken_over is None


@then('b answered "{first}", and c answered "{second}"')
def step_both_answered(context, first, second):
    found = [context.by_name[name].outcome for name in "bc"]
    assert found == [first, second], found


@then('c answered "{outcome}", and b leads by the next token')
def step_c_answered(context, outcome):
    assert context.by_name["c"].outcome == outcome, context.by_name
    peers = context.successors.peers
    assert peers["b"].leadership.check().lease.token == context.journal.token + 1
    assert peers["c"].leadership.close() is None


@then("nobody was asked")
def step_nobody(context):
    assert not context.successors.asked, context.successors.asked
    assert not context.ended


@then('the peers answered "{answers}"')
def step_answers(context, answers):
    assert context.successors.answers == answers.split(", "), context.successors.answers


@then('the peers asked were "{names}"')
def step_asked_were(context, names):
    assert context.successors.asked == names.split(", "), context.successors.asked


@then("{count:d} peers were asked")
def step_count(context, count):
    assert len(context.successors.asked) == count, context.successors.asked


@then("{least:d} to {most:d} peers were asked")
def step_count_between(context, least, most):
    assert least <= len(context.successors.asked) <= most, context.successors.asked


@then("{count:d} peers were asked, each of the {each:d} at least once")
def step_count_each(context, count, each):
    step_count(context, count)
    assert len(set(context.successors.asked)) == each, context.successors.asked


@then("peer {name} leads, and its next check returns the lease that it claimed")
def step_leads(context, name):
    peer = context.successors.peers[name]
    assert peer.leadership.check_now.is_set()
    held = peer.leadership.check()
    assert held is not None
    assert held.lease.token == context.journal.token + 1, held
    assert held.lease.holder == name
    journal.Journal(
        peer.rows, held, context.world.clock, context.world.counters
    ).write()


@then("the leader has ended, and its next write fails as it is deposed")
def step_ended(context):
    assert len(context.ended) == 1, context.ended
    context.journal.deposed = False
    step_write_fails(context)


@then("the leader's next write fails as it is deposed")
def step_write_fails(context):
    context.rows.fault = ""
    try:
        context.journal.write()
    except errors.DeposedError:
        return
    raise AssertionError("the earlier leader can still write")


@given("a scheduler with the option, and one without")
def step_schedulers(context):
    lead(context)
    world = context.world
    context.schedulers = [
        scheduler.Scheduler(
            world.rows, world.calls, context.journal.held, lambda: world.catalog,
            world.entry_of, fakes.WORKERS_PREFIX, fakes.MINUTE, world.advisor,
            world.clock, world.counters, enabled=enabled,
            successors=context.successors,
        )
        for enabled in (options.Options(hand_over_lease=True), options.NONE)
    ]  # fmt: skip


@then("only the first one watches its writes to hand the lease over")
def step_only_first(context):
    watches = [each.handover is not None for each in context.schedulers]
    assert watches == [True, False], watches
