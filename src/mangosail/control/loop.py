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
INTERVAL = 0.25
#: Seconds that an order to a worker may take.
ORDER_TIMEOUT = 1.0
#: Evictions at once, and seconds that earn one more.
EVICTION_BURST = 2.0
EVICTION_INTERVAL = 10.0
#: Part of the way to the target that one step closes at most when letting go.
RELAX_STEP = 0.25
#: Tail aimed at when a share is worked out, as a multiple of the target.
AIM = 0.92
#: A throttling that moved the tail by less than this did nothing.
LEAST_EFFECT = 0.03


class Control:
    """Keeps the tails of quotes on own workers under their targets."""

    def __init__(
        self,
        owned: workers.Workers,
        seen: tails.Tails,
        run: work.Work,
        settings: state.Settings,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.owned = owned
        self.tails = seen
        self.run = run
        self.settings = settings
        self.lease = lease
        self.clock = clock
        self.counters = counters
        self.blame = tail_impact.Blame()
        self.evictions = token_bucket.Budget(clock, EVICTION_BURST, EVICTION_INTERVAL)
        self.memory = memory.Guard(run, clock, counters)
        self.workers: dict[str, controlled.Controlled] = {}

    def step(self) -> None:
        """Look at each owned worker once, and act where it is needed."""
        present = {owned.name: owned for owned in self.owned}
        for name in set(self.workers) - set(present):
            del self.workers[name]
        harmless = self.blame.harmless()
        for name, owned in present.items():
            owned.harmless = harmless
            if not self.lease.valid():
                return
            if not owned.accepts():
                continue
            known = self.workers.get(name)
            if known is None or known.owned is not owned:
                self.workers[name] = self._begin(owned)
                continue
            self._step(known)

    def _begin(self, owned: workers.OwnedWorker) -> controlled.Controlled:
        """Start with a clean slate: nobody knows what an earlier owner throttled."""
        known = controlled.Controlled(owned, self.clock.monotonic())
        for request in work.batch_on(self.run, owned.name):
            self._order(known, request, 1.0)
        return known

    def _step(self, known: controlled.Controlled) -> None:
        tasks = work.batch_on(self.run, known.owned.name)
        known.forget_ended({work_messages.task_id_of(request) for request in tasks})
        if self.memory.relieve(known.owned, tasks):
            return
        now = self.clock.monotonic()
        samples = self.tails.since(known.owned.name, known.acted_at, now)
        tail = tails.tail_of(samples)
        if tail is None:
            self._silent(known, now)
            return
        known.heard_at = now
        limits = self._limits(samples)
        self._learn(known, tail)
        self._absolve(known, tasks)
        if tail > limits.act_above:
            known.calm_since = now
            self._press(known, tasks, tail, limits)
            return
        known.pressed_since = None
        if tail < limits.relax_below:
            self._relax(known, tasks, tail, limits, now)
        else:
            known.calm_since = now

    def _silent(self, known: controlled.Controlled, now: float) -> None:
        """Let go of a worker that has had no quotes for a while."""
        if now < known.heard_at + tails.WINDOW:
            return
        known.owned.closed_to_batch = False
        known.pressed_since = None
        tasks = work.batch_on(self.run, known.owned.name)
        for request in tasks:
            if known.share_of(work_messages.task_id_of(request)) < 1.0:
                self._order(known, request, 1.0)

    def _limits(self, samples: list[tails.Sample]) -> policy.Policy:
        """Return the policy of the team whose quotes suffer most here."""
        worst = max(samples, key=lambda sample: sample.ratio)
        in_force = self.settings.by_team.get(worst.team)
        weights = in_force.settings.weights if in_force else tuple(schema.Aim)
        return policy.of(weights)

    def _learn(self, known: controlled.Controlled, tail: float) -> None:
        """Compare the tail before and after the last step, if nothing else changed."""
        step, known.last_step = known.last_step, None
        if step is None or step.tasks != self._present(known):
            return
        self.blame.learn(step.kind, step.tail, tail, step.shares)

    def _absolve(
        self, known: controlled.Controlled, tasks: list[work_messages.Request]
    ) -> None:
        """Let go of tasks that turned out not to be to blame, however long the tail."""
        harmless = self.blame.harmless()
        for request in tasks:
            share = known.share_of(work_messages.task_id_of(request))
            if share < 1.0 and request.kind in harmless:
                self._order(known, request, 1.0)
                self.counters.count("control.absolved")

    def _present(self, known: controlled.Controlled) -> frozenset[str]:
        tasks = work.batch_on(self.run, known.owned.name)
        return frozenset(work_messages.task_id_of(request) for request in tasks)

    def _press(
        self,
        known: controlled.Controlled,
        tasks: list[work_messages.Request],
        tail: float,
        limits: policy.Policy,
    ) -> None:
        now = self.clock.monotonic()
        known.pressed_since = known.pressed_since or now
        if not known.owned.closed_to_batch:
            known.owned.closed_to_batch = True
            self.counters.count("control.closed")
        if self._throttle(known, tasks, tail, limits):
            return
        if now >= known.pressed_since + limits.evict_after:
            self._evict(known, tasks)

    def _throttle(
        self,
        known: controlled.Controlled,
        tasks: list[work_messages.Request],
        tail: float,
        limits: policy.Policy,
    ) -> bool:
        """Throttle the kind that adds most and has most left to give."""
        by_kind: dict[str, list[work_messages.Request]] = collections.defaultdict(list)
        for request in tasks:
            if known.share_of(work_messages.task_id_of(request)) > limits.least_share:
                by_kind[request.kind].append(request)
        added = {
            kind: sum(self._added(known, request) for request in requests)
            for kind, requests in by_kind.items()
        }
        harmless = self.blame.harmless()
        blamed = [kind for kind in added if kind not in harmless]
        if not blamed:
            return False
        kind = max(blamed, key=lambda each: added[each])
        present = known.share_of(work_messages.task_id_of(by_kind[kind][0]))
        share = present - limits.first_step
        if self.blame.known(kind):
            share = present * (1.0 - (tail - AIM) / added[kind])
        share = max(share, limits.least_share)
        self._set(known, by_kind[kind], share, tail)
        self.counters.count("control.throttled", len(by_kind[kind]))
        return True

    def _added(
        self, known: controlled.Controlled, request: work_messages.Request
    ) -> float:
        share = known.share_of(work_messages.task_id_of(request))
        return share * self.blame.of(request.kind, request.needs.cpus)

    def _relax(
        self,
        known: controlled.Controlled,
        tasks: list[work_messages.Request],
        tail: float,
        limits: policy.Policy,
        now: float,
    ) -> None:
        """Give back as much as the tail should bear, the least harmful kind first."""
        if now < known.calm_since + limits.relax_after:
            return
        known.calm_since = now
        by_kind: dict[str, list[work_messages.Request]] = collections.defaultdict(list)
        for request in tasks:
            if known.share_of(work_messages.task_id_of(request)) < 1.0:
                by_kind[request.kind].append(request)
        if not by_kind:
            if known.owned.closed_to_batch:
                known.owned.closed_to_batch = False
                self.counters.count("control.opened")
            return
        each = {
            kind: sum(self.blame.of(r.kind, r.needs.cpus) for r in requests)
            for kind, requests in by_kind.items()
        }
        kind = min(each, key=lambda name: each[name])
        present = known.share_of(work_messages.task_id_of(by_kind[kind][0]))
        bearable = max(AIM - tail, 0.0) / max(each[kind], 1e-9)
        share = min(present + min(bearable, RELAX_STEP), 1.0)
        if share - present < LEAST_EFFECT:
            return
        self._set(known, by_kind[kind], share, tail)
        self.counters.count("control.relaxed", len(by_kind[kind]))

    def _set(
        self,
        known: controlled.Controlled,
        requests: list[work_messages.Request],
        share: float,
        tail: float,
    ) -> None:
        taken = 0.0
        for request in requests:
            before = known.share_of(work_messages.task_id_of(request))
            if self._order(known, request, share):
                taken += before - share
        known.acted_at = self.clock.monotonic()
        if abs(taken) >= LEAST_EFFECT:
            kind = requests[0].kind
            tasks = self._present(known)
            known.last_step = controlled.Step(kind, tail, taken, tasks)

    def _order(
        self,
        known: controlled.Controlled,
        request: work_messages.Request,
        share: float,
    ) -> bool:
        task_id = work_messages.task_id_of(request)
        deadline = self.clock.monotonic() + ORDER_TIMEOUT
        answer = known.owned.target.throttle(task_id, share, deadline)
        if isinstance(answer, result.Err):
            self.counters.count("control.throttle_failed")
            return False
        known.shares[task_id] = share
        return True

    def _evict(
        self, known: controlled.Controlled, tasks: list[work_messages.Request]
    ) -> None:
        """Evict the task that adds most even now, if the budget allows it."""
        harmless = self.blame.harmless()
        suspects = [request for request in tasks if request.kind not in harmless]
        if not suspects:
            self.counters.count("control.not_evicted.none_to_blame")
            return
        blamed = max(suspects, key=lambda request: self._added(known, request))
        if not self.evictions.take():
            self.counters.count("control.not_evicted.budget")
            return
        evicted = self.run.evict(work_messages.task_id_of(blamed), "tail")
        known.acted_at = self.clock.monotonic()
        if isinstance(evicted, result.Err):
            self.counters.count("control.not_evicted.failed")
            return
        self.counters.count("control.evicted.tail")
        log.info("evicted", worker=known.owned.name, kind=blamed.kind)
