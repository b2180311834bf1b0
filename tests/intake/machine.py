"""Random histories of configurations, instances that read them late, and callers."""

import json
import random

import falcon.testing
import hypothesis.strategies as st
import result
from hypothesis import stateful
from tests.scheduler import fakes
from tests.support import memory

from mangosail.intake import catalogs, job_service, peers, relaying
from mangosail.platform import caller, ingress, peering
from mangosail.platform import errors as store_errors
from mangosail.scheduler import messages
from mangosail.telemetry import counters

CONFIG = "op//config"
HOST = "jobs.example"
#: Seconds within which a change must be in force.
MAX_AGE_S = 3.0
MAX_VERSION = 60
NAMES = ("a", "b")


def decode(text):
    """Version v has the queues old-v and later, and new-v and earlier."""
    version = json.loads(text)
    names = [f"old-{number}" for number in range(version, MAX_VERSION + 1)]
    names += [f"new-{number}" for number in range(1, version + 1)]
    queues = (messages.Queue(n, HOST, f"/{n}/", "pool", 0, 2, 3.0) for n in names)
    return messages.Catalog(version, tuple(queues))


class SlowView(fakes.View):
    """The store as one instance reaches it, whose readings take time or fail."""

    def __init__(self, rows, clock):
        super().__init__(rows)
        self.clock = clock
        #: Seconds that a reading of the configuration takes, and whether it fails.
        self.seconds = 0.0
        self.fails = False
        #: Called while a reading is under way.
        self.meanwhile = None

    def read_all(self, *args, **facts):
        return self._deliver(self.rows.read_all(*args, **facts))

    def changes(self, *args, **facts):
        return self._deliver(self.rows.changes(*args, **facts))

    def _deliver(self, answer):
        meanwhile, self.meanwhile = self.meanwhile, None
        if meanwhile is not None:
            meanwhile()
        self.clock.now += self.seconds
        if self.cut or self.fails:
            return result.Err(store_errors.Unavailable("no answer"))
        return answer


class Instance:
    """An instance that forwards to the other one what it can't answer."""

    def __init__(self, name, rows, clock, forward):
        self.view = SlowView(rows, clock)
        counted = counters.StatsdCounters(None, 0)
        self.catalog = catalogs.Catalogs(
            self.view, CONFIG, decode, clock, counted, MAX_AGE_S
        )
        jobs = job_service.JobService(self.view, self.catalog.stale, clock, counted)
        own = peers.Peer(name, name)
        known = peers.Peers(None, own, clock, counted, random.Random(5))
        known.known = tuple(peers.Peer(n, n) for n in NAMES if n != name)
        relay = relaying.Relay(known, forward, clock, counted)
        front = ingress.Ingress(self.catalog, jobs, clock, counted, relay)
        inner = ingress.Ingress(self.catalog, jobs, clock, counted)
        self.front = falcon.testing.TestClient(front.app, headers={"Host": HOST})
        self.inner = falcon.testing.TestClient(inner.app, headers={"Host": HOST})
        #: Lowest version by which the next caller may be answered here.
        self.seen = 0


