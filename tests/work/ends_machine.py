"""Random histories in which instances are cut off, and workers lose their state."""

import json

from hypothesis import stateful
from hypothesis import strategies as st
from tests.support import peers
from tests.work import machine

from mangosail.work import messages

NAMES = "ab"
#: More than an instance may keep for its peers.
FULL_BYTES = 1 << 40


class Ends(machine.Work):
    """No work is lost for good while an instance that runs knows how it ended."""

    def __init__(self):
        self.by_name = {}
        super().__init__()

    def restart(self, number):
        self.runs += 1
        name = NAMES[number]
        for other in self.by_name.values():
            other.peers.by_name.pop(name, None)
        self.by_name.pop(name, None)
        self.instances[number] = peers.add(
            self.world, self.by_name, name, str(self.runs)
        )

    @stateful.rule(who=machine.WHO, is_known=st.booleans())
    def cut_off(self, who, is_known):
        """Cut an instance off from the table; its session may know that."""
        self.instances[who].reach.cut = True
        self.instances[who].lease.table_unreachable = is_known

    @stateful.rule(who=machine.WHO)
    def reach_again(self, who):
        self.instances[who].reach.cut = False
        self.instances[who].lease.table_unreachable = False

    @stateful.rule(who=machine.WHO, is_full=st.booleans())
    def refuse_ends(self, who, is_full):
        """Let an instance keep no more ends for its peer, or let it keep them again."""
        self.instances[who].runner.ends.kept_bytes = FULL_BYTES if is_full else 0

    @stateful.rule(worker=machine.WHO)
    def lose_state(self, worker):
        self.workers[worker].lose_state()

    @stateful.rule(who=machine.WHO, is_known=st.booleans())
    def hear_ends_while_cut_off(self, who, is_known):
        """Let all tasks of an instance end while it can't write that."""
        self.cut_off(who, is_known)
        for name in self.instances[who].owned.by_name:
            self.finish(int(name[1:]))
        for worker in self.workers:
            self.instances[who].hear(worker)

    @stateful.rule(worker=machine.WHO, who=machine.WHO)
    def take_over_without_state(self, worker, who):
        """Let an instance take a worker that has lost its state."""
        self.lose_state(worker)
        self.give(worker, who)
        self.instances[who].sweep()

    @stateful.rule(who=machine.WHO, is_known=st.booleans(), is_full=st.booleans())
    def lose_workers_while_cut_off(self, who, is_known, is_full):
        """Let an instance lose its workers just after it has heard of their ends."""
        owned = [int(name[1:]) for name in self.instances[who].owned.by_name]
        self.refuse_ends(1 - who, is_full)
        self.hear_ends_while_cut_off(who, is_known)
        for worker in owned:
            self.take_over_without_state(worker, 1 - who)

    @stateful.invariant()
    def no_known_end_is_lost(self):
        for generation in self.lost():
            for instance in self.instances:
                assert instance.runner.ends.find(generation) is None, generation

    def lost(self):
        """Return the generations that were lost with their worker."""
        rows = [
            json.loads(row.value)
            for key, row in self.world.rows.items()
            if key.startswith("work/")
        ]
        return [
            messages.Generation(
                row["request"]["team"], row["request"]["request_id"], row["generation"]
            )
            for row in rows
            if row["state"] == "unknown"
        ]

    def teardown(self):
        for who in range(2):
            self.reach_again(who)
        super().teardown()

    def is_settled(self, told):
        """Return the same, but for work whose worker has lost its state."""
        return told.state != "claimed"
