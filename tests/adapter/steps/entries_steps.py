import base64
import ipaddress
import json

import hypothesis
import hypothesis.strategies as st
import result
from behave import then, when

from mangosail.platform import entries, store, wire
from mangosail.scheduler import errors

NAME = "i-7f3a91c2"
GOOD = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "dc",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "sequence": 4,
}
WRONG = {
    "no capacity": lambda entry: entry.pop("capacity"),
    "no sequence": lambda entry: entry.pop("sequence"),
    "slots as text": lambda entry: entry.update(slots="8"),
    "a label that is 7": lambda entry: entry.update(labels=["a", 7]),
    "a start as text": lambda entry: entry.update(born="1792742400123"),
    "the state asleep": lambda entry: entry.update(state="asleep"),
    "no port": lambda entry: entry.update(address="10.128.0.9"),
    "port 0": lambda entry: entry.update(address="10.128.0.9:0"),
    "a port of 5000 nines": lambda entry: entry.update(
        address="10.0.0.1:" + "9" * 5000
    ),
    "a name for address": lambda entry: entry.update(address="host:80"),
    "no cores": lambda entry: entry["capacity"].update(cpu=0),
    "-4000 megabytes": lambda entry: entry["capacity"].update(mem_mb=-4000),
    "too many cores": lambda entry: entry["capacity"].update(cpu=1e18),
}
TEXTS = {
    "a list around it": json.dumps([GOOD]),
    "unlimited nesting": json.dumps(GOOD)[:-1] + ',"more":' + "[" * 99999,
    "half a surrogate": json.dumps({**GOOD, "zone": "?"}).replace("?", "\\ud800"),
}
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)
FIELDS = [*GOOD, "remaining_ms", "born"]


@when("an entry is read as a worker wrote it")
def read_good(context):
    context.entry = entries.decode_entry(NAME, json.dumps(GOOD))


@when("an entry is read that has a start time")
def read_with_start(context):
    context.entry = entries.decode_entry(
        NAME, json.dumps({**GOOD, "born": 1792742400123})
    )


@when("an entry is read that has no start time")
def read_without_start(context):
    read_good(context)


@then("its worker's incarnation is {born}")
def has_incarnation(context, born):
    assert str(context.entry.unwrap().incarnation) == born, context.entry


@then("it describes the worker with {cores:d} cores at its address")
def good_entry(context, cores):
    entry = context.entry.unwrap()
    found = (entry.name, entry.address, entry.capacity.cpus, entry.draining)
    assert found == (NAME, GOOD["address"], cores, False), entry


@when("an entry is read with {wrong}")
def read_bad(context, wrong):
    entry = json.loads(json.dumps(GOOD))
    if wrong in WRONG:
        WRONG[wrong](entry)
    context.entry = entries.decode_entry(NAME, TEXTS.get(wrong, json.dumps(entry)))


@then("it is invalid for its {fault}")
def bad_entry(context, fault):
    assert context.entry == result.Err(errors.BadEntry(errors.Fault(fault)))


def check(text):
    """Check an entry for the properties that the scheduler relies on."""
    found = entries.decode_entry(NAME, text)
    if isinstance(found, result.Err):
        assert isinstance(found.err_value, errors.BadEntry)
        return
    entry = found.ok_value
    host, _, port = entry.address.rpartition(":")
    ipaddress.ip_address(host)
    assert 0 < int(port) < 65536
    assert 0 < entry.capacity.cpus <= entries.MAX_CORES
    assert 0 < entry.capacity.memory_gb <= entries.MAX_MEMORY_GB
    assert entry.capacity.accelerators >= 0
    json.dumps([entry.service, entry.data_centre, sorted(entry.labels)]).encode()


@then("any bytes in a row give their text or an empty one")
def any_bytes(context):
    @hypothesis.given(st.binary(), st.text())
    def reads(data, raw):
        value = base64.b64encode(data).decode()
        row = store.decode_row(wire.Row("w", "servers", "", value, 3))
        assert row.value.encode() in (data, b"")
        check(row.value)
        assert isinstance(store.decode_value(raw), str)

    reads()


@then("any JSON in an entry gives a usable worker or a fault")
def any_json(context):
    @hypothesis.given(ANY_JSON | st.fixed_dictionaries(dict.fromkeys(GOOD, ANY_JSON)))
    def reads(value):
        check(json.dumps(value))

    reads()


@then("any field of an entry with any value gives a usable worker or a fault")
def any_field(context):
    @hypothesis.given(st.sampled_from(FIELDS), ANY_JSON)
    def reads(field, value):
        check(json.dumps({**GOOD, field: value}))

    reads()
