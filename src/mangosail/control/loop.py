"""Control loop over the owned workers, run four times per second.

On a worker with slow quotes, it first stops admitting batch tasks, then throttles
the kind with the highest impact, and evicts a task if throttling has not helped for
long enough. After each action it waits for quotes that started after the action.
"""

import collections

import logbook
import result

from mangosail import clock as clocks
from mangosail.control import memory, policy, tail_impact, tails, token_bucket
from mangosail.control import worker as controlled
from mangosail.jobs import work
from mangosail.ownership import session
from mangosail.placement import workers
from mangosail.settings import schema, state
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

log = logbook.Logger("control")

#: Seconds between iterations.
INTERVAL_S = 0.25
#: Timeout, in seconds, of a throttle request to a worker.
ORDER_TIMEOUT_S = 1.0
#: Largest burst of evictions, and seconds until one more is allowed.
EVICTION_BURST = 2.0
EVICTION_INTERVAL_S = 10.0
#: Largest share that one step gives back to a throttled kind.
MAX_RELAX_STEP = 0.25
#: Tail for which shares are computed, as a multiple of the target.
TAIL_SETPOINT = 0.92
#: Smallest total change of shares that is applied or evaluated.
MIN_EFFECT = 0.03


class ControlLoop:
    """Keeps the tail latency of quotes on owned workers below its target."""

    def __init__(
        self,
        owned: workers.Workers,
        tail_latencies: tails.Tails,
        runner: work.WorkRunner,
        settings: state.Settings,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.owned = owned
        self.tails = tail_latencies
        self.runner = runner
        self.settings = settings
        self.lease = lease
        self.clock = clock
        self.counters = counters
        self.tail_impact = tail_impact.TailImpact()
        self.evictions = token_bucket.TokenBucket(
            clock, EVICTION_BURST, EVICTION_INTERVAL_S
        )
        self.memory = memory.MemoryGuard(runner, clock, counters)
        self.workers: dict[str, controlled.ControlledWorker] = {}

    def step(self) -> None:
        """Check each owned worker once and act where necessary."""
        owned_by_name = {owned.name: owned for owned in self.owned}
        for name in set(self.workers) - set(owned_by_name):
            del self.workers[name]
        harmless = self.tail_impact.harmless_kinds()
        for name, owned in owned_by_name.items():
            owned.harmless_kinds = harmless
            if not self.lease.valid():
                return
            if not owned.accepts():
                continue
            worker = self.workers.get(name)
            if worker is None or worker.owned is not owned:
                self.workers[name] = self._start_control(owned)
                continue
            self._step(worker)

    def _start_control(self, owned: workers.OwnedWorker) -> controlled.ControlledWorker:
        """Unthrottle all tasks, since the throttles of previous owners are unknown."""
        worker = controlled.ControlledWorker(owned, self.clock.monotonic())
        for request in work.batch_tasks_on(self.runner, owned.name):
            self._send_throttle(worker, request, 1.0)
        return worker

    def _step(self, worker: controlled.ControlledWorker) -> None:
        tasks = work.batch_tasks_on(self.runner, worker.owned.name)
        worker.forget_ended({work_messages.task_id_of(request) for request in tasks})
        self._repeat_unanswered(worker, tasks)
        if self.memory.evict_if_short(worker.owned, tasks):
            return
        now = self.clock.monotonic()
        samples = self.tails.since(worker.owned.name, worker.acted_at, now)
        tail = tails.tail_of(samples)
        if tail is None:
            self._on_no_quotes(worker, now)
            return
        worker.sampled_at = now
        limits = self._limits(samples)
        self._learn(worker, tail)
        self._unthrottle_harmless(worker, tasks)
        if tail > limits.act_above:
            worker.relaxable_since = now
            self._tighten(worker, tasks, tail, limits)
            return
        worker.over_target_since = None
        if tail < limits.relax_below:
            self._relax(worker, tasks, tail, limits, now)
        else:
            worker.relaxable_since = now

    def _on_no_quotes(self, worker: controlled.ControlledWorker, now: float) -> None:
        """Reopen and unthrottle a worker that has had no quotes for a while."""
        if now < worker.sampled_at + tails.WINDOW_S:
            return
        worker.owned.closed_to_batch = False
        worker.over_target_since = None
        tasks = work.batch_tasks_on(self.runner, worker.owned.name)
        for request in tasks:
            if worker.share_of(work_messages.task_id_of(request)) < 1.0:
                self._send_throttle(worker, request, 1.0)

    def _limits(self, samples: list[tails.Sample]) -> policy.Policy:
        """Return the policy of the team with the slowest quote on the worker."""
        worst = max(samples, key=lambda sample: sample.ratio)
        in_force = self.settings.by_team.get(worst.team)
        weights = in_force.settings.weights if in_force else tuple(schema.Aim)
        return policy.for_aims(weights)

    def _learn(self, worker: controlled.ControlledWorker, tail: float) -> None:
        """Learn from the last step if the set of batch tasks has not changed since."""
        step, worker.last_step = worker.last_step, None
        if step is None or step.tasks != self._task_ids(worker):
            return
        self.tail_impact.learn(step.kind, step.tail, tail, step.shares_taken)

    def _unthrottle_harmless(
        self, worker: controlled.ControlledWorker, tasks: list[work_messages.Request]
    ) -> None:
        """Unthrottle tasks of kinds found to be harmless, whatever the tail."""
        harmless = self.tail_impact.harmless_kinds()
        for request in tasks:
            share = worker.share_of(work_messages.task_id_of(request))
            if share < 1.0 and request.kind in harmless:
                self._send_throttle(worker, request, 1.0)
                self.counters.count("control.absolved")

    def _task_ids(self, worker: controlled.ControlledWorker) -> frozenset[str]:
        tasks = work.batch_tasks_on(self.runner, worker.owned.name)
        return frozenset(work_messages.task_id_of(request) for request in tasks)

    def _tighten(
        self,
        worker: controlled.ControlledWorker,
        tasks: list[work_messages.Request],
        tail: float,
        limits: policy.Policy,
    ) -> None:
        now = self.clock.monotonic()
        worker.over_target_since = worker.over_target_since or now
        if not worker.owned.closed_to_batch:
            worker.owned.closed_to_batch = True
            self.counters.count("control.closed")
        if self._throttle(worker, tasks, tail, limits):
            return
        if now >= worker.over_target_since + limits.evict_after:
            self._evict(worker, tasks)

    def _throttle(
        self,
        worker: controlled.ControlledWorker,
        tasks: list[work_messages.Request],
        tail: float,
        limits: policy.Policy,
    ) -> bool:
        """Throttle the kind with the highest impact at its current share."""
        by_kind: dict[str, list[work_messages.Request]] = collections.defaultdict(list)
        for request in tasks:
            if worker.share_of(work_messages.task_id_of(request)) > limits.min_share:
                by_kind[request.kind].append(request)
        impacts = {
            kind: sum(self._impact(worker, request) for request in requests)
            for kind, requests in by_kind.items()
        }
        harmless = self.tail_impact.harmless_kinds()
        candidates = [kind for kind in impacts if kind not in harmless]
        if not candidates:
            return False
        kind = max(candidates, key=lambda each: impacts[each])
        current = worker.share_of(work_messages.task_id_of(by_kind[kind][0]))
        share = current - limits.first_step
        if self.tail_impact.is_known(kind):
            share = current * (1.0 - (tail - TAIL_SETPOINT) / impacts[kind])
        share = max(share, limits.min_share)
        self._set_shares(worker, by_kind[kind], share, tail)
        self.counters.count("control.throttled", len(by_kind[kind]))
        return True

    def _impact(
        self, worker: controlled.ControlledWorker, request: work_messages.Request
    ) -> float:
        share = worker.share_of(work_messages.task_id_of(request))
        return share * self.tail_impact.impact_of(request.kind, request.needs.cpus)

    def _relax(
        self,
        worker: controlled.ControlledWorker,
        tasks: list[work_messages.Request],
        tail: float,
        limits: policy.Policy,
        now: float,
    ) -> None:
        """Give back as much share as the tail permits, to the least harmful kind."""
        if now < worker.relaxable_since + limits.relax_after:
            return
        worker.relaxable_since = now
        by_kind: dict[str, list[work_messages.Request]] = collections.defaultdict(list)
        for request in tasks:
            if worker.share_of(work_messages.task_id_of(request)) < 1.0:
                by_kind[request.kind].append(request)
        if not by_kind:
            if worker.owned.closed_to_batch:
                worker.owned.closed_to_batch = False
                self.counters.count("control.opened")
            return
        impacts = {
            kind: sum(
                self.tail_impact.impact_of(r.kind, r.needs.cpus) for r in requests
            )
            for kind, requests in by_kind.items()
        }
        kind = min(impacts, key=lambda name: impacts[name])
        current = worker.share_of(work_messages.task_id_of(by_kind[kind][0]))
        headroom = max(TAIL_SETPOINT - tail, 0.0) / max(impacts[kind], 1e-9)
        share = min(current + min(headroom, MAX_RELAX_STEP), 1.0)
        if share - current < MIN_EFFECT:
            return
        self._set_shares(worker, by_kind[kind], share, tail)
        self.counters.count("control.relaxed", len(by_kind[kind]))

    def _set_shares(
        self,
        worker: controlled.ControlledWorker,
        requests: list[work_messages.Request],
        share: float,
        tail: float,
    ) -> None:
        shares_taken = 0.0
        for request in requests:
            before = worker.share_of(work_messages.task_id_of(request))
            if self._send_throttle(worker, request, share):
                shares_taken += before - share
        worker.acted_at = self.clock.monotonic()
        if abs(shares_taken) >= MIN_EFFECT:
            kind = requests[0].kind
            tasks = self._task_ids(worker)
            worker.last_step = controlled.Step(kind, tail, shares_taken, tasks)

    def _send_throttle(
        self,
        worker: controlled.ControlledWorker,
        request: work_messages.Request,
        share: float,
    ) -> bool:
        task_id = work_messages.task_id_of(request)
        deadline = self.clock.monotonic() + ORDER_TIMEOUT_S
        answer = worker.owned.target.throttle(task_id, share, deadline)
        if isinstance(answer, result.Err):
            self.counters.count("control.throttle_failed")
            worker.unanswered[task_id] = share
            return False
        worker.unanswered.pop(task_id, None)
        worker.shares[task_id] = share
        return True

    def _repeat_unanswered(
        self, worker: controlled.ControlledWorker, tasks: list[work_messages.Request]
    ) -> None:
        """Repeat one order without an answer, which may have been carried out or not.

        A task throttled without our knowledge is never relaxed.
        """
        for request in tasks:
            share = worker.unanswered.get(work_messages.task_id_of(request))
            if share is not None:
                self._send_throttle(worker, request, share)
                return

    def _evict(
        self, worker: controlled.ControlledWorker, tasks: list[work_messages.Request]
    ) -> None:
        """Evict the task with the highest current impact if the budget permits."""
        harmless = self.tail_impact.harmless_kinds()
        candidates = [request for request in tasks if request.kind not in harmless]
        if not candidates:
            self.counters.count("control.not_evicted.none_to_blame")
            return
        victim = max(candidates, key=lambda request: self._impact(worker, request))
        if not self.evictions.take():
            self.counters.count("control.not_evicted.budget")
            return
        evicted = self.runner.evict(work_messages.task_id_of(victim), "tail")
        worker.acted_at = self.clock.monotonic()
        if isinstance(evicted, result.Err):
            self.counters.count("control.not_evicted.failed")
            return
        self.counters.count("control.evicted.tail")
        log.info("batch task evicted", worker=worker.owned.name, kind=victim.kind)
