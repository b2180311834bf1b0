"""Replays a load on a leader, step by step of simulated time."""

import dataclasses
import math
import random

import gevent
import result

from mangosail import codec, resources
from mangosail.intake import overload
from mangosail.platform import table
from mangosail.scheduler import (
    advice,
    fleet,
    journal,
    keys,
    leadership,
    messages,
    options,
    polling,
    progress,
    records,
    scheduler,
)
from mangosail.simulation import load as loads
from mangosail.simulation import reports, store, workers
from mangosail.telemetry import counters as telemetry

#: Seconds of simulated time from one step to the next.
STEP_S = 0.05
#: Seconds before the load in which continuous jobs start.
LEAD_IN_S = 3.0
#: Seconds after the load within which jobs may end.
FINISH_S = 14.0
#: Elapsed time at which a replay begins. The wall clock is the same.
BEGINS_AT = 1000.0
WORKER_PREFIX = "workers//"


class SimulatedClock:
    """A clock that only the replay sets; sleeping lets others run."""

    def __init__(self) -> None:
        self.now = BEGINS_AT

    def monotonic(self) -> float:
        """Return the simulated time."""
        return self.now

    def elapsed(self) -> float:
        """Return the simulated time."""
        return self.now

    def wall(self) -> float:
        """Return the simulated time."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Let other greenlets run, in no time."""
        gevent.sleep(0)


class NoAdvisor:
    """Advises nothing: no simulated queue needs advice."""

    def ask(
        self, step: str, workers: list[str]
    ) -> result.Result[advice.Tickets, advice.AdviceUnavailable]:
        """Return no tickets."""
        return result.Ok(advice.Tickets({}, 0.0))


