import collections
import json
import random

import falcon.testing
import result
from behave import given, then, when
from tests.scheduler import fakes
from tests.support import memory

from mangosail.intake import catalogs, job_service, peers, relaying
from mangosail.platform import caller, ingress, peering
from mangosail.platform import errors as store_errors
from mangosail.scheduler import journal, keys, messages
from mangosail.telemetry import counters

HOST, PATH = "jobs.example", "/q/00000000000000aa"
OTHER_PATH = "/q/00000000000000bb"
CONFIG = "op//config"
BODY = json.dumps({"spec": "text", "steps": [{"count": 1, "cpu": 1000}]})
CONTINUOUS_STEP = {"count": 1, "cpu": 1000, "long_running": True}
CONTINUOUS_BODY = json.dumps({"spec": "text", "steps": [CONTINUOUS_STEP]})


class Instance:
    """The ingress of an instance with its own store and a relay to peers."""

    def __init__(self, clock, fault, relay=None, catalog=None):
        self.rows = fakes.Rows()
        self.rows.fault = fault
        stats = counters.StatsdCounters(None, 0)
        self.catalogs = catalogs.Catalogs(
            self.rows, CONFIG, lambda text: catalogs_by_text[text], clock, stats
        )
        self.catalogs._install(catalog or catalog_of(1, "/q/"))
        # As if it had just been read.
        self.catalogs.watcher.fresh_at = clock.elapsed()
        jobs = job_service.JobService(self.rows, lambda: False, clock, stats)
        self.relay = relay
        self.app = ingress.Ingress(self.catalogs, jobs, clock, stats, relay).app
        self.client = falcon.testing.TestClient(self.app, headers={"Host": HOST})

    def ask(self, method, path=PATH, body=None, headers=None):
        return self.client.simulate_request(method, path, body=body, headers=headers)


def catalog_of(version, *prefixes):
    return messages.Catalog(
        version,
        tuple(messages.Queue(p, HOST, p, "pool", 0, 2, 3.0) for p in prefixes),
    )


#: Catalogs by the text of the configuration row.
catalogs_by_text = {'"newer"': catalog_of(2, "/q/", "/added/")}


def create_pair(context, peer_fault, send=None, own=None, others=None):
    """Create an instance that the store refuses, and its peer."""
    context.clock = memory.Clock(now=1000.0)
    context.peer = Instance(context.clock, peer_fault, catalog=others)
    context.asked = []

    def forward(address, request):
        context.asked.append(address)
        if send is not None:
            return send(request)
        least = {peering.MIN_VERSION_HEADER: str(request.min_version)}
        answer = context.peer.ask(
            request.method, request.path, request.body, {"Host": HOST, **least}
        )
        reply = caller.Reply(answer.status_code, answer.content, answer.headers["ETag"])
        return result.Ok(peering.to_answer(reply))

    stats = counters.StatsdCounters(None, 0)
    first = peers.Peer("a", "a:1")
    known = peers.Peers(None, first, context.clock, stats, random.Random(5))
    known.known = (peers.Peer("b", "b:1"),)
    relay = relaying.Relay(known, forward, context.clock, stats)
    context.instance = Instance(context.clock, "down", relay, own)


@given("an instance that the store refuses and a peer that it serves")
def step_served(context):
    create_pair(context, "")


@given("an instance and a peer that the store refuses")
def step_both_refused(context):
    create_pair(context, "down")


@given("an instance that the store refuses and a peer that never answers")
def step_silent(context):
    create_pair(context, "", lambda request: result.Err(relaying.Unanswered()))


@given("an instance that the store refuses and a peer that is not there")
def step_absent(context):
    create_pair(context, "", lambda request: result.Err(relaying.NotSent()))


@given("an instance with an older configuration and a peer with a newer one")
def step_newer_peer(context):
    create_pair(
        context,
        "",
        None,
        catalog_of(1, "/q/", "/dropped/"),
        catalogs_by_text['"newer"'],
    )


