import json
import signal
import threading
import time

from behave import given, then, when
from tests.support import stage as stages
from tests.support import teams

ORDERS = 2
#: Seconds within which an owner that stops must be gone.
STOP_TIMEOUT_S = 35.0


@given("{count:d} instance, which runs orders of {seconds:g} s")
@given("{count:d} instances, one of which runs orders of {seconds:g} s")
def run_orders(context, count, seconds):
    context.stage = stage = stages.Stage()
    context.add_cleanup(stage.close)
    stage.start_platform(lag=0.2)
    stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    (context.worker,) = stage.start_workers("duran", 1)
    context.host = stage.worker_hosts[context.worker]
    for number in range(count):
        stage.start_instance(f"duran-{number}", "duran")
    stage.wait_ready()
    context.owner = stages.wait_until(lambda: steady_owner(context), what="an owner")
    context.callers = [
        threading.Thread(target=order, args=(context, number, seconds), daemon=True)
        for number in range(ORDERS)
    ]
    for caller in context.callers:
        caller.start()
    stages.wait_until(lambda: len(events(context, "start")) == ORDERS, 10, "starts")


def steady_owner(context):
    """Return the worker's owner once it has been the same for 2 s."""
    before = owner(context)
    time.sleep(2)
    return before if owner(context) == before else None


def owner(context):
    rows = stages.call(context.stage.platform, "GET", "/rows?prefix=owner/").json()
    return next((json.loads(row["value"])["instance"] for row in rows), None)


def order(context, number, seconds):
    headers = teams.bearer(
        "fuel-desk-token", Request_Id=f"x{number}", Request_Timeout=0.5
    )
    body = {"order": f"x{number}", "work_seconds": seconds}
    path = "/v1/services/fuel/release"
    context.stage.call(context.owner, "POST", path, body, headers)


def events(context, event):
    return [e for e in context.stage.execution_log() if e["event"] == event]


def logged(context, instance, event):
    """Return how many lines with this event an instance has logged."""
    text = (context.stage.logs / f"{instance}.log").read_text()
    return text.count(f'"event":"{event}"')


@when("all instances are cut off from the table")
def cut_all(context):
    context.stage.faults(cut=list(context.stage.instances))


@when("the owner alone is cut off from the table")
def cut_owner(context):
    context.stage.faults(cut=[context.owner])


@when("the owner is stopped")
def stop_owner(context):
    context.stage.signal(context.owner, signal.SIGTERM)


@when("the owner is killed once its peer keeps the ends")
def kill_owner(context):
    (peer,) = set(context.stage.instances) - {context.owner}
    stages.wait_until(
        lambda: logged(context, peer, "end kept for a peer") == ORDERS, 10, "kept ends"
    )
    context.stage.kill(context.owner)


@when("the worker is killed once the owner is gone")
def kill_worker(context):
    context.stage.processes[context.owner].wait(STOP_TIMEOUT_S)
    check_ended_and_kill(context)


def check_ended_and_kill(context):
    ended = [e["state"] for e in events(context, "end")]
    assert ended == ["done"] * ORDERS, ended
    context.stage.kill(context.host)


@when("the worker is killed once the owner knows the ends, and comes back")
def kill_worker_beside_owner(context):
    stages.wait_until(
        lambda: logged(context, context.owner, "row not written") == ORDERS,
        10,
        "unwritten ends",
    )
    check_ended_and_kill(context)
    context.stage.restart(context.host)


@when("the peer has taken the worker")
def peer_takes(context):
    stages.wait_until(lambda: owner(context) != context.owner, 15, "another owner")


@when("the cut is over")
def cut_over(context):
    context.stage.faults(cut=[])


@when("the cut is over after {seconds:g} s")
def cut_over_later(context, seconds):
    time.sleep(seconds)
    cut_over(context)


@when("the cut is over, and the worker and the owner are back")
def all_back(context):
    cut_over(context)
    context.stage.restart(context.host)
    context.stage.restart(context.owner)


def told(context, number):
    """Return the final outcome and reason of an order, or None."""
    headers = teams.bearer("fuel-desk-token")
    for instance in context.stage.instances:
        answer = context.stage.call(
            instance, "GET", f"/v1/work/x{number}", headers=headers
        ).json()
        if "outcome" in answer and answer["retry_after"] is None:
            return answer["outcome"], answer["reason"]
    return None


@then("all orders are told as completed")
def told_completed(context):
    for number in range(ORDERS):
        last = stages.wait_until(
            lambda n=number: told(context, n), 25, f"end of x{number}"
        )
        assert last == ("completed", ""), last


@then("the rows of all orders are completed")
def rows_completed(context):
    rows = stages.call(context.stage.platform, "GET", "/rows?prefix=work/").json()
    states = [json.loads(row["value"])["state"] for row in rows]
    assert states == ["completed"] * ORDERS, states