class Replay:
    """One load and one seed, with one leader after the other."""

    def __init__(
        self, load: loads.Load, seed: int, enabled: options.Options = options.NONE
    ) -> None:
        self.load = load
        self.options = enabled
        self.rand = random.Random(seed)
        self.clock = SimulatedClock()
        self.rows = store.MemoryTable()
        self.workers = workers.Workers(self.clock, self.rand, load.progress_interval)
        draw = loads.Draw(load, seed)
        self.standing = draw.standing()
        self.coming = draw.arrivals()
        self.queues = {each.queue.name: each.queue for each in load.classes}
        self.catalog = messages.Catalog(
            1, tuple(self.queues.values()), (messages.Service(loads.POOL),)
        )
        self.open_jobs: dict[str, progress.JobProgress] = {}
        #: Time at which each job ended; infinite if it failed.
        self.ended_at: dict[str, float] = {}
        #: Shares of the cores that short tasks used while some waited.
        self.used: list[float] = []
        self.late_jobs: overload.LateJobs | None = None
        if enabled.refuse_late_jobs:
            self.late_jobs = overload.LateJobs(
                self.rows,
                self.queues.get,
                self.clock,
                telemetry.StatsdCounters(None, 0),
                self.rand,
            )
            # The replay reads the row itself, as its clock does not pass by sleeping.
            self.late_jobs.reader.reading = True
        #: Ids of the jobs that were refused as too late.
        self.refused: set[str] = set()
        #: Longest backlog in seconds, and the time of its latest sample.
        self.longest_backlog = 0.0
        self.sampled_at = 0.0
        #: Workers that each fault has hit and not left yet.
        self.hit_by: dict[loads.WorkerFault, list[workers.Worker]] = {}
        #: The latest write of the leader; it lasts while the store is away.
        self.writing: gevent.Greenlet | None = None
        #: Seconds at which further leaders are lost.
        self.leader_losses = sorted(load.leader_losses)
        for number, capacity in enumerate(load.capacities):
            self._add_worker(number, capacity)
        self.leader = self._lead()
        self.watchers = self.leader.load()

    def run(self) -> reports.Report:
        """Replay the load to its end, and report."""
        for arrival in self.standing:
            self._hand_in(arrival)
        begins_at = BEGINS_AT + LEAD_IN_S
        ends_at = begins_at + self.load.ends_at + FINISH_S
        coming = list(reversed(self.coming))
        while self.clock.now < ends_at:
            now = self.clock.now - begins_at
            self._apply_faults(now)
            self.rows.away = any(
                outage.starts_at <= now < outage.ends_at
                for outage in self.load.store_outages
            )
            if self.leader_losses and self.leader_losses[0] <= now:
                del self.leader_losses[0]
                self._replace_leader()
            while coming and coming[-1].at <= now and not self.rows.away:
                self._hand_in(coming.pop())
            self._step()
            if not coming and self._all_ended():
                break
        return self._report()

    def _add_worker(self, number: int, capacity: resources.Resources) -> None:
        name = f"w{number}"
        data_centre = self.load.data_centres[number % len(self.load.data_centres)]
        entry = messages.WorkerEntry(
            name, loads.POOL, f"{name}:1", data_centre, capacity, frozenset()
        )
        self.workers.by_name[name] = workers.Worker(entry)
        self._put(WORKER_PREFIX + name, name)

    def _lead(self) -> scheduler.Scheduler:
        """Return a leader that holds the lease."""
        counters = telemetry.StatsdCounters(None, 0)
        lead = leadership.Leadership(self.rows, "i", self.clock, counters, self.rand)
        held = lead.check()
        while held is None:
            self.clock.now += journal.RENEWAL_INTERVAL_S
            held = lead.check()
        leader = scheduler.Scheduler(
            self.rows,
            self.workers,
            held,
            lambda: self.catalog,
            lambda name, text: result.Ok(self.workers.by_name[name].entry),
            WORKER_PREFIX,
            FINISH_S,
            NoAdvisor(),
            self.clock,
            counters,
            enabled=self.options,
        )
        self.workers.find_task = leader.find_task
        return leader

    def _replace_leader(self) -> None:
        """Let the workers run without a leader, and another one take over."""
        until = self.clock.now + loads.LEADERLESS_S
        while self.clock.now < until:
            self._pass_time()
        self.leader = self._lead()
        self.watchers = self.leader.load()

    def _put(self, key: str, text: str) -> None:
        self.rows.commit(table.Transaction((), (table.Write(key, text),)))

    def _hand_in(self, arrival: loads.Arrival) -> None:
        job = dataclasses.replace(arrival.job, accepted_at=self.clock.wall())
        if self.late_jobs is not None and self.late_jobs.check(job) is not None:
            self.refused.add(job.job_id)
            self.ended_at[job.job_id] = math.inf
            return
        for number, seconds in enumerate(arrival.seconds):
            for index, each in enumerate(seconds):
                name = messages.task_name(job.job_id, 0, number, index)
                self.workers.work_left[name] = each, each
        self._put(keys.job(job.job_id), codec.to_json(job))

    def _apply_faults(self, now: float) -> None:
        """Begin the faults that are due, and end those that are over."""
        for fault in self.load.worker_faults:
            hit = self.hit_by.get(fault)
            if hit is None and fault.starts_at <= now:
                self.hit_by[fault] = self._begin_fault(fault)
            elif hit and now >= fault.ends_at:
                self.hit_by[fault] = []
                for worker in hit:
                    worker.speed = 1.0

    def _begin_fault(self, fault: loads.WorkerFault) -> list[workers.Worker]:
        """Slow down or lose a share of the workers that are well; return them."""
        well = [
            worker
            for worker in self.workers.by_name.values()
            if worker.speed == 1.0
            and fault.data_centre in ("", worker.entry.data_centre)
        ]
        hit = self.rand.sample(well, round(fault.share * len(well)))
        for worker in hit:
            if not fault.speed:
                self.workers.lose(worker)
            worker.speed = fault.speed
        return hit

    def _step(self) -> None:
        """Run the leader once, then let time pass."""
        if not self.rows.away:
            for watcher in self.watchers:
                watcher.read_once(0)
        polls = [gevent.spawn(self._poll, worker) for worker in self._due_polls()]
        while not all(poll.ready() for poll in polls):
            gevent.sleep(0)
            if self.leader.journal.pending_callbacks:
                self._write()
        self.leader.rounds.place()
        self._write()
        # Starts are sent and answered.
        gevent.sleep(0)
        gevent.sleep(0)
        self._observe()
        self._pass_time()

    def _poll(self, worker: fleet.Worker) -> None:
        """Poll a worker; while the store is away, do not wait for durable ends."""
        if self.rows.away:
            self.leader.poller.poll_now(worker)
        else:
            self.leader.poller.poll(worker)

    def _write(self) -> None:
        """Write what has changed; while the store is away, leave the write waiting."""
        if self.writing is None or self.writing.ready():
            self.writing = gevent.spawn(self.leader.journal.write)
        while not self.rows.away and not self.writing.ready():
            gevent.sleep(0)

    def _pass_time(self) -> None:
        """Let one step of time pass on the workers."""
        self.workers.advance(STEP_S)
        self.workers.record_harm(STEP_S)
        self.clock.now += STEP_S

    def _due_polls(self) -> list:
        """Return the workers with news, and those not polled for a while."""
        now = self.clock.now
        return [
            worker
            for worker in self.leader.workers
            if self.workers.by_name[worker.name].has_news
            or now
            >= worker.last_contact_at
            + polling.poll_wait(worker, worker.last_contact_at)
        ]

    def _observe(self) -> None:
        """Record the ends of jobs, the backlog, and the use of cores."""
        self._record_ends()
        if self.clock.now >= self.sampled_at + overload.READ_INTERVAL_S:
            self._sample_backlog()
        if self._any_waiting():
            self.used.append(self._used_share())

    def _record_ends(self) -> None:
        for job_id, job in self.leader.jobs.items():
            if job_id not in self.ended_at:
                self.open_jobs[job_id] = job
        for job_id, job in list(self.open_jobs.items()):
            state = self._state(job)
            if state in messages.FINAL:
                failed = state is not messages.State.COMPLETED
                self.ended_at[job_id] = math.inf if failed else self.clock.now
                del self.open_jobs[job_id]

    def _sample_backlog(self) -> None:
        """Record the backlog, and let the instance read what the leader publishes."""
        self.sampled_at = self.clock.now
        self.longest_backlog = max(self.longest_backlog, self._backlog())
        if self.late_jobs is not None:
            self.late_jobs.reader.read()

    def _any_waiting(self) -> bool:
        """Return whether tasks wait that end on their own."""
        return any(
            step_run.any_waiting()
            for job in self.leader.jobs.values()
            for step_run in job.ready_steps(self.clock.wall())
            if not step_run.step.continuous
        )

    def _state(self, job: progress.JobProgress) -> messages.State:
        """Return the state of a job; as stored if it had ended when the leader began.

        Such a job is none of the leader's, and would count as one that never ended.
        """
        job_id = job.job.job_id
        if job_id in self.leader.jobs or job_id not in self.leader.ended_jobs:
            return job.state
        return records.decode(self.rows.rows[keys.state(job_id)].value).state

    def _total_cores(self) -> float:
        return sum(w.entry.capacity.cpus for w in self.workers.by_name.values())

    def _used_share(self) -> float:
        total = self._total_cores()
        used = sum(
            run.step.need.cpus * run.speed_limit / 100
            for worker in self.workers.by_name.values()
            for run in worker.runs.values()
            if not run.step.continuous
        )
        return used / total if total else 0.0

    def _backlog(self) -> float:
        """Return the seconds for which accepted jobs would keep all cores busy."""
        total = self._total_cores()
        left = sum(
            self.workers.work_left[task.name][1] * task.step.need.cpus
            for job in self.open_jobs.values()
            for task in job.tasks()
            if not task.step.continuous and task.phase is not progress.Phase.DONE
        )
        return left / total if total else 0.0

    def _all_ended(self) -> bool:
        return all(a.job.job_id in self.ended_at for a in self.coming)

    def _report(self) -> reports.Report:
        begins_at = BEGINS_AT + LEAD_IN_S
        ends: dict[str, list[reports.JobEnd]] = {}
        for arrival in self.coming:
            queue = self.queues[arrival.job.queue]
            objective = queue.stretch * arrival.longest_chain + queue.target
            ended_at = self.ended_at.get(arrival.job.job_id, math.inf)
            end = reports.JobEnd(arrival, objective, ended_at - begins_at - arrival.at)
            ends.setdefault(queue.name, []).append(end)
        return reports.Report(
            {
                name: reports.QueueReport(tuple(of_queue))
                for name, of_queue in ends.items()
            },
            self.workers.harmed_seconds / max(self.workers.critical_seconds, STEP_S),
            self.workers.longest_disturbance,
            self.workers.wasted,
            sum(self.used) / len(self.used) if self.used else 0.0,
            frozenset(self.refused),
            self.longest_backlog,
        )
