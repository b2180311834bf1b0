"""One entry instance: puts the slices together and keeps their tasks running."""

import random
import secrets
import typing as t

import gevent
import logbook
import result

from mangosail import clock as clocks
from mangosail import codec, invariants, resources
from mangosail.dispatch import http as dispatch_http
from mangosail.dispatch import messages as dispatch_messages
from mangosail.dispatch import monitor
from mangosail.front import app, context, quotes, server
from mangosail.front import messages as front_messages
from mangosail.jobs import queue
from mangosail.membership import messages as peer_messages
from mangosail.membership import peers as membership
from mangosail.membership import rpc
from mangosail.ownership import messages as ownership_messages
from mangosail.ownership import owners, session, sightings
from mangosail.placement import choice, workers
from mangosail.platform import batching, inventory
from mangosail.platform import http as platform_http
from mangosail.settings import process, state
from mangosail.telemetry import counters as telemetry
from mangosail.tls import keys
from mangosail.work import claims, forwarding, runner

log = logbook.Logger("instance")

#: Seconds between readings of the table and of the platform's list.
REFRESH_INTERVAL = 1.0


class Instance:
    """An entry instance, made from its process settings."""

    def __init__(self, settings: process.ProcessSettings) -> None:
        self.process = settings
        self.clock = clocks.SystemClock()
        self.counters = make_counters(settings)
        self.keys = make_keys(settings, self.counters)
        self.invariants = invariants.Invariants(
            self.counters, settings.abort_on_broken_invariant
        )
        caller = platform_http.Caller(settings.platform_address, settings.instance)
        self.table = platform_http.HttpTable(caller)
        self.inventory = platform_http.HttpInventory(caller)
        self.listing = inventory.Listing()
        self.workers = workers.Workers()
        self.chooser = choice.LeastLoaded(settings.seed or random.getrandbits(32))
        self.lease = session.Session(self.table, self.clock, self._session_row())
        self.owners = owners.Owners(
            self.table,
            self.lease,
            sightings.Sightings(self.clock, self.lease.term),
            self.workers,
            self._adopt,
            self.counters,
        )
        self.settings = state.Settings(self.table, self.clock, self.counters)
        self.peers = membership.Peers(
            settings.instance,
            self.heartbeat_message,
            self.clock,
            self.counters,
            self.keys,
        )
        self.grouped = batching.GroupCommit(
            self.table, self.counters, settings.commit_window
        )
        self.runner = runner.Runner(
            claims.Claims(self.grouped),
            self.workers,
            self.chooser,
            self.lease,
            self.clock,
            self.counters,
            forwarding.Forwarding(
                self.peers, settings.data_centre, self.clock, self.counters
            ),
            platform_http.HttpObjects(caller),
            self._gone,
        )
        self.jobs = queue.JobQueue(
            self.table, self.runner, self.lease, self.clock, self.counters
        )
        self.quotes = quotes.Quotes(
            self.workers,
            self.chooser,
            self.peers,
            self.lease,
            self.clock,
            self.counters,
        )
        self.front = context.Front(
            self.settings,
            self.quotes,
            self.runner,
            self.jobs,
            self.workers,
            self.clock,
            self.counters,
            self.describe,
            self.peers,
        )

    def run(self) -> None:
        """Serve until the process is stopped."""
        peer_server = rpc.serve(
            self, self.process.peer_address, self.keys, self.peers.by_name
        )
        gevent.spawn(self._forever, self._renew, session.RENEWAL_INTERVAL)
        gevent.spawn(self._forever, self._refresh, REFRESH_INTERVAL)
        gevent.spawn(self.grouped.run)
        gevent.spawn(self._forever, self.runner.sweep, REFRESH_INTERVAL)
        gevent.spawn(self.jobs.place_forever)
        gevent.spawn(self.counters.flush_forever)
        tls = None
        if self.keys is not None:
            tls = self.keys.context
            gevent.spawn(self.keys.watch_forever)
        httpd = server.create(app.create(self.front), self.process.http_address, tls)
        log.info("serving", address=self.process.http_address)
        httpd.serve_forever()
        peer_server.stop(grace=0)

    def heartbeat(self, message: peer_messages.Heartbeat) -> peer_messages.Heartbeat:
        """Take in a peer's state and return our own."""
        self.peers.heard(message)
        return self.heartbeat_message()

    def forward(
        self, message: peer_messages.Forwarded
    ) -> peer_messages.ForwardedAnswer:
        """Serve a peer's request from our own workers only."""
        declared = self.settings.operation(
            message.team, message.service, message.operation
        )
        if declared is None:
            return peer_messages.ForwardedAnswer(
                message.request_id, 404, "unknown_service"
            )
        request = front_messages.ServiceRequest(
            message.request_id,
            message.team,
            message.service,
            message.operation,
            declared,
            message.body,
            self.clock.monotonic() + message.timeout,
        )
        served = self.quotes.serve(request, forward=False)
        if isinstance(served, result.Err):
            refusal = served.err_value
            return peer_messages.ForwardedAnswer(
                message.request_id, refusal.status, refusal.reason, refusal.retry_after
            )
        return peer_messages.ForwardedAnswer(
            message.request_id,
            200,
            codec.to_json(served.ok_value.answer),
            worker=served.ok_value.worker,
            data_centre=served.ok_value.data_centre,
        )

    def submit_work(
        self, message: peer_messages.ForwardedWork
    ) -> peer_messages.WorkAnswer:
        """Claim a peer's durable work for our own workers."""
        return self.runner.submit_for_peer(message)

    def cancel_work(
        self, message: peer_messages.CancelWork
    ) -> peer_messages.WorkAnswer:
        """Cancel durable work that we hold."""
        return self.runner.cancel_for_peer(message)

    def heartbeat_message(self) -> peer_messages.Heartbeat:
        """Return our state as peers are told it."""
        return peer_messages.Heartbeat(
            self.process.instance,
            self.lease.row.incarnation,
            self.process.data_centre,
            self.workers.free(),
            settings={
                team: in_force.version
                for team, in_force in self.settings.by_team.items()
            },
        )

    def describe_to(
        self, message: peer_messages.DescribeRequest
    ) -> peer_messages.Description:
        """Return our status for the operator of a peer."""
        return peer_messages.Description(
            self.process.instance, codec.to_json(self.describe())
        )

    def describe(self) -> dict[str, t.Any]:
        """Return the status that operators see."""
        now = self.clock.monotonic()
        read_at = self.settings.read_at
        return {
            "instance": self.process.instance,
            "data_centre": self.process.data_centre,
            "ready": self.front.ready,
            "draining": self.heartbeat_message().draining,
            "waiting_tasks": len(self.jobs.waiting),
            "running_work": len(list(self.runner.ctx.registry)),
            "settings_age": None if read_at is None else now - read_at,
            "lease_left": self.lease.deadline - now,
            "workers": [
                {
                    "name": owned.name,
                    "generation": owned.generation,
                    "used": owned.ledger.used,
                    "capacity": owned.ledger.capacity,
                    "health": health_of(owned),
                }
                for owned in self.workers
            ],
            "peers": [peer.listed.name for peer in self.peers.reachable()],
            "counters": self.counters.snapshot(),
        }

    def on_snapshot(self, worker: str, snapshot: dispatch_messages.Snapshot) -> None:
        """Keep a worker's ledger and standing in step with what it says."""
        owned = self.workers.get(worker)
        if owned is None:
            return
        owned.usage = snapshot.usage
        owned.leaving = owned.leaving or snapshot.leaving
        if not owned.ready:
            running = {
                report.task_id: report.needs
                for report in snapshot.tasks
                if report.state is dispatch_messages.TaskState.RUNNING
            }
            owned.ledger.rebuild(running)
            owned.ready = True
        self.invariants.check(
            owned.ledger.used.fits_in(owned.worker.capacity),
            "ledger_within_capacity",
            worker=worker,
        )

    def _session_row(self) -> ownership_messages.SessionRow:
        return ownership_messages.SessionRow(
            self.process.instance,
            secrets.token_hex(8),
            self.process.data_centre,
            self.process.peer_address,
            0.0,
        )

    def _adopt(self, worker: inventory.Worker, generation: int) -> workers.OwnedWorker:
        target = dispatch_http.HttpTarget(
            worker.address, worker.capacity.connections, self.clock
        )
        owned = workers.OwnedWorker(worker, generation, target)
        # Control exchanges share the worker's connections with requests.
        owned.ledger.capacity -= resources.Resources(
            connections=dispatch_http.CONTROL_CONNECTIONS
        )
        follower = monitor.Monitor(
            worker.name, target, (self, self.runner), self.clock, self.counters
        )
        gevent.spawn(follower.follow)
        return owned

    def _gone(self, worker: str) -> bool:
        """Tell whether the platform's list says that `worker` is gone."""
        return any(
            listed.name == worker and listed.standing is inventory.Standing.GONE
            for listed in self.listing.workers
        )

    def _renew(self) -> None:
        self.lease.renew()

    def _refresh(self) -> None:
        listing = self.inventory.fetch()
        if isinstance(listing, result.Ok):
            self.listing = listing.ok_value
            self.peers.update(self.listing.instances)
        self.settings.refresh()
        own = [
            worker
            for worker in self.listing.workers
            if worker.data_centre == self.process.data_centre
            and worker.standing is inventory.Standing.LIVE
        ]
        self.owners.refresh(own)
        can_serve = any(owned.accepts() for owned in self.workers)
        self.front.ready = bool(self.settings.by_team) and can_serve

    def _forever(self, step: t.Callable[[], None], interval: float) -> None:
        while True:
            try:
                step()
            except Exception:
                # A fault in one round must not end the task that renews the
                # lease or reads the table; it is counted and tried again.
                self.counters.count("instance.step_failed")
                log.exception("step failed")
            self.clock.sleep(interval)


def health_of(owned: workers.OwnedWorker) -> str:
    """Return in one word whether a worker takes new work, and why if not."""
    if owned.leaving:
        return "leaving"
    return "taking" if owned.ready else "rebuilding"


def make_keys(
    settings: process.ProcessSettings, counters: telemetry.Counters
) -> keys.KeyStore | None:
    """Return the keys, or None where plain text was asked for."""
    if settings.plaintext:
        return None
    sources = keys.Sources(
        settings.tls_certificate or "",
        settings.tls_key or "",
        settings.tls_authority or "",
    )
    return keys.KeyStore(sources, counters)


def make_counters(settings: process.ProcessSettings) -> telemetry.StatsdCounters:
    """Return the counters, sent to statsd if an address is set."""
    if settings.statsd_address is None:
        return telemetry.StatsdCounters(None, 0)
    host, _, port = settings.statsd_address.rpartition(":")
    return telemetry.StatsdCounters(host, int(port))
