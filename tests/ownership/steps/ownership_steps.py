import json
import time

import hypothesis
from behave import given, then, when
from hypothesis import stateful
from tests.ownership import shares_machine
from tests.standins import relay
from tests.support import load, stage, teams

FULL = {"cpus": 0.0, "memory_gb": 0.0, "accelerators": 0, "slots": 0, "connections": 0}


@then("no sequence of events exceeds the worker's capacity")
def run_machine(context):
    stateful.run_state_machine_as_test(
        shares_machine.OwnersOfOneWorker,
        settings=hypothesis.settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=200,
            stateful_step_count=40,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


@given("a stage of 3 instances and 3 workers in one data centre")
def small_stage(context, cut_first_pair=False, workers=3, slots=6):
    context.stage = stage.Stage()
    context.stage.start_platform()
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    context.stage.start_workers("shymkent", workers, slots=slots)
    for number in range(3):
        context.stage.start_instance(f"i{number}", "shymkent")
    if cut_first_pair:
        cut_pair(context, "i0", "i1")
    context.stage.wait_ready()
    stage.wait_until(lambda: len(owners(context)) == workers, 10, "every worker owned")
    context.before = owners(context)


@given("a stage of 3 instances and 1 worker in one data centre")
def stage_of_one_worker(context):
    small_stage(context, workers=1, slots=18)


def cut_pair(context, first, second):
    """Connect the two instances through relays, so that they can be disconnected."""
    context.relays = {
        name: relay.Relay(context.stage.peer_addresses[name])
        for name in (first, second)
    }
    stage.call(
        context.stage.platform, "POST", "/addresses",
        {first: {second: context.relays[second].address},
         second: {first: context.relays[first].address}},
    )  # fmt: skip


@given("a stage of 3 instances and 3 workers, the first two instances disconnected")
def stage_with_pair(context):
    small_stage(context, cut_first_pair=True)
    stage.wait_until(
        lambda: (
            reachable(context, "i0") == {"i1", "i2"}
            and reachable(context, "i1") == {"i0", "i2"}
        ),
        10,
        "the pair reachable",
    )
    for link in context.relays.values():
        link.cut()


@given("quotes and releases arrive at every instance")
def start_load(context):
    context.load = load.Load(context.stage.instances, callers=2)
    stage.wait_until(
        lambda: all(answered(context, n) for n in context.stage.instances),
        10,
        "first answers",
    )


def answered(context, name, since=0.0):
    return any(
        a[1] == name and a[3] == 200 for a in context.load.since(since) if a[0] >= since
    )


def status(context, name):
    headers = teams.bearer("fuel-desk-token")
    return context.stage.call(name, "GET", "/v1/status", headers=headers).json()


def reachable(context, name):
    return set(status(context, name)["peers"])


def owners(context):
    """Return (instance, incarnation, generation) of each owned worker."""
    rows = stage.call(context.stage.platform, "GET", "/rows?prefix=owner/").json()
    values = [stage.json.loads(row["value"]) for row in rows]
    return {
        row["worker"]: (row["instance"], row["incarnation"], row["generation"])
        for row in values
        if row["instance"]
    }


def choose_worker(context):
    """Choose the worker of the scenario, and record its owner."""
    context.worker = min(owners(context))
    context.old = owners(context)[context.worker]


def taken(context):
    return owners(context)[context.worker][2] > context.old[2]


@when("the owner of a worker is killed")
def kill_owner(context):
    choose_worker(context)
    context.stage.kill(context.old[0])


@then("the worker has another owner within {seconds:d} seconds")
def other_owner(context, seconds):
    stage.wait_until(lambda: taken(context), seconds, "another owner")
    assert owners(context)[context.worker][0] != context.old[0]


@when("the platform no longer lists the killed instance")
def unlist(context):
    name = context.old[0]
    new = owners(context)[context.worker][0]
    assert withheld(context, new) != [], "nothing is withheld for the killed owner"
    stage.call(context.stage.platform, "DELETE", f"/inventory/instances/{name}")
    context.stage.instances.pop(name)


def withheld(context, name):
    """Return what `name` withholds on its workers for earlier owners."""
    workers = status(context, name)["workers"]
    return [w["withheld"] for w in workers if w["withheld"] != FULL]


@then("its new owner uses the whole worker within {seconds:d} seconds")
def whole_worker_used(context, seconds):
    new = owners(context)[context.worker][0]
    stage.wait_until(lambda: withheld(context, new) == [], seconds, "nothing withheld")


@then("every worker is fully usable again within {seconds:d} seconds")
def all_whole(context, seconds):
    def whole():
        return all(withheld(context, name) == [] for name in context.stage.instances)

    stage.wait_until(whole, seconds, "nothing withheld on any worker")


@then("no worker's capacity was ever exceeded")
def within_capacity(context):
    for worker, address in context.stage.workers.items():
        guard_log = stage.call(address, "GET", "/log").json()
        guarded = [e for e in guard_log["log"] if e["event"] == "guard"]
        assert not guarded, (worker, guarded[:3], len(guarded))
        for part, most in guard_log["most"].items():
            assert most <= guard_log["capacity"][part], (worker, part, most)
    for name in context.stage.instances:
        assert context.stage.processes[name].poll() is None, f"{name} has aborted"


@when("the owner of a worker is frozen until another has acquired it")
def freeze_owner(context):
    choose_worker(context)
    context.stage.freeze(context.old[0])
    stage.wait_until(lambda: taken(context), 10, "another owner")
    context.taken_at = time.time()
    context.stage.thaw(context.old[0])


@then("after the takeover nothing durable of the old owner was started")
def nothing_durable(context):
    late = [
        entry
        for entry in context.stage.execution_log()
        if entry["event"] == "start"
        and entry["worker"] == context.worker
        and entry["at"] > context.taken_at
        and entry["kind"].endswith("release")
        and entry["owner_generation"] <= context.old[2]
    ]
    assert not late, late


@then("it rejoins within {seconds:d} seconds")
def rejoins(context, seconds):
    name, incarnation, _ = context.old

    def joined():
        rows = stage.call(
            context.stage.platform, "GET", f"/rows?prefix=session/shymkent/{name}"
        ).json()
        row = stage.json.loads(rows[0]["value"])
        return row["incarnation"] != incarnation and not row["ended"]

    stage.wait_until(joined, seconds, "a new session")
    stage.wait_until(
        lambda: name in {owner[0] for owner in owners(context).values()},
        10,
        "its share of the workers",
    )


@when("the owner of a worker is cut off from the platform until another acquired it")
def cut_owner(context):
    choose_worker(context)
    context.stage.faults(cut=[context.old[0]])
    stage.wait_until(lambda: taken(context), 12, "another owner")


@then("quotes at the cut-off instance are answered by its own workers")
def cut_answers(context):
    name = context.old[0]
    context.load.stop()
    body = {"work_seconds": 0.05}
    headers = teams.bearer("fuel-desk-token")
    before = generations_used(context)
    for _ in range(10):
        answer = context.stage.call(
            name, "POST", "/v1/services/fuel/quote", body, headers
        )
        assert answer.status == 200, answer
    used = generations_used(context) - before
    assert (context.worker, context.old[2]) in {
        (worker, generation) for worker, generation, _ in used
    }, used


def generations_used(context):
    return {
        (e["worker"], e["owner_generation"], e["at"])
        for e in context.stage.execution_log()
        if e["event"] == "start"
    }


@when("the connection is restored")
def heal(context):
    context.stage.faults(cut=[])


def wait_for_expiry(context):
    def expired():
        names = context.stage.instances
        return not any(status(context, name)["lease_holds"] for name in names)

    stage.wait_until(expired, 10, "every lease expired")


@when("the table is down until every lease has expired")
def table_down(context):
    context.before = owners(context)
    context.stage.faults(table="down")
    wait_for_expiry(context)


@when("every instance is cut off from the platform until every lease has expired")
def all_cut(context):
    context.before = owners(context)
    context.stage.faults(cut=list(context.stage.instances))
    wait_for_expiry(context)


@then("quotes are answered at every instance")
def all_answer(context):
    started = time.monotonic()
    stage.wait_until(
        lambda: all(answered(context, n, started) for n in context.stage.instances),
        5,
        "an answer from every instance",
    )
    for name in context.stage.instances:
        own = [a for a in context.load.since(started) if a[1] == name]
        good = [a for a in own if a[3] == 200]
        assert len(good) >= len(own) * 0.8, (name, own)


@then('a release is refused with "{reason}" at every instance')
def releases_refused(context, reason):
    headers = teams.bearer("fuel-desk-token")
    for name in context.stage.instances:
        answer = context.stage.call(
            name, "POST", "/v1/services/fuel/release", {}, headers
        )
        assert answer.status == 503 and answer.json()["title"] == reason, answer


@then("a new watch receives all its events at every instance")
def new_watches(context):
    headers = teams.bearer("fuel-desk-token")
    for name in context.stage.instances:
        path = f"/v1/watches/fuel/tail-watch?subject=UP-{name}:2&after=0"
        answer = context.stage.call(name, "GET", path, headers=headers)
        lines = [json.loads(line) for line in answer.body.splitlines() if line.strip()]
        assert [line.get("sequence") for line in lines] == [1, 2], answer


@then("a new watch is refused at once by the instances that own no worker")
def watches_refused(context):
    headers = teams.bearer("fuel-desk-token")
    owning = {owner[0] for owner in owners(context).values()}
    for name in sorted(set(context.stage.instances) - owning):
        path = "/v1/watches/fuel/tail-watch?subject=UP-1:2&after=0"
        answer = context.stage.call(name, "GET", path, headers=headers)
        assert answer.status == 503 and answer.seconds < 1.0, answer
        assert answer.json()["title"] == "no_capacity", answer
        assert "retry-after" in answer.headers, answer


@when("the table is up again")
def table_up(context):
    context.stage.faults(table="up")


@then("all leases hold within {seconds:d} seconds and no worker changed its owner")
def whole_without_handover(context, seconds):
    stage.wait_until(
        lambda: all(
            status(context, name)["lease_holds"] for name in context.stage.instances
        ),
        seconds,
        "all leases hold",
    )
    assert owners(context) == context.before


@when("the pair has been disconnected for longer than the lease")
def pair_apart(context):
    context.before = owners(context)
    stage.wait_until(
        lambda: reachable(context, "i0") == reachable(context, "i1") == {"i2"},
        15,
        "the pair disconnected",
    )
