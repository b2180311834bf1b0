import base64
import collections
import dataclasses
import itertools
import json
import tempfile
import threading
import time

import gevent
import result
from behave import given, then, when
from gevent import pywsgi
from tests.standins import metadata
from tests.support import deployed, ports, stage

from mangosail import codec
from mangosail.intake import peers
from mangosail.platform import caller, deployment, peering, process
from mangosail.scheduler import handover, journal, options

LEASE = ("leader", "s0", "lease")
#: Seconds between jobs of the steady caller, and how long each task takes.
JOB_INTERVAL_S = 0.05
TASK_SECONDS = "0.2"
#: Seconds for which the store refuses the leader: until the next one has led for long
#: enough to hand the lease over in turn.
REFUSAL_S = 4.0


@given("an instance that serves its peers, and a lease row with token {token:d}")
def step_instance(context, token):
    serve(context, token, options.Options(hand_over_lease=True))


@given("an instance without the option, and a lease row with token {token:d}")
def step_instance_without(context, token):
    serve(context, token, options.NONE)


def serve(context, token, enabled):
    """Serve the port between instances of a process, whose store holds a lease."""
    context.platform = metadata.Platform()
    context.add_cleanup(context.platform.close)
    config = json.dumps({"version": 1, "routes": [], "services": []})
    context.platform.put("op", "", "config", config)
    lease = journal.Lease("other", "1", token)
    context.platform.put(*LEASE, codec.to_json(lease))
    context.row = context.platform.rows[LEASE]
    settings = {
        "node_name": "edge-1", "zone": "dc", "ip": "127.0.0.1",
        "listen_addrs": {}, "platform": {"address": context.platform.address},
    }  # fmt: skip
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(settings, file)
        file.flush()
        made = context.process = process.Process(deployment.read(file.name), enabled)
    assert made.catalog.refresh()
    context.address = f"127.0.0.1:{ports.free_port()}"
    front = made.create_peer_front(context.address)
    front.start()
    context.add_cleanup(front.stop, timeout=0)


@given("its store answers")
def step_store_answers(context):
    pass


@given("its store refuses each call")
def step_store_refuses(context):
    context.platform.armed["/-/rows-get"] = [(503, {})] * 5


def post(context, body):
    """Post a body to the instance, and note the reply."""
    done = caller.Caller(context.address).call("POST", peering.HANDOVER_PATH, body)
    context.reply = done.ok_value


@when("a peer asks it by token {token:d} to take the lease")
def step_ask(context, token):
    post(context, codec.to_json(handover.Request(token, 1)).encode())


@when("a peer posts {body} to it")
def step_post(context, body):
    special = {"nothing": b"", "2000 bytes": b"7" * 2000}
    post(context, special.get(body, body.encode()))


@when("a peer sends half of a request to it")
def step_half(context):
    host, _, port = context.address.rpartition(":")
    connection = gevent.socket.create_connection((host, int(port)))
    context.add_cleanup(connection.close)
    connection.sendall(
        f"POST {peering.HANDOVER_PATH} HTTP/1.1\r\nHost: x\r\n"
        f'Content-Length: 40\r\n\r\n{{"token":7'.encode()
    )
    with gevent.Timeout(2.0):
        status = int(connection.recv(1000).split()[1])
    context.reply = caller.Reply(status, b"")


@then("it answers {status:d}, {outcome} with token {token:d}")
def step_answered(context, status, outcome, token):
    assert context.reply.status == status, context.reply
    answer = peering.decode_handover(context.reply).ok_value
    assert (answer.reason or answer.outcome) == outcome, answer
    assert answer.token == token, answer


@then("it answers 400, and the lease row is unchanged")
def step_malformed(context):
    assert context.reply.status == 400, context.reply
    assert context.platform.rows[LEASE] is context.row
    assert context.process.counters.snapshot()["handover.requested.malformed"]


@then("it answers 408, and the lease row is unchanged")
def step_never_came(context):
    assert context.reply.status == 408, context.reply
    assert context.platform.rows[LEASE] is context.row
    assert context.process.counters.snapshot()["front.refused.slow_body"]


@then("another peer that asks by token {token:d} meanwhile is answered {status:d}")
def step_another(context, token, status):
    step_ask(context, token)
    assert context.reply.status == status, context.reply