@given("an instance with a newer configuration and a peer with an older one")
def step_older_peer(context):
    create_pair(context, "", None, catalogs_by_text['"newer"'], catalog_of(1, "/q/"))


@when("a caller submits a job at the queue that was added")
def step_added(context):
    context.answer = context.instance.ask("POST", "/added/00000000000000aa", BODY)


@when("a caller asks how many jobs wait at the queue that was dropped")
def step_dropped(context):
    context.answer = context.instance.ask("GET", "/dropped/")


@when("the instance runs a job of a newer configuration")
def step_runs_newer(context):
    context.instance.catalogs.invalidate(2)


@when("the store serves the instance again")
def step_serves_again(context):
    context.instance.rows.fault = ""


@when("the store contains the newer configuration")
def step_told(context):
    context.instance.rows.put(CONFIG, "newer")


@when("the instance has read the newer configuration")
def step_has_read(context):
    context.clock.now += 1
    context.instance.rows.put(CONFIG, "newer")
    assert context.instance.catalogs.watcher.read_once(0)


@then("the peer was asked twice")
def step_twice(context):
    assert len(context.asked) == 2, context.asked


@when("a caller submits a job")
def step_hand_in(context):
    context.answer = context.instance.ask("POST", PATH, BODY)


@given("there is no capacity for continuous jobs")
def step_no_room(context):
    lease = journal.Lease("a", "1", 1, continuous_bound=0.0)
    context.peer.rows.put(keys.LEASE, lease)


@when("a caller submits a continuous job")
def step_continuous(context):
    context.answer = context.instance.ask("POST", PATH, CONTINUOUS_BODY)


@then('the caller is refused for "{reason}" and retries after {seconds:d} seconds')
def step_refused_for(context, reason, seconds):
    step_refused(context)
    assert context.answer.json["title"] == reason, context.answer
    assert context.answer.headers["Retry-After"] == str(seconds), context.answer


@when("another caller submits a job")
def step_other(context):
    context.answer = context.instance.ask("POST", OTHER_PATH, BODY)


@when("the caller asks for its state")
def step_ask(context):
    context.answer = context.instance.ask("GET")


@when("the caller cancels it")
def step_cancel(context):
    context.answer = context.instance.ask("DELETE")


@then("the peer's store holds the job")
def step_stored(context):
    assert keys.job("00000000000000aa") in context.peer.rows.kept


@then("the caller is refused and told when to retry")
@then("the other caller is refused and told when to retry")
def step_refused(context):
    assert context.answer.status_code == 503, context.answer
    assert context.answer.headers["Retry-After"]


@then("the peer was asked once")
def step_once(context):
    assert len(context.asked) == 1, context.asked


@then("the caller gets the answer {status:d}")
def step_answer(context, status):
    assert context.answer.status_code == status, context.answer
    assert "Retry-After" not in context.answer.headers


@then("the caller is told that it is queued")
def step_queued(context):
    assert context.answer.json == {"state": "queued"}, context.answer


@given("two instances that have written their rows")
def step_two_peers(context):
    context.clock = memory.Clock(now=1000.0)
    rows = fakes.Rows()
    context.first, context.second = (
        peers.Peers(
            rows,
            peers.Peer(name, f"{name}:1"),
            context.clock,
            counters.StatsdCounters(None, 0),
            random.Random(5),
        )
        for name in ("a", "b")
    )
    assert context.first.register() and context.second.register()


@when("the first reads the rows of all")
def step_read(context):
    assert context.first.read()


@when("{seconds:d} seconds pass and the first writes and reads")
def step_later(context, seconds):
    context.clock.now += seconds
    assert context.first.register() and context.first.read()


@when("the second stops as planned")
def step_leave(context):
    context.second.deregister()


@then("it knows the second alone")
def step_knows(context):
    assert [peer.name for peer in context.first.sample(5)] == ["b"]


