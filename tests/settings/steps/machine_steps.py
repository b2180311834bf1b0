import types

import hypothesis
import logbook
import result
from behave import given, then, when
from hypothesis import stateful
from tests.settings import fakes, machine
from tests.support import memory, teams

from mangosail import codec
from mangosail.platform import table as tables
from mangosail.settings import changes, errors, exchange, messages, process, state
from mangosail.telemetry import counters


def new_state(context):
    return state.Settings(
        context.store, memory.Clock(tick=0.01), counters.StatsdCounters(None, 0), seed=1
    )


def change(context, team, content):
    found = state.read_teams(context.store, [team]).ok_value.get(team)
    asked = messages.Change(
        f"c{context.store.rows.version}", found.revision if found else 0, content
    )
    clock, in_force = memory.Clock(tick=0.01), new_state(context)
    made = changes.Changes(context.store, in_force, clock, in_force.counters)
    made.change(team, asked, "test").unwrap()


@then("{count:d} random histories of settings keep all invariants")
def histories(context, count):
    stateful.run_state_machine_as_test(
        machine.Settings,
        settings=hypothesis.settings(
            derandomize=True, max_examples=count, stateful_step_count=40,
            deadline=None, database=None,
            # No shrinking: it takes minutes after a failure, too long for CI.
            phases=(hypothesis.Phase.generate,),
        ),
    )  # fmt: skip


@given("{count:d} teams' settings in a table")
def some_teams(context, count):
    context.store = fakes.Table()
    for number in range(count):
        change(context, f"team-{number}", {"quota": {"cpus": 1.0 + number}})
    context.store.rows_read = 0
    context.held = new_state(context)
    context.held.refresh().unwrap()


@when("an instance refreshes {count:d} times")
def refreshes(context, count):
    for _ in range(count):
        context.held.refresh().unwrap()


@then("it has read {rows:d} rows besides the {first:d} of the first refresh")
def rows_read(context, rows, first):
    assert context.store.rows_read == rows + first, context.store.rows_read


@when("{count:d} teams' settings change and the instance refreshes once")
def some_change(context, count):
    for number in range(count):
        change(context, f"team-{number}", {"quota": {"cpus": 500.0}})
    context.store.rows_read = 0
    context.held.refresh().unwrap()
    assert context.held.by_team["team-0"].settings.quota.cpus == 500


@then("it has read {rows:d} more rows")
def rows_more(context, rows):
    assert context.store.rows_read == rows, context.store.rows_read


@when("an instance fetches them from a peer in answers of at most {limit:d} bytes")
def learns(context, limit):
    usual, state.MAX_DELTA_BYTES = state.MAX_DELTA_BYTES, limit
    context.learner, context.answers = new_state(context), 0
    while context.learner.sequence < context.held.sequence and context.answers < 200:
        context.learner.learn(context.held.since(context.learner.sequence))
        context.answers += 1
    state.MAX_DELTA_BYTES = usual


@then("it has all {count:d} teams in force after more than one answer")
def learned(context, count):
    assert len(context.learner.by_team) == count
    assert 1 < context.answers < 200, context.answers


@when("a later version writes a field that this one does not know")
def later_program(context):
    subtree = messages.Subtree("team-1", 2, 3, "c", "test", 0.0, {"quota": {"gpus": 3}})
    rows = {
        messages.team_key("team-1"): codec.to_json(subtree),
        messages.CHANGES_KEY: codec.to_json(
            messages.Changes(3, (messages.Recent(3, "team-1"),))
        ),
    }
    writes = tuple(tables.Write(key, text) for key, text in rows.items())
    context.store.take_effect(tables.Transaction((), writes))
    context.held.refresh().unwrap()


@then("the instance keeps its settings and its sequence number")
def keeps(context):
    assert context.held.sequence == 2
    assert context.held.by_team["team-1"].settings.quota.cpus == 2
    assert context.held.counters.snapshot()["settings.malformed"] == 1


@when("one team's settings change {count:d} times")
def change_often(context, count):
    context.store = fakes.Table()
    for number in range(count):
        change(context, "fuel-desk", {"quota": {"cpus": 1.0 + number}})


@then("its history holds {count:d} revisions and as many change ids")
def bounded(context, count):
    for prefix in ("settings/history/", "settings/change/"):
        kept = [key for key in context.store.rows if key.startswith(prefix)]
        assert len(kept) == count, (prefix, len(kept))


def try_change(context, in_force, revision, cores):
    asked = messages.Change(f"t{cores}", revision, {"quota": {"cpus": cores}})
    clock = memory.Clock(tick=0.01)
    made = changes.Changes(context.store, in_force, clock, in_force.counters)
    return made.change("team-0", asked, "test")


@when("the table loses a change, and an operator changes what it contains")
def put_back_and_change(context):
    backup = dict(context.store.rows)
    try_change(context, context.held, 1, 50.0).unwrap()
    context.store.put_back(backup)
    context.answer = try_change(context, context.held, 1, 60.0)