@then("the peer finds the path not served, and the lease row is unchanged")
def step_not_served(context):
    found = peering.decode_handover(context.reply)
    assert found == result.Err(handover.NoAnswer.NOT_SERVED), context.reply
    assert context.platform.rows[LEASE] is context.row


@when(
    "a peer asks it by token {token:d} to take the lease, and it begins to stop"
    " meanwhile"
)
def step_stops_meanwhile(context, token):
    made = context.process
    context.leading = gevent.spawn(made._lead_forever)
    context.add_cleanup(context.leading.kill)
    gevent.sleep(0.1)
    commit = made.store.commit

    def stop_after(transaction):
        done = commit(transaction)
        made.stopping = made.leadership.closed = True
        return done

    made.store.commit = stop_after
    step_ask(context, token)
    assert context.reply.status == 200, context.reply


@then(
    "the lease row with token {token:d} is released within {seconds:g} s, and the"
    " instance leads no more"
)
def step_released(context, token, seconds):
    context.leading.join(seconds)
    assert context.leading.ready()
    text = base64.b64decode(context.platform.rows[LEASE]["value"])
    lease = codec.from_json(text, journal.Lease)
    assert (lease.token, lease.released) == (token, True), lease


@given("a server that answers a request to take the lease with {reply}")
def step_server(context, reply):
    context.address = f"127.0.0.1:{ports.free_port()}"
    if reply == "a closed port":
        return
    status, _, body = reply.partition(" ")

    def answer(environ, start_response):
        if reply == "nothing":
            gevent.sleep(5)
            return []
        start_response(f"{status} -", [("Content-Type", "application/json")])
        return [body.encode()]

    host, _, port = context.address.rpartition(":")
    httpd = pywsgi.WSGIServer((host, int(port)), answer, log=None)
    httpd.start()
    context.add_cleanup(httpd.stop, timeout=0)


@when("it is asked to take the lease")
def step_ask_server(context):
    successors = peering.HttpSuccessors(tuple, "dc")
    candidate = handover.Candidate("one", context.address)
    request = handover.Request(7, 1)
    began_at = time.monotonic()
    found = successors.ask(candidate, request)
    context.seconds = time.monotonic() - began_at
    context.judged = handover.judge(found, request)


@then('the leader takes it as "{outcome}" within {seconds:g} s')
def step_taken_as(context, outcome, seconds):
    assert context.judged == (False, outcome), context.judged
    assert context.seconds < seconds, context.seconds


@dataclasses.dataclass(frozen=True)
class EarlierPeer:
    """The row of an instance as earlier builds know it."""

    name: str
    address: str
    written_at: float = 0.0


@given("the row of an instance of this build, and that of an earlier one")
def step_rows(context):
    context.new = peers.Peer("a", "a:1", 5.0, data_centre="dc", cores=2.0)
    context.old = EarlierPeer("b", "b:1", 5.0)


@then("the earlier build reads the first, and this one reads both")
def step_rows_read(context):
    text = codec.to_json(context.new)
    assert codec.from_json(text, EarlierPeer) == EarlierPeer("a", "a:1", 5.0)
    assert codec.from_json(text, peers.Peer) == context.new
    found = codec.from_json(codec.to_json(context.old), peers.Peer)
    assert found == peers.Peer("b", "b:1", 5.0), found


@given("{count:d} instances with the option, and a caller's steady jobs")
def step_deployment(context, count):
    deploy(context, count, "")


@given("{count:d} instances without the option, and a caller's steady jobs")
def step_deployment_without(context, count):
    deploy(context, count, "hand_over_lease")


def deploy(context, count, disabled):
    started = context.deployment = deployed.Deployment(1, lease_ms=10_000)
    context.add_cleanup(started.close)
    started.disabled_options = disabled
    started.start_store()
    for number in range(2):
        started.add_worker(f"worker-{number}")
    for number in range(count):
        started.add_instance(f"instance-{number}", deployed.host_of(number))
    for front in started.fronts.values():
        stage.wait_until(lambda at=front: deployed.answers(at), what="instance")
    context.leader = stage.wait_until(started.leader, what="leader")
    context.accepted = []
    context.submitting = True
    context.caller = threading.Thread(target=submit_steadily, args=(context,))
    context.caller.start()
    context.add_cleanup(lambda: setattr(context, "submitting", False))
    stage.wait_until(lambda: len(starts(context)) > 20, what="steady starts")


