import hypothesis
from behave import given, then, when
from hypothesis import stateful
from tests.settings import fakes, machine

from mangosail import codec
from mangosail.platform import table as tables
from mangosail.settings import changes, messages, state
from mangosail.telemetry import counters


def new_state(context):
    return state.Settings(
        context.store, fakes.Clock(), counters.StatsdCounters(None, 0), seed=1
    )


def change(context, team, content):
    found = state.read_teams(context.store, [team]).ok_value.get(team)
    asked = messages.Change(
        f"c{context.store.sequence}", found.revision if found else 0, content
    )
    clock, in_force = fakes.Clock(), new_state(context)
    made = changes.Changes(context.store, in_force, clock, in_force.counters)
    made.change(team, asked, "test").unwrap()


@then("{count:d} random histories of settings keep every promise")
def histories(context, count):
    stateful.run_state_machine_as_test(
        machine.Settings,
        settings=hypothesis.settings(
            derandomize=True, max_examples=count, stateful_step_count=40,
            deadline=None, database=None,
            # Shrinking a failure took minutes; CI must stay bounded.
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


@when("an instance looks {count:d} times")
def looks(context, count):
    for _ in range(count):
        context.held.refresh().unwrap()


@then("it has read {rows:d} rows besides the {first:d} of the first look")
def rows_read(context, rows, first):
    assert context.store.rows_read == rows + first, context.store.rows_read


@when("{count:d} teams' settings change and the instance looks once")
def some_change(context, count):
    for number in range(count):
        change(context, f"team-{number}", {"quota": {"cpus": 500.0}})
    context.store.rows_read = 0
    context.held.refresh().unwrap()
    assert context.held.by_team["team-0"].settings.quota.cpus == 500


@then("it has read {rows:d} rows more")
def rows_more(context, rows):
    assert context.store.rows_read == rows, context.store.rows_read


@when("an instance learns them from a peer in answers of at most {limit:d} bytes")
def learns(context, limit):
    usual, state.DELTA_LIMIT = state.DELTA_LIMIT, limit
    context.learner, context.answers = new_state(context), 0
    while context.learner.sequence < context.held.sequence and context.answers < 200:
        context.learner.learn(context.held.since(context.learner.sequence))
        context.answers += 1
    state.DELTA_LIMIT = usual


@then("it has all {count:d} teams in force after more than one answer")
def learned(context, count):
    assert len(context.learner.by_team) == count
    assert 1 < context.answers < 200, context.answers


@when("a later program writes a field that this one doesn't know")
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


@then("the instance keeps what it has and its sequence number")
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
