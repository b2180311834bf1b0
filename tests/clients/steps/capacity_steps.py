"""The shares of clients, and the places at one port, without any connection."""

import socket

import gevent.socket
from behave import given, then, when
from tests.support import ports, raw_http

from mangosail.front import capacity, memory, places, server
from mangosail.platform import workers as platform_workers
from mangosail.telemetry import counters


@given("a machine of {memory:d} MB and {descriptors:d} descriptors")
def machine(context, memory, descriptors):
    context.memory = memory * capacity.BYTES_PER_MB
    context.descriptors = descriptors
    context.capacity = capacity.of_machine(memory, descriptors)
    context.workers = platform_workers.HttpWorkers(descriptors)


@when("a leader on it has {count:d} workers")
def lead(context, count):
    for number in range(count):
        for callers in (context.workers.order_callers, context.workers.poll_callers):
            callers.get(f"worker-{number}", f"127.0.0.1:{number + 1}")
    connections = context.workers.connections()
    context.callers = context.capacity.callers_beside(connections)


@then("files, the store, peers, workers and clients fit its descriptors")
def fit_descriptors(context):
    split = context.capacity
    clients = context.callers + split.peers + 2 * split.checks
    used = capacity.FILE_DESCRIPTORS + split.outgoing + clients
    used += context.workers.connections()
    assert used <= context.descriptors, (used, split)


@then("what clients hold is a quarter of its memory at most")
def fit_memory(context):
    split = context.capacity
    clients = split.callers + split.peers + 2 * split.checks
    used = clients * capacity.CONNECTION_BYTES + split.request_bytes
    assert used <= context.memory / 4, (used, split)


@then("{count:d} callers or more may connect")
def callers(context, count):
    assert context.callers >= count, context.callers


def take(context):
    sock, other = socket.socketpair()
    context.add_cleanup(sock.close)
    context.add_cleanup(other.close)
    return context.places.take(sock)


@given("3 places, held by a connection that reads, one that works, and an idle one")
def three_places(context):
    context.places = places.Places(lambda: 3)
    context.held = [take(context) for _ in range(3)]
    context.places.move(context.held[0], places.State.READING)
    context.places.move(context.held[1], places.State.WORKING)


@given("2 places, held by connections that work")
def two_places(context):
    context.places = places.Places(lambda: 2)
    context.held = [take(context), take(context)]
    for place in context.held:
        context.places.move(place, places.State.WORKING)


@when("{count:d} others come, one after the other")
def come(context, count):
    context.newcomers = []
    context.left = []
    for _ in range(count):
        context.newcomers.append(take(context))
        context.left += [
            place
            for place in [*context.held, *context.newcomers]
            if place.evicted and place not in context.left
        ]


@then("those that wait had to leave in the order in which they came")
def left_in_order(context):
    assert context.left == [*context.held[::2], *context.newcomers[:2]], context.left


@then("all of the newcomers are refused, {count:d} of them at a time")
def all_refused(context, count):
    refused = [place.state is places.State.LINGERING for place in context.newcomers]
    assert all(refused), context.newcomers
    assert len(context.places.lingering) == count, context.places.lingering


@then("none that works had to leave")
def works_on(context):
    assert all(place.evicted for place in context.held) is False
    working = list(context.places.working)
    assert working and not any(place.evicted for place in working), working


@given("a server with a budget of {count:d} bytes for long requests")
def start_server(context, count):
    context.budget = memory.Budget(count)
    context.port = ports.free_port()
    context.server = server.create(
        lambda environ, start_response: [],
        f"127.0.0.1:{context.port}",
        counters.StatsdCounters(None, 0),
        budget=context.budget,
    )
    context.server.start()
    context.add_cleanup(context.server.stop, timeout=0)


@when("a client sends {count:d} bytes in chunks, then a chunk of no number, and stays")
def send_broken(context, count):
    client = gevent.socket.create_connection(("127.0.0.1", context.port), timeout=10)
    context.add_cleanup(client.close)
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    client.sendall(head + b"%x\r\n" % count + b" " * count + b"\r\nhello\r\n")
    context.answer = raw_http.read_answer(client.makefile("rb"))


@then("it is told {status:d}, and lingers, with nothing of the budget taken")
def lingers(context, status):
    assert context.answer[0] == status, context.answer
    assert len(context.server.places.lingering) == 1
    assert context.budget.used == 0, context.budget.used
