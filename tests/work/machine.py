"""A state machine of two instances and two workers, checked against an oracle."""

from hypothesis import stateful
from hypothesis import strategies as st
from tests.support import fakes

from mangosail.dispatch import messages as dispatch
from mangosail.work import messages

KINDS = st.sampled_from(["order", "batch"])
#: Which of the newest requests a rule refers to.
NEWEST = st.integers(0, 2)
WHO = st.integers(0, 1)
#: Faults of the next write or order of a rule; most rules run without one.
WRITE_FAULT = st.sampled_from(["", "", "", "lost", "late", "down", "paused"])
ORDER_FAULT = st.sampled_from(["", "", "", "lost", "late", "unreachable"])


class Work(stateful.RuleBasedStateMachine):
    """Claims, starts, ends, evictions, cancellations, adoption under faults."""

    def __init__(self):
        super().__init__()
        self.world = fakes.World()
        self.workers = [fakes.Worker(self.world, f"w{n}") for n in range(2)]
        self.runs = 0
        self.ids = ["order-0", "batch-1"]
        self.owner_generation = 0
        self.instances = [None, None]
        self.told = {}  # request id -> first final outcome
        self.said_not_run = set()
        for number in range(2):
            self.restart(number)
        for number in range(2):
            self.give(number, number)

    def restart(self, number):
        self.runs += 1
        self.instances[number] = fakes.Instance(
            self.world, f"i{number}", str(self.runs)
        )

    def give(self, worker, instance):
        """Make one instance the owner of a worker."""
        for other in self.instances:
            other.owned.remove(f"w{worker}")
        self.owner_generation += 1
        self.instances[instance].take(self.workers[worker], self.owner_generation)

    def pick(self, newest):
        return self.ids[-1 - newest % len(self.ids)]

    def arm(self, who, write, order):
        self.world.table_fault, self.world.order_fault = write, order
        self.world.on_pause = lambda: self.pause(who)

    def pause(self, who):
        """The instance is paused after its write; the other takes its workers."""
        self.instances[who].lease.holds = False
        for number in range(2):
            self.give(number, 1 - who)
        self.instances[1 - who].sweep()

    def hear_outcome(self, answer):
        if answer.is_err() or answer.ok_value is None:
            return
        outcome = answer.ok_value
        if outcome.outcome == messages.Told.NOT_RUN.value:
            self.said_not_run.add(f"team/{outcome.request_id}")
        if outcome.retry_after is None:
            first = self.told.setdefault(outcome.request_id, outcome)
            assert first == outcome, (first, outcome)

    @stateful.rule(who=WHO, kind=KINDS, write=WRITE_FAULT, order=ORDER_FAULT)
    def submit(self, who, kind, write, order):
        self.ids.append(f"{kind}-{len(self.ids)}")
        self.submit_again(who, 0, write, order)

    @stateful.rule(who=WHO, newest=NEWEST, write=WRITE_FAULT, order=ORDER_FAULT)
    def submit_again(self, who, newest, write, order):
        self.arm(who, write, order)
        request_id = self.pick(newest)
        restartable = request_id.startswith("batch")
        self.hear_outcome(self.instances[who].submit(request_id, restartable))

    @stateful.rule(who=WHO, newest=NEWEST)
    def ask(self, who, newest):
        self.hear_outcome(self.instances[who].runner.look_up("team", self.pick(newest)))

    @stateful.rule(who=WHO, newest=NEWEST, write=WRITE_FAULT, order=ORDER_FAULT)
    def cancel(self, who, newest, write, order):
        self.arm(who, write, order)
        self.hear_outcome(self.instances[who].runner.cancel("team", self.pick(newest)))

    @stateful.rule(newest=NEWEST, write=WRITE_FAULT, order=ORDER_FAULT)
    def evict(self, newest, write, order):
        for who, instance in enumerate(self.instances):
            self.arm(who, write, order)
            task_id = f"team/{self.pick(newest)}"
            if task_id in instance.runner.ctx.registry:
                instance.runner.evict(task_id, "pressure")

    @stateful.rule(worker=WHO)
    def finish(self, worker):
        for task_id in self.workers[worker].running()[:1]:
            self.workers[worker].end(task_id, dispatch.TaskState.DONE, task_id)

    @stateful.rule(who=WHO, write=WRITE_FAULT, order=ORDER_FAULT)
    def hear_and_sweep(self, who, write="", order=""):
        self.arm(who, write, order)
        for worker in self.workers:
            self.instances[who].hear(worker)
        self.instances[who].sweep()

    @stateful.rule(worker=WHO, who=WHO)
    def move_worker(self, worker, who):
        self.give(worker, who)

    @stateful.rule(who=WHO)
    def die(self, who):
        """The instance is replaced; the other one takes its workers for now."""
        lost = list(self.instances[who].owned.by_name)
        self.restart(who)
        for name in lost:
            self.give(int(name[1:]), 1 - who)
        self.instances[1 - who].sweep()
        self.give(who, who)

    @stateful.rule(who=WHO)
    def thaw(self, who):
        self.instances[who].lease.holds = True
        self.give(who, who)

    @stateful.rule()
    def deliver(self):
        self.world.deliver()

    @stateful.invariant()
    def never_in_two_places(self):
        running = [task for worker in self.workers for task in worker.running()]
        assert len(running) == len(set(running)), running

    @stateful.invariant()
    def starts_are_allowed(self):
        starts = [
            (task, generation)
            for worker in self.workers
            for event, task, generation, _ in worker.log
            if event == "start"
        ]
        assert len(starts) == len(set(starts)), starts
        orders = [task for task, _ in starts if "order" in task]
        assert len(orders) == len(set(orders)), orders
        assert not self.said_not_run & {task for task, _ in starts}

    def teardown(self):
        """Once all faults are over, every piece of work comes to a known state."""
        self.world.table_fault = self.world.order_fault = ""
        self.world.deliver()
        for number in range(2):
            self.instances[number].lease.holds = True
            self.give(number, number)
        for _ in range(4):
            for worker in self.workers:
                for task in worker.running():
                    worker.end(task, dispatch.TaskState.DONE, task)
            for number in range(2):
                self.hear_and_sweep(number)
        for key in self.world.rows:
            if key.startswith("work/"):
                request_id = key.rpartition("/")[2]
                answer = self.instances[0].runner.look_up("team", request_id)
                assert self.is_settled(answer.ok_value), (key, answer)
                self.hear_outcome(answer)
        self.starts_are_allowed()

    def is_settled(self, told):
        """Return whether work has ended as it must once all faults are over."""
        return told.state not in ("claimed", "unknown")
