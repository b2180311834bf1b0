import json
import pathlib
import shutil
import signal
import socket
import ssl
import time
import urllib.request

from behave import given, then, when
from cryptography import x509
from tests.support import certificates, stage, teams

PAIR = ("shymkent-0", "taraz-0")


def fetch(context, name, path):
    """Return the decoded answer of an instance over TLS."""
    trust = ssl.create_default_context(cafile=str(context.authority.path))
    request = urllib.request.Request(
        f"https://{context.stage.instances[name]}{path}",
        headers=teams.bearer("fuel-desk-token"),
    )
    with urllib.request.urlopen(request, timeout=10, context=trust) as response:
        return json.loads(response.read())


def start(context, name, variables):
    return context.stage.start_instance(name, name[:-2], env=variables)


@when("an instance is started without keys and without --plaintext")
def start_bare(context):
    context.process = start(context, "bare-0", {"MANGOSAIL_PLAINTEXT": "false"})
    context.log = context.stage.logs / "bare-0.log"


@when("an instance is started with the key of another certificate")
def start_unfit(context):
    context.authority.issue("unfit-0")
    certificate = (context.authority.folder / "unfit-0.pem").read_bytes()
    context.authority.issue("unfit-0")
    (context.authority.folder / "unfit-0.pem").write_bytes(certificate)
    context.process = start(context, "unfit-0", context.authority.variables("unfit-0"))
    context.log = context.stage.logs / "unfit-0.log"


@then('it ends with status {status:d} and names "{first}" and "{second}"')
def ends_naming(context, status, first, second):
    assert context.process.wait(timeout=30) == status
    text = context.log.read_text()
    assert first in text and second in text, text


@given("two instances with certificates, one with its keys in the environment")
def start_pair(context):
    for name in PAIR:
        context.authority.issue(name)
    start(context, PAIR[0], context.authority.variables(PAIR[0]))
    as_text = {
        key: value if value == "false" else pathlib.Path(value).read_text()
        for key, value in context.authority.variables(PAIR[1]).items()
    }
    start(context, PAIR[1], as_text)
    each_reaches(context)


@then("each reaches the other")
def each_reaches(context):
    for name, other in (PAIR, PAIR[::-1]):
        stage.wait_until(
            lambda n=name, o=other: o in fetch(context, n, "/v1/status")["peers"],
            what=f"{name} reaches {other}",
        )


@then("each goes on reaching the other")
def each_goes_on(context):
    # A peer that does not answer counts as unreachable after 3 s.
    end = time.monotonic() + 4.0
    while time.monotonic() < end:
        for name, other in (PAIR, PAIR[::-1]):
            assert other in fetch(context, name, "/v1/status")["peers"], name
        time.sleep(0.2)


@then("a caller that trusts the authority gets an answer over TLS")
def caller_over_tls(context):
    for name in PAIR:
        assert fetch(context, name, "/healthz") == {"healthy": True}


@then("a caller in plain text gets none")
def caller_in_plain(context):
    try:
        answer = context.stage.call(PAIR[0], "GET", "/healthz")
    except OSError:
        return
    raise AssertionError(answer)


@when("an instance joins with a certificate for another name")
def join_misnamed(context):
    context.authority.issue("other-0", file="misnamed")
    start(context, "misnamed-0", context.authority.variables("misnamed"))


@when("an instance joins with a certificate of another authority")
def join_stranger(context):
    stranger = certificates.Authority(context.authority.folder, "stranger")
    stranger.issue("stranger-0")
    # It trusts the pair's authority, so only its own certificate is invalid.
    variables = stranger.variables("stranger-0")
    variables["MANGOSAIL_TLS_AUTHORITY"] = str(context.authority.path)
    start(context, "stranger-0", variables)


@then("neither is reached by the two, nor reaches them")
def neither_reached(context):
    # By then heartbeats between the pair and the refused instances have failed.
    for name in PAIR:
        stage.wait_until(lambda n=name: tried(context, n) >= 6, what="heartbeats")
        status = fetch(context, name, "/v1/status")
        assert status["peers"] == [other for other in PAIR if other != name], status
    for name in PAIR:
        instances = fetch(context, name, "/v1/instances")["instances"]
        reached = {one["instance"] for one in instances if one.get("reachable", True)}
        assert len(instances) == 4, instances
        assert reached == set(PAIR), instances
    status = fetch(context, "misnamed-0", "/v1/status")
    assert status["peers"] == [], status


def tried(context, name):
    counters = fetch(context, name, "/v1/status")["counters"]
    failed = "membership.heartbeat_failed."
    return sum(count for key, count in counters.items() if key.startswith(failed))


def serial(context, name):
    host, _, port = context.stage.instances[name].rpartition(":")
    text = ssl.get_server_certificate((host, int(port)))
    return x509.load_pem_x509_certificate(text.encode()).serial_number


@when("first only the certificate is replaced, then the key")
def replace_keys(context):
    folder = context.authority.folder
    context.serial = context.authority.issue(PAIR[0], file="new")
    shutil.move(folder / "new.pem", folder / f"{PAIR[0]}.pem")
    stage.wait_until(lambda: reloads(context, "failed"), what="failed reload")
    assert serial(context, PAIR[0]) != context.serial
    shutil.move(folder / "new.key", folder / f"{PAIR[0]}.key")


def reloads(context, what):
    counters = fetch(context, PAIR[0], "/v1/status")["counters"]
    return counters.get(f"tls.reload_{what}" if what == "failed" else "tls.reloaded")


@then("the failed reload is counted")
def failed_counted(context):
    assert reloads(context, "failed")


@then("callers receive the new certificate")
def new_shown(context):
    stage.wait_until(lambda: serial(context, PAIR[0]) == context.serial, what="new key")
    assert reloads(context, "done") == 1


@when("the first one is stopped while a caller has an idle connection to it")
def stop_with_idle(context):
    trust = ssl.create_default_context(cafile=str(context.authority.path))
    host, _, port = context.stage.instances[PAIR[0]].rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as plain:
        with trust.wrap_socket(plain, server_hostname=host) as connection:
            connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            response = b""
            while not response.endswith(b"}"):
                response += connection.recv(65536)
            context.signalled_at = time.monotonic()
            context.stage.signal(PAIR[0], signal.SIGTERM)
            context.rest = connection.recv(65536)


@then(
    "the caller's connection is closed, and the instance has ended within {seconds:d} s"
)
def closed_and_ended(context, seconds):
    assert context.rest == b"", context.rest
    assert context.stage.processes[PAIR[0]].wait(timeout=20) == 0
    assert time.monotonic() - context.signalled_at < seconds
