"""The control loop: one round over the owned workers, four times a second.

On a worker whose quotes are slow it stops adding batch tasks, then throttles
the kind that is to blame, and evicts a task when throttling has not helped for
long enough. After each step it waits for quotes that began after the step.
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

#: Seconds between rounds.
INTERVAL_S = 0.25
#: Seconds that an order to a worker may take.
ORDER_TIMEOUT_S = 1.0
#: Evictions at once, and seconds that earn one more.
EVICTION_BURST = 2.0
EVICTION_INTERVAL_S = 10.0
#: Part of the way to the target that one step closes at most when letting go.
MAX_RELAX_STEP = 0.25
#: Tail aimed at when a share is worked out, as a multiple of the target.
TAIL_SETPOINT = 0.92
#: A throttling that moved the tail by less than this did nothing.
MIN_EFFECT = 0.03


class ControlLoop:
    """Keeps the tails of quotes on own workers under their targets."""

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
        """Look at each owned worker once, and act where it is needed."""
        present = {owned.name: owned for owned in self.owned}
        for name in set(self.workers) - set(present):
            del self.workers[name]
        harmless = self.tail_impact.harmless_kinds()
        for name, owned in present.items():
            owned.harmless_kinds = harmless
            if not self.lease.valid():
                return
            if not owned.accepts():
                continue
            known = self.workers.get(name)
            if known is None or known.owned is not owned:
                self.workers[name] = self._start_control(owned)
                continue
            self._step(known)

    def _start_control(self, owned: workers.OwnedWorker) -> controlled.ControlledWorker:
        """Start with a clean slate: nobody knows what an earlier owner throttled."""
        known = controlled.ControlledWorker(owned, self.clock.monotonic())
        for request in work.batch_tasks_on(self.runner, owned.name):
            self._send_throttle(known, request, 1.0)
        return known

    def _step(self, worker: controlled.ControlledWorker) -> None:
        tasks = work.batch_tasks_on(self.runner, worker.owned.name)
        worker.forget_ended({work_messages.task_id_of(request) for request in tasks})
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
        """Let go of a worker that has had no quotes for a while."""
        if now < worker.sampled_at + tails.WINDOW_S:
            return
        worker.owned.closed_to_batch = False
        worker.over_target_since = None
        tasks = work.batch_tasks_on(self.runner, worker.owned.name)
        for request in tasks:
            if worker.share_of(work_messages.task_id_of(request)) < 1.0:
                self._send_throttle(worker, request, 1.0)

    def _limits(self, samples: list[tails.Sample]) -> policy.Policy:
        """Return the policy of the team whose quotes suffer most here."""
        worst = max(samples, key=lambda sample: sample.ratio)
        in_force = self.settings.by_team.get(worst.team)
        weights = in_force.settings.weights if in_force else tuple(schema.Aim)
        return policy.for_aims(weights)

    def _learn(self, worker: controlled.ControlledWorker, tail: float) -> None:
        """Compare the tail before and after the last step, if nothing else changed."""
        step, worker.last_step = worker.last_step, None
        if step is None or step.tasks != self._task_ids(worker):
            return
        self.tail_impact.learn(step.kind, step.tail, tail, step.shares_taken)

    def _unthrottle_harmless(
        self, worker: controlled.ControlledWorker, tasks: list[work_messages.Request]
    ) -> None:
        """Let go of tasks that turned out not to be to blame, however long the tail."""
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
        """Throttle the kind that adds most and has most left to give."""
        by_kind: dict[str, list[work_messages.Request]] = collections.defaultdict(list)
        for request in tasks:
            if worker.share_of(work_messages.task_id_of(request)) > limits.min_share:
                by_kind[request.kind].append(request)
        added = {
            kind: sum(self._impact(worker, request) for request in requests)
            for kind, requests in by_kind.items()
        }
        harmless = self.tail_impact.harmless_kinds()
        blamed = [kind for kind in added if kind not in harmless]
        if not blamed:
            return False
        kind = max(blamed, key=lambda each: added[each])
        present = worker.share_of(work_messages.task_id_of(by_kind[kind][0]))
        share = present - limits.first_step
        if self.tail_impact.is_known(kind):
            share = present * (1.0 - (tail - TAIL_SETPOINT) / added[kind])
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
        """Give back as much as the tail should bear, the least harmful kind first."""
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
        each = {
            kind: sum(
                self.tail_impact.impact_of(r.kind, r.needs.cpus) for r in requests
            )
            for kind, requests in by_kind.items()
        }
        kind = min(each, key=lambda name: each[name])
        present = worker.share_of(work_messages.task_id_of(by_kind[kind][0]))
        bearable = max(TAIL_SETPOINT - tail, 0.0) / max(each[kind], 1e-9)
        share = min(present + min(bearable, MAX_RELAX_STEP), 1.0)
        if share - present < MIN_EFFECT:
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
        taken = 0.0
        for request in requests:
            before = worker.share_of(work_messages.task_id_of(request))
            if self._send_throttle(worker, request, share):
                taken += before - share
        worker.acted_at = self.clock.monotonic()
        if abs(taken) >= MIN_EFFECT:
            kind = requests[0].kind
            tasks = self._task_ids(worker)
            worker.last_step = controlled.Step(kind, tail, taken, tasks)

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
            return False
        worker.shares[task_id] = share
        return True

    def _evict(
        self, worker: controlled.ControlledWorker, tasks: list[work_messages.Request]
    ) -> None:
        """Evict the task that adds most even now, if the budget allows it."""
        harmless = self.tail_impact.harmless_kinds()
        suspects = [request for request in tasks if request.kind not in harmless]
        if not suspects:
            self.counters.count("control.not_evicted.none_to_blame")
            return
        blamed = max(suspects, key=lambda request: self._impact(worker, request))
        if not self.evictions.take():
            self.counters.count("control.not_evicted.budget")
            return
        evicted = self.runner.evict(work_messages.task_id_of(blamed), "tail")
        worker.acted_at = self.clock.monotonic()
        if isinstance(evicted, result.Err):
            self.counters.count("control.not_evicted.failed")
            return
        self.counters.count("control.evicted.tail")
        log.info("evicted", worker=worker.owned.name, kind=blamed.kind)