@then("it knows no other")
def step_knows_none(context):
    assert context.first.sample(5) == []


@given("an instance without a configuration and a peer with one")
def step_no_catalog(context):
    create_pair(context, "")
    context.instance.catalogs.catalog = None


@when("a caller submits a job of {count:d} bytes")
def step_large(context, count):
    context.answer = context.instance.ask("POST", PATH, "x" * count)


#: Answers of peers by their state.
ANSWERS = {
    "well": result.Ok(relaying.Answer(200, "{}", version=1)),
    "newer": result.Ok(relaying.Answer(200, "{}", version=2)),
    "refuse": result.Ok(relaying.Answer(503, '{"title": "store_away"}')),
    "gone": result.Err(relaying.NotSent()),
    "silent": result.Err(relaying.Unanswered()),
    "open": result.Ok(relaying.Answer(504, '{"title": "undecided"}')),
    "faulty": result.Ok(relaying.Answer(502, "")),
}
#: Seconds after which a peer counts as silent.
SILENT_TIMEOUT_S = 0.7


@given(
    "an instance that the store refuses and {count:d} peers, of which {bad:d} {fault:w}"
)
@given(
    "an instance that the store refuses and {count:d} peers, "
    "of which {bad:d} are {fault:w}"
)
def step_many(context, count, bad, fault):
    names = [f"p{number}" for number in range(count)]
    context.state = {
        name: fault if number < bad else "well" for number, name in enumerate(names)
    }
    context.statuses = []
    context.served = collections.Counter()

    def forward(address, request):
        state = context.state[address]
        context.asked.append(address)
        context.served[address] += state == "well"
        if state == "silent":
            wait_for_silent_peer(context)
        return ANSWERS[state]

    create_pair(context, "")
    context.concurrent_callers = 0
    relay = context.instance.relay
    relay.send = forward
    relay.peers.known = tuple(peers.Peer(name, name) for name in names)


def wait_for_silent_peer(context):
    """Advance the clock by the timeout of a silent peer, serving other callers."""
    until = context.clock.now + SILENT_TIMEOUT_S
    count, context.concurrent_callers = context.concurrent_callers, 0
    if count:
        step_callers(context, count, "POST", SILENT_TIMEOUT_S)
    context.clock.now = max(context.clock.now, until)


@when("{rate:d} callers a second come while a silent peer is asked")
def step_meanwhile(context, rate):
    context.concurrent_callers = round(rate * SILENT_TIMEOUT_S)


@then("the silent peer was asked once")
def step_asked_once(context):
    assert context.concurrent_callers == 0, (
        "no caller arrived while the peer was being asked"
    )
    assert context.asked.count("p0") == 1, context.asked.count("p0")


@when("{count:d} callers send a {method:w} within {seconds:d} seconds")
def step_callers(context, count, method, seconds):
    body = BODY if method == "POST" else None
    for number in range(count):
        context.clock.now += seconds / count
        answer = context.instance.ask(method, f"/q/{number:016x}", body)
        assert ("Retry-After" in answer.headers) == (answer.status_code == 503)
        context.statuses.append(answer.status_code)


@when(
    "the instance follows for {seconds:d} seconds, "
    "while {rate:d} callers a second send a GET"
)
def step_follows(context, seconds, rate):
    follower = context.instance.catalogs.watcher
    changes = follower.rows.changes
    context.forwarded = []

    def wait_for_changes(prefix, after, wait, heard, most):
        for _ in range(round(wait * rate)):
            before = len(context.asked)
            step_callers(context, 1, "GET", 1 / rate)
            context.forwarded.append(len(context.asked) > before)
        return changes(prefix, after, wait, heard, most)

    assert follower.read_once(0)
    follower.rows.changes = wait_for_changes
    began_at = context.clock.now
    while context.clock.now < began_at + seconds:
        assert follower.read_once(follower.wait)
    follower.rows.changes = changes


