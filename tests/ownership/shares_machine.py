"""A state machine of the owners of one worker, checked against the worker's load."""

import random

from hypothesis import stateful
from hypothesis import strategies as st

from mangosail import resources
from mangosail.dispatch import messages as dispatch_messages
from mangosail.ownership import messages, takeover
from mangosail.placement import ledger

CAPACITY = resources.Resources(32.0, 125.0, 2, 8, 60)
NEEDS = st.builds(
    resources.Resources,
    st.sampled_from([0.5, 2.0, 6.0]),
    st.sampled_from([1.0, 40.0]),
    st.integers(0, 1),
    st.just(1),
    st.integers(0, 12),
)


class Holder:
    """One run of an instance, with its ledger and its view of its lease."""

    def __init__(self, generation):
        self.name = f"i{generation}"
        self.generation = generation
        self.lease = True
        self.ledger = ledger.Ledger(CAPACITY, lambda: self.lease)


class OwnersOfOneWorker(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.running = {}  # task id -> report: the worker's own truth
        self.fenced = 0
        self.in_transit = []  # (holder, report) of durable starts on their way
        self.released = set()
        self.count = 0
        self.holders = [Holder(1)]
        self.row = messages.OwnerRow("w", "i1", "i1", 1)

    @property
    def owner(self):
        return self.holders[-1]

    def used(self):
        needs = [report.needs for report in self.running.values()]
        return sum(needs, resources.Resources())

    @stateful.rule(pick=st.randoms(use_true_random=False), needs=NEEDS,
                   durable=st.booleans(), late=st.booleans())  # fmt: skip
    def start(self, pick: random.Random, needs, durable, late):
        holder = pick.choice(self.holders)
        self.count += 1
        task_id = f"t{self.count}"
        if not holder.ledger.reserve(task_id, needs, durable):
            return
        report = dispatch_messages.Report(
            task_id,
            1,
            dispatch_messages.TaskState.RUNNING,
            needs=needs,
            owner_generation=holder.generation,
            idempotent=not durable,
        )
        if durable and late:
            self.in_transit.append(report)
        else:
            self.begin(report)

    def begin(self, report):
        if report.idempotent or report.owner_generation >= self.fenced:
            self.running[report.task_id] = report

    @stateful.precondition(lambda self: self.in_transit)
    @stateful.rule()
    def arrive(self):
        self.begin(self.in_transit.pop())

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(pick=st.randoms(use_true_random=False))
    def end(self, pick):
        report = self.running.pop(pick.choice(sorted(self.running)))
        if report.idempotent:
            # The answer of a quote ends its reservation in the same exchange.
            self.holders[report.owner_generation - 1].ledger.release(report.task_id)

    @stateful.rule(pick=st.randoms(use_true_random=False))
    def observe(self, pick):
        """One holder sees the worker's list, and learns of ends."""
        holder = pick.choice(self.holders)
        for task_id in set(holder.ledger.reserved) - set(self.running):
            if all(task_id != r.task_id for r in self.in_transit):
                holder.ledger.release(task_id)
        holder.ledger.follow(self.running.values(), holder.generation)

    @stateful.rule()
    def lapse(self):
        self.owner.lease = False
        self.owner.ledger.free()

    @stateful.rule()
    def lapse_unnoticed(self):
        """The holder is frozen as its lease ends, and looks only later."""
        self.owner.lease = False

    @stateful.rule()
    def renew(self):
        if self.owner.name not in self.released:
            self.owner.lease = True

    @stateful.precondition(lambda self: not self.owner.lease)
    @stateful.rule()
    def take_over(self):
        retained = self.still_retained()
        if self.owner.name not in self.released:
            kept = takeover.retention_of(self.row, CAPACITY, self.running.values())
            retained = (*retained, kept)
        holder = Holder(self.row.generation + 1)
        self.row = messages.OwnerRow(
            "w", holder.name, holder.name, holder.generation, retained
        )
        holder.ledger.promised = self.row.promised()
        self.fenced = holder.generation
        holder.ledger.rebuild(self.running.values(), holder.generation)
        self.holders.append(holder)

    @stateful.rule(pick=st.randoms(use_true_random=False))
    def release(self, pick):
        holder = pick.choice(self.holders)
        if holder.lease:
            return
        holder.ledger.closed = True
        self.released.add(holder.name)

    @stateful.rule()
    def settle_retained(self):
        if not self.owner.lease:
            return
        retained = self.still_retained()
        self.row = messages.OwnerRow(
            "w", self.owner.name, self.owner.name, self.owner.generation, retained
        )
        self.owner.ledger.follow(self.running.values(), self.owner.generation)
        self.owner.ledger.promised = self.row.promised()

    def still_retained(self):
        return tuple(r for r in self.row.retained if r.instance not in self.released)

    @stateful.invariant()
    def worker_carries_it(self):
        assert self.used().fits_in(CAPACITY), (self.used(), self.row)

    @stateful.invariant()
    def worker_would_carry_all_that_may_start(self):
        nothing = resources.Resources()
        free = [h.ledger.free(durable=False).largest(nothing) for h in self.holders
                if h.lease or h.ledger.kept is not None]  # fmt: skip
        total = sum(free, self.used())
        assert total.fits_in(CAPACITY), (total, self.row)
