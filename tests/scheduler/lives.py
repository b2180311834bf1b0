"""Histories of the scheduler in which short tasks end, and workers crash."""

from tests.scheduler import fakes, machine

from mangosail.scheduler import keys

LASTING = "00000000000000ee"
#: Seconds that a short task takes.
TASK_TERM = 0.6


class History(machine.Scheduling):
    """A history in which short tasks end by themselves."""

    turn = 0.1

    def __init__(self, workers, away):
        self.workers = workers
        super().__init__()
        self.world.away_term = away
        self.begun = {}
        self.short = []
        #: What happens besides, each turn.
        self.event = lambda: None

    def hand_in_short(self):
        self.hand_in([2])
        self.short.append(max(self.jobs))

    def hand_in_lasting(self):
        """Hand in a job whose task lasts, let it start, and return the task's name."""
        job = fakes.job(LASTING, fakes.step(continuous=True))
        self.jobs[LASTING] = job
        self.world.rows.put(keys.job(LASTING), job)
        self.pass_seconds(1.0)
        return f"{LASTING}.0.0.0"

    def pass_seconds(self, seconds):
        until = self.world.clock.now + seconds
        while self.world.clock.now < until:
            self.lead_on(1)
            self.event()
            self.end_short()

    def end_short(self):
        now = self.world.clock.now
        for worker in self.living():
            worker.expire()
            for task, run in list(worker.running.items()):
                began_at = self.begun.setdefault((task, run), now)
                if LASTING not in task and now > began_at + TASK_TERM:
                    worker.end(task)

    def state(self, job_id):
        return self.world.rows.state(job_id)

    def task(self, name):
        return self.leaders[-1].scheduler.find_task(name)

    def worker_of(self, task):
        return next((w for w in self.living() if task in w.running), None)


def new_leader_at_each_crash(history):
    """Return what replaces the leader whenever a task has crashed a worker."""
    seen = []

    def event():
        crashes = sum(history.world.crashed_under.values())
        if crashes > len(seen):
            seen.extend([None] * (crashes - len(seen)))
            history.depose()

    return event
