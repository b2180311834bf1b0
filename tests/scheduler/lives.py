"""Simulated runs of the scheduler in which short tasks end and workers crash."""

from tests.scheduler import fakes, machine

from mangosail.scheduler import keys

LONG_RUNNING = "00000000000000ee"
#: Seconds that a short task takes.
TASK_DURATION_S = 0.6


class History(machine.Scheduling):
    """A simulated run in which short tasks end by themselves."""

    turn = 0.1

    def __init__(self, workers, away):
        self.workers = workers
        super().__init__()
        self.world.away_term = away
        self.started_at = {}
        self.short_jobs = []
        #: Additional event in each turn.
        self.event = lambda: None

    def submit_short(self):
        self.hand_in([2])
        self.short_jobs.append(max(self.jobs))

    def submit_long_running(self):
        """Submit a job with a long-running task, let it start, and return its name."""
        job = fakes.job(LONG_RUNNING, fakes.step(continuous=True))
        self.jobs[LONG_RUNNING] = job
        self.world.rows.put(keys.job(LONG_RUNNING), job)
        self.pass_seconds(1.0)
        return f"{LONG_RUNNING}.0.0.0"

    def pass_seconds(self, seconds):
        until = self.world.clock.now + seconds
        while self.world.clock.now < until:
            self.lead_on(1)
            self.event()
            self.end_short_tasks()

    def end_short_tasks(self):
        now = self.world.clock.now
        for worker in self.living():
            worker.expire()
            for task, run in list(worker.running.items()):
                started_at = self.started_at.setdefault((task, run), now)
                if LONG_RUNNING not in task and now > started_at + TASK_DURATION_S:
                    worker.end(task)

    def state(self, job_id):
        return self.world.rows.state(job_id)

    def task(self, name):
        return self.leaders[-1].scheduler.find_task(name)

    def worker_of(self, task):
        return next((w for w in self.living() if task in w.running), None)


def new_leader_at_each_crash(history):
    """Return an event that replaces the leader whenever a task crashed a worker."""
    seen = []

    def event():
        crashes = sum(history.world.crashed_under.values())
        if crashes > len(seen):
            seen.extend([None] * (crashes - len(seen)))
            history.depose()

    return event
