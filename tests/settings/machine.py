"""Compares settings under faults with an oracle in a hypothesis state machine."""

import collections

import result
from hypothesis import stateful
from hypothesis import strategies as st
from tests.settings import fakes
from tests.support import memory

from mangosail import codec
from mangosail.settings import changes, errors, messages, state
from mangosail.telemetry import counters

TEAMS = st.sampled_from(["fuel-desk", "plegadora"])
INSTANCES = st.integers(0, 2)
#: Results of the next calls: a change reads, commits, and reads again after a lost
#: answer.
SCRIPTS = st.sampled_from(
    [
        [],
        [],
        [],
        [fakes.DOWN],
        [fakes.OK, fakes.DOWN],
        [fakes.OK, fakes.LOST],
        [fakes.OK, fakes.LOST, fakes.DOWN],
        [fakes.OK, fakes.LATE],
        [fakes.OK, fakes.LATE, fakes.DOWN],
        [fakes.OK, fakes.LATE, fakes.OK, fakes.LOST, fakes.DOWN],
    ]
)


class Settings(stateful.RuleBasedStateMachine):
    """Three instances; operators race, answers get lost, writes come late."""

    def __init__(self):
        super().__init__()
        self.clock = memory.Clock(tick=0.01)
        self.table = fakes.Table()
        self.states = [self.new_state() for _ in range(3)]
        self.seen = collections.Counter()  # (instance, team) -> sequence
        self.accepted = {}  # change id -> (team, revision)
        self.not_made = set()
        self.undecided = {}  # change id -> (team, change)
        self.number = 0

    def new_state(self):
        return state.Settings(
            self.table, self.clock, counters.StatsdCounters(None, 0), seed=1
        )

    def changer(self, instance):
        in_force = self.states[instance]
        return changes.Changes(
            self.table, in_force, self.clock, in_force.counters, seed=1
        )

    @stateful.rule(
        instance=INSTANCES, team=TEAMS, behind=st.sampled_from([0, 0, 1]),
        script=SCRIPTS,
    )  # fmt: skip
    def change(self, instance, team, behind, script):
        self.number += 1
        row = self.table.rows.get(messages.team_key(team))
        present = codec.from_json(row.value, messages.Subtree).revision if row else 0
        content = {"quota": {"cpus": float(self.number)}}
        change = messages.Change(f"c{self.number}", max(present - behind, 0), content)
        self.ask(instance, team, change, script)

    @stateful.rule(
        instance=INSTANCES, script=SCRIPTS, pick=st.randoms(use_true_random=False)
    )
    def ask_again(self, instance, script, pick):
        if self.undecided:
            change_id = pick.choice(sorted(self.undecided))
            self.ask(instance, *self.undecided.pop(change_id), script)

    def ask(self, instance, team, change, script):
        self.table.script = list(script)
        answer = self.changer(instance).change(team, change, "test")
        self.table.script = []
        if isinstance(answer, result.Ok):
            self.accepted[change.change_id] = (team, answer.ok_value.revision)
            assert answer.ok_value.revision == change.revision + 1
        elif isinstance(answer.err_value, errors.Undecided):
            self.undecided[change.change_id] = (team, change)
        else:
            self.not_made.add(change.change_id)

    @stateful.rule(instance=INSTANCES, script=SCRIPTS)
    def refresh(self, instance, script):
        self.table.script = list(script)
        self.states[instance].refresh()
        self.table.script = []

    @stateful.rule(instance=INSTANCES, peer=INSTANCES)
    def learn(self, instance, peer):
        held = self.states[instance]
        held.learn(self.states[peer].since(held.sequence))

    @stateful.rule(instance=INSTANCES)
    def restart(self, instance):
        self.states[instance] = self.new_state()
        for key in [key for key in self.seen if key[0] == instance]:
            del self.seen[key]

    @stateful.rule()
    def late_writes_arrive(self):
        for transaction in self.table.late:
            self.table.take_effect(transaction)
        self.table.late = []

    @stateful.invariant()
    def never_reverted(self):
        for number, held in enumerate(self.states):
            for team, in_force in held.by_team.items():
                sequence = in_force.subtree.sequence
                assert sequence >= self.seen[number, team], "reverted"
                self.seen[number, team] = sequence

    def teardown(self):
        self.late_writes_arrive()
        made, numbered = collections.Counter(), collections.Counter()
        for key, value in self.table.written:
            if key.startswith("settings/history/"):
                subtree = codec.from_json(value, messages.Subtree)
                made[subtree.change_id] += 1
                numbered[subtree.sequence] += 1
        assert all(count == 1 for count in numbered.values()), "numbered twice"
        assert all(count == 1 for count in made.values()), "made twice"
        assert not self.not_made & set(made), "made though refused"
        assert set(self.accepted) <= set(made), "accepted but lost"
        assert set(made) <= {*self.accepted, *self.undecided}, "made unasked"
        for held in self.states:
            held.refresh()
        self.in_force_everywhere()

    def in_force_everywhere(self):
        latest = state.read_all(self.table).ok_value
        for team, revision in self.accepted.values():
            assert latest[team].revision >= revision, "accepted but reverted"
        for held in self.states:
            found = {team: i.subtree for team, i in held.by_team.items()}
            assert found == latest, (found, latest)
