"""One instance on stand-ins of the platform, and a crowd of clients beside it."""

import json
import resource
import ssl
import subprocess
import sys
import time
import urllib.error
import urllib.request

from behave import given, then, when
from tests.support import certificates, deployed, stage, teams, usage

INSTANCE = "instance-0"
JOB_PATH = deployed.PREFIX + "5c0e7a21d94b36f8"
JOB = {"spec": "s", "steps": [{"count": 1, "cpu": 100, "mem_mb": 1}]}
#: Seconds for which a crowd stays, once it is in place.
HOLD_S = 5.0
SAMPLE_INTERVAL_S = 0.1
#: Seconds after which an ordinary request counts as never answered.
GIVE_UP_S = 60.0
METRICS_PORT = 9464


@given("an instance with {memory:d} MB of memory and {descriptors:d} descriptors")
def start(context, memory, descriptors):
    context.stage = deployed.Deployment(seed=1)
    context.add_cleanup(context.stage.close)
    context.stage.limits = {"memory_mb": memory, "max_fds": descriptors}
    context.stage.start_store()
    for number in range(2):
        context.stage.add_worker(f"worker-{number}")
    host = deployed.host_of(0)
    context.stage.add_instance(INSTANCE, host)
    context.address = context.stage.fronts[INSTANCE]
    settings = json.loads((context.stage.logs / f"{INSTANCE}.json").read_text())
    context.port = {
        "front": context.address,
        "ready": settings["listen_addrs"]["ready"],
        "metrics": f"{host}:{METRICS_PORT}",
        "peer": f"{host}:{settings['internal_ports'][0]}",
    }
    context.ports = list(context.port.values())
    context.process = context.stage.processes[INSTANCE]
    limit(context, memory, descriptors)
    stage.wait_until(lambda: ordinary_request(context), what="instance")


@given("its operator allows {count:d} bytes of headers")
def allow_long_heads(context, count):
    limits = {"max_header_bytes": count}
    context.stage.config = {**deployed.CONFIG, "version": 2, "limits": limits}
    context.stage.configure()
    log = context.stage.logs / f"{INSTANCE}.log"
    stage.wait_until(
        lambda: (
            '"event":"catalog in force"' in log.read_text()
            and '"version":2' in log.read_text()
        ),
        what="the configuration in force",
    )


@given(
    "an instance of the product with {memory:d} MB of memory and {descriptors:d} "
    "descriptors, over TLS"
)
def start_product(context, memory, descriptors):
    context.stage = stage.Stage()
    context.add_cleanup(context.stage.close)
    context.stage.start_platform()
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    context.stage.start_workers("shymkent", 1)
    authority = certificates.Authority(context.stage.logs)
    authority.issue("shymkent-0")
    context.trust = ssl.create_default_context(cafile=str(authority.path))
    context.process = context.stage.start_instance(
        "shymkent-0",
        "shymkent",
        env={
            **authority.variables("shymkent-0"),
            "MANGOSAIL_MEMORY_MB": str(memory),
            "MANGOSAIL_MAX_FDS": str(descriptors),
        },
    )
    context.address = context.stage.instances["shymkent-0"]
    context.ports = [context.address]
    limit(context, memory, descriptors)
    stage.wait_until(lambda: own_request(context), what="instance")


def limit(context, memory, descriptors):
    """Note the limits; the kernel enforces that of descriptors, as a machine does."""
    context.memory = memory * usage.MB
    context.descriptors = descriptors
    limits = (descriptors, descriptors)
    resource.prlimit(context.process.pid, resource.RLIMIT_NOFILE, limits)
    context.most_bytes = context.most_descriptors = 0


def ordinary_request(context):
    """Ask how many jobs wait; a caller who is refused or cut off asks again."""
    answer = stage.call(
        context.address, "GET", deployed.PREFIX, headers={"Host": deployed.HOST}
    )
    return answer.status == 200 and answer.json() is not None


