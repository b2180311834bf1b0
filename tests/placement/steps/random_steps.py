import hypothesis
from behave import then
from hypothesis import strategies
from tests.support import placing

from mangosail import resources
from mangosail.placement import messages

KINDS = ("fuel.quote", "batch.scan", "batch.tidy")
PLACE = strategies.tuples(
    strategies.just("place"),
    strategies.sampled_from(KINDS),
    strategies.sampled_from(list(messages.WorkClass)),
    strategies.sampled_from([1.0, 7.5, 32.0, 40.0]),
)
END = strategies.tuples(
    strategies.just("end"), strategies.integers(0, 50), strategies.booleans()
)
LEARN = strategies.tuples(
    strategies.just("learn"),
    strategies.sampled_from(KINDS),
    strategies.sampled_from([0.5, 12.0, 90.0]),
)


class Trial:
    """One random run; running tasks are tracked independently of the ledger."""

    def __init__(self):
        self.placing = placing.Placing("a", "b", "c")
        self.running = {}

    def step(self, what, *args):
        self.placing.clock.sleep(0.3)
        getattr(self, what)(*args)
        self.check()

    def place(self, kind, work_class, cpus):
        needs = resources.Resources(cpus, 2, 0, 1, 1)
        work = self.placing.work(kind, work_class, needs=needs)
        placed = self.placing.placer.place(work)
        if placed.is_ok():
            self.running[work.task_id] = placed.ok_value
            assert needs.fits_in(placed.ok_value.work.needs)
        assert placed.is_ok() or (placed.err_value.retry_after is None) == (cpus > 32)

    def end(self, index, ok):
        if self.running:
            task_id = sorted(self.running)[index % len(self.running)]
            del self.running[task_id]
            self.placing.placer.finish(task_id, ok)

    def learn(self, kind, cpus):
        measured = resources.Resources(cpus=cpus, memory_gb=2)
        self.placing.placer.sizes.learn(f"team/{kind}", measured)

    def check(self):
        for owned in self.placing.workers:
            mine = [p for p in self.running.values() if p.owned is owned]
            total = sum((p.work.needs for p in mine), resources.Resources())
            assert total.fits_in(placing.CAPACITY), (owned.name, total)
            assert len(owned.ledger.reserved) == len(mine)


@then("random work on three workers never overfills one")
def never_overfull(context):
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.one_of(PLACE, END, LEARN), max_size=60)
    )
    def run(steps):
        trial = Trial()
        for step in steps:
            trial.step(*step)

    run()