@then('the operator is told to retry, with the reason "{reason}"')
def refused(context, reason):
    assert context.answer.unwrap_err() == errors.Undecided("t60.0", reason)


@then("the lost change is written back, and a change based on it is accepted")
def written_back(context):
    for _ in range(100):
        context.held.refresh().unwrap()
    found = state.read_teams(context.store, ["team-0"]).ok_value["team-0"]
    assert found.content == {"quota": {"cpus": 50.0}}, found
    assert try_change(context, context.held, found.revision, 70.0).is_ok()


@given("a peer that reports later changes but does not answer")
def peer_ahead(context):
    peer = types.SimpleNamespace(
        state=types.SimpleNamespace(settings_sequence=99),
        listed=types.SimpleNamespace(name="taraz-0"),
        channel=types.SimpleNamespace(
            call=lambda _method, _message, _timeout: result.Err("unavailable")
        ),
    )
    context.peers = [peer]
    reachable = types.SimpleNamespace(reachable=lambda: context.peers)
    context.spread = exchange.SettingsExchange(
        context.held, reachable, "shymkent", context.held.counters
    )


@when("the table loses a change, and the instance refreshes {count:d} times")
def put_back_and_refresh(context, count):
    backup = dict(context.store.rows)
    try_change(context, context.held, 1, 50.0).unwrap()
    context.store.put_back(backup)
    learn_and_refresh(context, count)


def learn_and_refresh(context, count):
    for _ in range(count):
        context.spread.fetch_from_peers()
        context.held.refresh().unwrap()


@then("the table still lacks the change")
def still_lacks(context):
    found = state.read_teams(context.store, ["team-0"]).ok_value["team-0"]
    assert found.revision == 1, found


@when("that peer is gone and the instance refreshes {count:d} times")
def peer_gone(context, count):
    context.peers = []
    learn_and_refresh(context, count)


@when("the instance is asked for a change before it has heard from that peer")
def change_unheard(context):
    context.started = context.held.clock.now
    made = changes.Changes(
        context.store, context.held, context.held.clock, context.held.counters
    )
    asked = messages.Change("early", 1, {"quota": {"cpus": 9.0}})
    made.change("team-0", asked, "test").unwrap()


@then("it makes the change no earlier than after {seconds:d} seconds")
def waited(context, seconds):
    changed = context.held.by_team["team-0"].subtree.changed_at
    assert changed >= context.started + seconds - 0.1, (context.started, changed)


@when("a second team enters the hash of the first one's token")
def enter_hash(context):
    context.store, context.hash = fakes.Table(), teams.token("secret")
    change(context, "one", {"tokens": [context.hash]})
    asked = messages.Change("taken", 0, {"tokens": [context.hash]})
    in_force = new_state(context)
    made = changes.Changes(
        context.store, in_force, memory.Clock(tick=0.01), in_force.counters
    )
    context.answer = made.change("two", asked, "test")


@then('it is refused, naming "{path}" and no hash')
def hash_refused(context, path):
    (fault,) = context.answer.unwrap_err().faults
    assert fault.path == path and context.hash["sha256"] not in str(fault), fault


@when("a bad token hash is in the table and the instance refreshes {count:d} times")
def bad_hash(context, count):
    content = {"tokens": [{"name": "t", "sha256": "secret-hash"}]}
    subtree = messages.Subtree("team-1", 2, 3, "c", "test", 0.0, content)
    rows = {
        messages.team_key("team-1"): subtree,
        messages.CHANGES_KEY: messages.Changes(3, (messages.Recent(3, "team-1"),)),
    }
    writes = tuple(tables.Write(k, codec.to_json(row)) for k, row in rows.items())
    context.store.take_effect(tables.Transaction((), writes))
    with logbook.TestHandler() as context.logged:
        for _ in range(count):
            context.held.refresh().unwrap()


@then("one line is logged, without the hash")
def logged_once(context):
    lines = [(r.message, r.args, r.kwargs) for r in context.logged.records]
    assert len(lines) == 1 and "secret-hash" not in str(lines), lines


@then(
    "the {desk:d} and {plegadora:d} example process settings are valid and share no "
    "address"
)
def examples(context, desk, plegadora):
    for user, count in (("fuel-desk", desk), ("plegadora", plegadora)):
        found = [
            dict(
                line.removeprefix("MANGOSAIL_").split("=", 1)
                for line in path.read_text().splitlines()
                if not line.startswith("#")
            )
            for path in sorted((teams.EXAMPLES / user).glob("*.env"))
        ]
        checked = [
            process.ProcessSettings(**{k.lower(): v for k, v in entry.items()})
            for entry in found
        ]
        addresses = {s.http_address for s in checked} | {
            s.peer_address for s in checked
        }
        assert len(found) == count and len(addresses) == 2 * count, (user, addresses)