def events(context, name):
    """Return the log lines of an instance."""
    text = (context.deployment.logs / f"{name}.log").read_text()
    return [json.loads(x) for x in text.splitlines() if x.startswith("{")]


def knows_peers(context):
    """Return whether the leader knows all others, whose rows it reads each 10 s."""
    count = len(context.deployment.fronts) - 1
    return any(
        line["event"] == "known peers changed" and line["count"] == count
        for line in events(context, context.leader)
    )


def submit_steadily(context):
    """Submit a job of one task at the instances that the store does not refuse."""
    number = 0
    while context.submitting:
        number += 1
        job = f"{number:016x}"
        body = {"spec": TASK_SECONDS, "steps": [{"count": 1, "cpu": 1000}]}
        fronts = {**context.deployment.fronts}
        fronts.pop(context.leader)
        front = sorted(fronts.values())[number % len(fronts)]
        path, headers = deployed.PREFIX + job, {"Host": deployed.HOST}
        try:
            answer = stage.call(front, "POST", path, body, headers, timeout=3.0)
        except OSError:
            continue
        if answer.status == 200:
            context.accepted.append(job)
        time.sleep(JOB_INTERVAL_S)


def starts(context):
    """Return the start entries of all workers, by time."""
    entries = context.deployment.worker_entries()
    found = [entry for entry in entries if entry["event"] == "start"]
    return sorted(found, key=lambda entry: entry["at"])


@when("the store refuses the leader alone")
def step_refused_once(context):
    refuse(context, 1)


@when("the store refuses the leader alone, three times one after the other")
def step_refused(context):
    refuse(context, 3)


def refuse(context, times):
    context.pauses, context.followed = [], []
    for _ in range(times):
        context.leader = context.deployment.leader()
        stage.wait_until(lambda: knows_peers(context), what="known peers")
        refused = context.deployment.relays[context.leader]
        refused_at = time.time()
        refused.refuse()
        time.sleep(REFUSAL_S)
        refused.accept_again()
        context.pauses.append(longest_pause(context, refused_at))
        context.followed.append((context.leader, context.deployment.leader()))
    print(f"starts paused for {context.pauses} s", flush=True)
    context.submitting = False
    context.caller.join()


def longest_pause(context, since):
    """Return the longest time without a start since shortly before the refusals."""
    times = [entry["at"] for entry in starts(context)]
    times = [at for at in times if at > since - 0.5]
    pauses = [late - early for early, late in itertools.pairwise(times)]
    return round(max(pauses), 2)


def asked(context, name):
    return [
        line["outcome"]
        for line in events(context, name)
        if line["event"] == "peer asked to take the lease"
    ]


@then("each time a peer was asked and took the lease")
def step_took(context):
    for refused, follower in context.followed:
        assert follower != refused, context.followed
        assert asked(context, refused)[-1] == "claimed", asked(context, refused)


@then("starts paused for {seconds:g} s at most, at least once")
def step_paused(context, seconds):
    assert min(context.pauses) <= seconds, context.pauses


@then("nobody was asked, and another instance leads")
def step_timed_out(context):
    ((refused, follower),) = context.followed
    assert follower != refused
    for name in context.deployment.fronts:
        told = [line for line in events(context, name) if "asked to" in line["event"]]
        assert not told, told


@then("no task was started twice, and each accepted job has ended")
def step_all_ended(context):
    front = next(iter(context.deployment.fronts.values()))
    for job in context.accepted:
        stage.wait_until(
            lambda j=job: state(front, j) == "completed", 20, f"end of {job}"
        )
    counted = collections.Counter(entry["task"] for entry in starts(context))
    twice = {task: count for task, count in counted.items() if count > 1}
    assert not twice, twice
    assert len(counted) >= len(context.accepted)


def state(front, job):
    path = deployed.PREFIX + job
    answer = stage.call(front, "GET", path, headers={"Host": deployed.HOST})
    return answer.json().get("state")
