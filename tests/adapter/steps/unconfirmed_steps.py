import re
import time

import gevent
from behave import given, then, when
from tests.adapter import instances
from tests.standins import metadata

from mangosail.intake import job_service, relaying
from mangosail.platform import decoding, peering
from mangosail.scheduler import messages


def ask(context):
    """Send one request of each kind for the queue q0; return method -> answer."""
    context.asked = getattr(context, "asked", 0) + 1
    client, new = context.client, f"/q0/{context.asked:016x}"
    return {
        "count": client.simulate_get("/q0/"),
        "state": client.simulate_get(instances.PATH),
        "cancel": client.simulate_delete(instances.PATH),
        "submit": client.simulate_post(new, body=instances.JOB),
    }


@when("its readings of the configuration stall after {count:d} KB")
def step_readings_stall(context, count):
    context.platform.stall_after = count * 1000


@when("its readings of the configuration break after {count:d} KB")
def step_readings_break(context, count):
    context.platform.break_after = count * 1000


@when("its readings of the configuration have no answer")
def step_readings_silent(context):
    context.platform.outages["op"] = "silent"


@when("its readings of the configuration are reset")
def step_readings_reset(context):
    context.platform.outages["op"] = "reset"


@when("its readings of the configuration are refused as {status:d}")
def step_readings_refused(context, status):
    names = {code: name for name, code in metadata.REFUSALS.items()}
    context.platform.outages["op"] = names[status]


@when("its readings of the configuration work again")
def step_readings_work(context):
    context.platform.outages.clear()
    context.platform.stall_after = context.platform.break_after = None


@when("the queue of the job is removed, one of {queues:d}")
def step_removed(context, queues):
    instances.drop_queue(context, queues)


@then("from {seconds:g} s on the instance answers nothing by the configuration before")
def step_answers_nothing(context, seconds):
    instances.sleep_until(context, seconds)
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
        answers = {name: answer.status_code for name, answer in ask(context).items()}
        assert set(answers.values()) == {503}, answers
        gevent.sleep(0.05)


@then("it tells within {seconds:g} s that the queue does not exist")
def step_tells(context, seconds):
    instances.wait_for(
        lambda: context.client.simulate_get(instances.PATH).status_code == 404, seconds
    )


@then(
    "from {seconds:g} s on a peer that asks for the number of waiting jobs is refused"
)
def step_peer_refused(context, seconds):
    instances.sleep_until(context, seconds)
    request = relaying.Request(
        "GET", instances.HOST, "/q0/", b"", context.catalog.version
    )
    found = peering.HttpPeers().send(context.peer_address, request)
    assert found.ok_value.status == relaying.REFUSED_STATUS, found


@given("the caller is told that its job is queued")
def step_told_before(context):
    instances.assert_told_queued(context)


@when("the store answers nothing any more")
def step_cut_off(context):
    context.platform.outages[metadata.ALL_TABLES] = "silent"
    context.began_at = time.monotonic()


@then("from {seconds:g} s on the caller is told that its job is queued")
def step_still_told(context, seconds):
    instances.sleep_until(context, seconds)
    instances.assert_told_queued(context)


@then("the number of waiting jobs is refused within {seconds:g} s")
def step_count_refused(context, seconds):
    asked_at = time.monotonic()
    answer = context.client.simulate_get("/q0/")
    assert answer.status_code == 503, (answer.status_code, answer.json)
    assert time.monotonic() - asked_at < seconds


@when("the instance applies it")
def step_applied(context):
    instances.wait_for(lambda: context.catalog.version == context.version, 5.0)


@then("it tells within {seconds:g} s how many jobs wait")
def step_tells_count(context, seconds):
    instances.wait_for(
        lambda: context.client.simulate_get("/q0/").status_code == 200, seconds
    )


@given("the instance leads")
def step_instance_leads(context):
    instances.lead(context, context.store, context.catalog.current)
    context.scheduler.on_catalog_version = context.catalog.invalidate


@when("another instance accepts a job for a queue that was added")
def step_accepted_elsewhere(context):
    queue = messages.Queue("added", "other.example", "/added/", "pool", 0, 2, 3.0)
    job = decoding.decode_job(
        instances.JOB.encode(), "5c0e7a21d94b36f9", queue, time.time(), context.version
    ).ok_value
    assert context.store.commit(job_service.store_transaction(job)).is_ok()


@when("the store answers nothing for each of {outages}, and callers ask on")
def step_outages(context, outages):
    seconds = [float(number) for number in re.findall(r"[\d.]+", outages)]
    context.returns = [answered_after(context, outage) for outage in seconds]


def answered_after(context, outage):
    """Return the seconds from the end of an outage until a caller was answered."""
    context.platform.outages[metadata.ALL_TABLES] = "silent"
    back_at = time.monotonic() + outage
    while True:
        if time.monotonic() >= back_at:
            context.platform.outages.clear()
        if context.client.simulate_get("/q0/").status_code == 200:
            if time.monotonic() >= back_at:
                return time.monotonic() - back_at
        gevent.sleep(0.05)


@then("callers were answered at most {seconds:g} s after its return each time")
def step_returns(context, seconds):
    assert max(context.returns) <= seconds, context.returns


@when(
    "the configuration grows to {queues:d} queues during an outage of {seconds:g} s, "
    "and callers ask on"
)
def step_grows_in_outage(context, queues, seconds):
    context.platform.outages[metadata.ALL_TABLES] = "silent"
    instances.configure(context, 2, queues)
    context.platform.sent = 0
    back_at = time.monotonic() + seconds
    while time.monotonic() < back_at:
        context.client.simulate_get("/q0/")
        gevent.sleep(0.05)
    context.platform.outages.clear()
    context.asking = gevent.spawn(ask_on, context)
    context.add_cleanup(context.asking.kill)


def ask_on(context):
    while True:
        context.client.simulate_get("/q0/")
        gevent.sleep(0.05)


@when(
    "the store answers nothing for each of {outages}, and callers ask on, "
    "and its history is lost"
)
def step_outages_history(context, outages):
    context.platform.armed["/-/rows-feed"] = [(410, {})] * 1000
    context.platform.delays["/-/rows-get"] = 0.7
    step_outages(context, outages)


@then("no answer counts as arriving")
def step_nothing_arrives(context):
    context.platform.armed.clear()
    gevent.sleep(2.0)
    watcher = context.catalog.watcher
    assert watcher.active_responses == 0, watcher.active_responses
    assert watcher.idle.is_set()