@then("none of the last {count:d} requests was forwarded")
def step_not_passed_on(context, count):
    assert len(context.forwarded) >= count
    assert not any(context.forwarded[-count:]), sum(context.forwarded)


@when("the other peer is {state:w}")
def step_other_is(context, state):
    context.state["p1"] = state


@when("{count:d} callers send a {method:w} with {seconds:d} seconds between them")
def step_apart(context, count, method, seconds):
    context.calls = []
    for _ in range(count):
        del context.asked[:]
        step_callers(context, 1, method, seconds)
        context.calls.append((tuple(context.asked), context.statuses[-1]))


@then("each caller got the answer {status:d}")
def step_each(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("the silent peer was asked")
def step_silent_asked(context):
    assert any("p0" in asked for asked, _ in context.calls), context.calls


@then("a caller for whom the silent peer was asked got the answer {status:d}")
def step_past_silent(context, status):
    got = {status for asked, status in context.calls if "p0" in asked}
    assert got == {status}, context.calls


@when("the store is silent for {seconds:g} seconds")
def step_store_silent(context, seconds):
    context.began_at = context.clock.now

    def read(wanted):
        context.clock.now += seconds
        return result.Err(store_errors.Unavailable("silent"))

    context.instance.rows.read = read


@when("a caller asks how many jobs wait")
def step_pending(context):
    context.answer = context.instance.ask("GET", "/q/")


@then("the caller was kept for at most {seconds:g} seconds")
def step_kept(context, seconds):
    assert context.clock.now - context.began_at <= seconds, context.clock.now


@when("the peers recover")
def step_recover(context):
    context.state = dict.fromkeys(context.state, "well")


@when("the peers swap states")
def step_swap(context):
    swapped = {"well": "refuse", "refuse": "well"}
    context.state = {name: swapped[state] for name, state in context.state.items()}


@when("the rows of all peers but {count:d} are deleted")
def step_rows_go(context, count):
    known = context.instance.relay.peers
    known.known = known.known[-count:]


@then("no more than {count:d} peers are remembered")
def step_remembered(context, count):
    assert len(context.instance.relay.history.records) <= count


@then("at least {count:d} callers got the answer {status:d}")
def step_at_least(context, count, status):
    assert context.statuses.count(status) >= count, collections.Counter(
        context.statuses
    )


@then("at most {count:d} callers got the answer {status:d}")
def step_at_most(context, count, status):
    assert context.statuses.count(status) <= count, collections.Counter(
        context.statuses
    )


@then("no caller got the answer {status:d}")
def step_nobody(context, status):
    assert status not in context.statuses, collections.Counter(context.statuses)


@then("the last {count:d} callers got the answer {status:d}")
def step_last(context, count, status):
    last = context.statuses[-count:]
    assert last == [status] * count, (collections.Counter(last), context.statuses)


@then("each peer that it serves answered at least {count:d} callers")
def step_shared(context, count):
    well = [name for name, state in context.state.items() if state == "well"]
    counts = {name: context.served[name] for name in well}
    assert min(counts.values()) >= count, counts


@then("peers were asked at most {count:d} times")
def step_bounded(context, count):
    assert len(context.asked) <= count, len(context.asked)


@then("no peer was asked")
def step_none_asked(context):
    assert not context.asked, context.asked


@when("a caller is answered by an older configuration after another by a newer one")
def step_overtaken(context):
    context.min_versions = []

    def forward(address, request):
        context.min_versions.append(request.min_version)
        if len(context.min_versions) > 1:
            return ANSWERS["newer"]
        # The other request arrives while this one is waiting.
        assert context.instance.ask("GET").status_code == 200
        return ANSWERS["well"]

    context.instance.relay.send = forward
    assert context.instance.ask("GET").status_code == 200


@then("requests require at least the newer configuration")
def step_least(context):
    assert context.min_versions[-1] == 2, context.min_versions