class Configurations(stateful.RuleBasedStateMachine):
    """No caller is answered by a configuration that was replaced too long ago."""

    #: How callers were answered in all histories, by status.
    answered = {}

    def __init__(self):
        super().__init__()
        self.clock = memory.Clock()
        self.rows = fakes.Rows()
        #: Time at which each version was acknowledged.
        self.acknowledged = []
        self.change()
        self.instances = {
            name: Instance(name, self.rows, self.clock, self.forward) for name in NAMES
        }
        for instance in self.instances.values():
            assert instance.catalog.refresh()

    def forward(self, address, request):
        least = {peering.MIN_VERSION_HEADER: str(request.min_version)}
        answer = self.instances[address].inner.simulate_request(
            request.method, request.path, headers={"Host": HOST, **least}
        )
        reply = caller.Reply(answer.status_code, answer.content, answer.headers["ETag"])
        return result.Ok(peering.to_answer(reply))

    @stateful.rule()
    def change(self):
        """Write the next version, acknowledged at once."""
        if len(self.acknowledged) < MAX_VERSION:
            self.rows.put(CONFIG, len(self.acknowledged) + 1)
            self.acknowledged.append(self.clock.now)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 1.5, 4.0]))
    def wait(self, seconds):
        self.clock.now += seconds

    @stateful.rule(
        name=st.sampled_from(NAMES),
        seconds=st.sampled_from([0.0, 0.0, 0.5, 2.0, 4.0]),
        fails=st.booleans(),
        cut=st.sampled_from([False, False, False, True]),
    )
    def reach(self, name, seconds, fails, cut):
        """Change how an instance reaches the store."""
        view = self.instances[name].view
        view.seconds, view.fails, view.cut = seconds, fails, cut

    @stateful.rule(
        name=st.sampled_from(NAMES), meanwhile=st.sampled_from(["", "change", "ask"])
    )
    def poll(self, name, meanwhile):
        """Let an instance read; the configuration may change meanwhile."""
        instance = self.instances[name]
        if meanwhile == "change":
            instance.view.meanwhile = self.change
        if meanwhile == "ask":
            instance.view.meanwhile = lambda: self.change_and_ask(name)
        instance.catalog.watcher.read_once(0)
        instance.view.meanwhile = None

    def change_and_ask(self, name):
        """Change the configuration; the other instance reads it, and a caller asks."""
        self.change()
        for other in NAMES:
            if other != name:
                self.poll(other, "")
        self.ask_added(name, 0)

    @stateful.rule(name=st.sampled_from(NAMES), back=st.integers(0, 1))
    def ask_removed(self, name, back):
        """Ask for a queue that only versions up to a recent one have."""
        number = self.recent(back)
        instance, least = self.instances[name], self.least(name)
        status = self.ask(instance, f"/old-{number}/")
        if status == 200:
            assert number >= least, (name, number, least)
        if status == 404:
            instance.seen = max(instance.seen, number + 1)

    @stateful.rule(name=st.sampled_from(NAMES), back=st.integers(0, 1))
    def ask_added(self, name, back):
        """Ask for a queue that only versions from a recent one on have."""
        number = self.recent(back)
        instance, least = self.instances[name], self.least(name)
        status = self.ask(instance, f"/new-{number}/")
        if status == 404:
            assert number > least, (name, number, least)
        if status == 200:
            instance.seen = max(instance.seen, number)

    @stateful.rule(name=st.sampled_from(NAMES), back=st.integers(0, 1))
    def run_job(self, name, back):
        """Let an instance that leads start a job of a recent version."""
        number = self.recent(back)
        instance = self.instances[name]
        instance.catalog.invalidate(number)
        instance.seen = max(instance.seen, number)

    def recent(self, back):
        """Return the version `back` ones before the newest, or the first."""
        return max(len(self.acknowledged) - back, 1)

    def ask(self, instance, path):
        status = instance.front.simulate_get(path).status_code
        self.answered[status] = self.answered.get(status, 0) + 1
        return status

    def least(self, name):
        """Return the lowest version by which a caller may be answered now."""
        due = self.clock.now - MAX_AGE_S
        in_force = sum(at < due for at in self.acknowledged)
        return max(in_force, self.instances[name].seen)

    def teardown(self):
        """Once all readings work again, callers are answered at once."""
        self.clock.now += relaying.PAUSE_S
        for instance in self.instances.values():
            view = instance.view
            view.seconds, view.fails, view.cut = 0.0, False, False
            instance.catalog.watcher.read_once(0)
            newest = len(self.acknowledged)
            assert self.ask(instance, f"/new-{newest}/") == 200
            assert self.ask(instance, f"/old-{newest - 1}/") == 404