def own_request(context):
    """Ask the product's own interface for its status."""
    request = urllib.request.Request(
        f"https://{context.address}/v1/status", headers=teams.bearer("fuel-desk-token")
    )
    try:
        with urllib.request.urlopen(
            request, timeout=10, context=context.trust
        ) as response:
            return json.loads(response.read())
    except urllib.error.HTTPError:
        return None


@when('{count:d} clients come with "{crowd}"')
def come(context, count, crowd):
    bring(context, crowd, count, context.address)


@when('{count:d} clients come with "{crowd}" to its {port} port')
def come_to_port(context, count, crowd, port):
    bring(context, crowd, count, context.port[port])


@when('{count:d} clients come with "{crowd}" to its own interface')
def come_to_product(context, count, crowd):
    kind, _, encrypted = crowd.partition(" in ")
    bring(context, kind, count, context.address, *(["--tls"] if encrypted else []))


@when('{count:d} clients come with "{crowd}" to the port for its peers')
def come_as_peers(context, count, crowd):
    bring(context, crowd, count, context.stage.peer_addresses["shymkent-0"])


@when("the instance is told to stop")
def told_to_stop(context):
    context.process.terminate()


@then("it exits with 0 before the platform would kill it")
def exits(context):
    assert context.process.wait(timeout=deployed.GRACE_S) == 0


def bring(context, kind, count, address, *options):
    context.crowd = subprocess.Popen(
        [sys.executable, "-m", "tests.standins.crowd", *options, kind, str(count),
         address],
        cwd=stage.ROOT, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    context.add_cleanup(dismiss, context)
    assert context.crowd.stdout.readline() == "in place\n"
    hold_until = time.monotonic() + HOLD_S
    while time.monotonic() < hold_until:
        observe(context)
        time.sleep(SAMPLE_INTERVAL_S)


def dismiss(context):
    context.crowd.kill()
    context.crowd.wait()
    context.crowd.stdout.close()


def observe(context):
    """Note what the instance uses; bytes that wait unread count as memory."""
    if context.process.poll() is not None:
        return
    pid = context.process.pid
    used = usage.peak_memory(pid) + usage.unread_bytes(context.ports)
    context.most_bytes = max(context.most_bytes, used)
    context.most_descriptors = max(context.most_descriptors, usage.descriptors(pid))


@then("an ordinary request is answered while they stay, and afterwards")
def answered(context):
    answered_twice(context, ordinary_request)


@then("it answers an ordinary request while they stay, and afterwards")
def own_answered(context):
    answered_twice(context, own_request)


def answered_twice(context, request):
    stage.wait_until(
        lambda: request(context), GIVE_UP_S, "an answer while the clients stay"
    )
    observe(context)
    # A job is handed in beside the crowd, and so before it goes.
    context.request = request


@then("a job that is handed in while they stay is completed")
def job_completed(context):
    stage.wait_until(lambda: hand_in(context), GIVE_UP_S, "acceptance of a job")
    stage.wait_until(lambda: is_completed(context), GIVE_UP_S, "completion of a job")
    observe(context)


def hand_in(context):
    headers = {"Host": deployed.HOST}
    answer = stage.call(context.address, "POST", JOB_PATH, JOB, headers)
    return answer.status == 200


def is_completed(context):
    headers = {"Host": deployed.HOST}
    answer = stage.call(context.address, "GET", JOB_PATH, headers=headers)
    return answer.status == 200 and answer.json() == {"state": "completed"}


@then("the instance lives, and stayed within its memory and descriptors")
def lives_within(context):
    dismiss(context)
    stage.wait_until(
        lambda: context.request(context), GIVE_UP_S, "an answer after the clients left"
    )
    observe(context)
    assert context.process.poll() is None, "the instance has ended"
    used = f"{context.most_bytes / usage.MB:.0f} MB, {context.most_descriptors} open"
    print(used)
    assert context.most_bytes <= context.memory, used
    # At the limit itself nothing could be opened any more.
    assert context.most_descriptors < context.descriptors, used
