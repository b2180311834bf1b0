"""A process on the platform: connects the components and serves until stopped."""

import collections.abc as cabc
import dataclasses
import os
import random
import signal
import typing as t

import gevent
import gevent.event
import logbook

from mangosail import clock as clocks
from mangosail import limits as request_limits
from mangosail.front import capacity, memory, server
from mangosail.intake import catalogs, job_service, overload, peers, relaying
from mangosail.platform import (
    advisor,
    decoding,
    deployment,
    entries,
    ingress,
    peering,
    store,
    workers,
)
from mangosail.scheduler import (
    advice,
    handover,
    journal,
    leadership,
    options,
    scheduler,
    worker_limit,
)
from mangosail.telemetry import counters as telemetry
from mangosail.telemetry import exposition, logs

log = logbook.Logger("process")

#: Key of the operator's configuration, and prefixes of the rows that each close a data
#: centre and of the workers' entries.
CONFIG_KEY = "op//config"
CLOSED_PREFIX = "op//evacuate/"
WORKERS_PREFIX = "servers//"
#: Port of the metrics endpoint; also set in deploy/system.toml.
METRICS_PORT = 9464
#: Seconds for which a planned shutdown still serves callers until the load balancer
#: notices: two of its checks, and a margin.
NOT_READY_PERIOD_S = 2.3
#: Seconds before the kill by which a planned shutdown must be complete.
STOP_MARGIN_S = 0.8


class Process:
    """One instance: serves callers, and schedules while it holds the lease."""

    def __init__(
        self,
        settings: deployment.Deployment,
        enabled: options.Options = options.NONE,
    ) -> None:
        self.settings = settings
        self.options = enabled
        self.clock = clocks.SystemClock()
        self.counters = telemetry.StatsdCounters(None, 0)
        self.store = store.Store(settings.platform.address)
        self.catalog = catalogs.Catalogs(
            self.store,
            CONFIG_KEY,
            decoding.decode_catalog,
            self.clock,
            self.counters,
            settings.bounds.config_apply_ms / 1000,
            CLOSED_PREFIX,
        )
        rand = random.Random(f"{settings.node_name}{os.getpid()}{self.clock.wall()}")
        cores = settings.limits.cpu_share * settings.limits.cores
        late_jobs = None
        if enabled.refuse_late_jobs:
            late_jobs = overload.LateJobs(
                self.store,
                self.catalog.queue,
                self.clock,
                self.counters,
                rand,
                lambda: self.leadership.backlog_observed,
            )
        self.jobs = job_service.JobService(
            self.store, self.catalog.stale, self.clock, self.counters, late_jobs
        )
        self.peers = peers.Peers(
            self.store,
            peers.Peer(
                settings.node_name,
                settings.peer_address,
                data_centre=settings.zone,
                cores=cores,
            ),
            self.clock,
            self.counters,
            rand,
        )
        self.relay = relaying.Relay(
            self.peers, peering.HttpPeers().send, self.clock, self.counters
        )
        self.ingress = ingress.Ingress(
            self.catalog, self.jobs, self.clock, self.counters, self.relay
        )
        #: Handles requests that peers forward.
        self.peer_ingress = ingress.Ingress(
            self.catalog, self.jobs, self.clock, self.counters
        )
        self.readiness = ingress.Readiness(self.catalog)
        self.leadership = leadership.Leadership(
            self.store,
            settings.node_name,
            self.clock,
            self.counters,
            rand,
            cores,
        )
        self.successors = peering.HttpSuccessors(
            lambda: self.peers.known, settings.zone
        )
        if enabled.hand_over_lease:
            successor = handover.Successor(self.leadership, self.counters)
            self.peer_ingress.app.add_route(
                peering.HANDOVER_PATH, peering.HandoverResource(successor)
            )
        self.workers = workers.HttpWorkers(settings.limits.max_fds)
        #: What clients may hold, beside the store, peers and workers.
        self.capacity = capacity.of_machine(
            settings.limits.memory_mb, settings.limits.max_fds
        )
        self.budget = memory.Budget(self.capacity.request_bytes)
        self.advisor: advice.Advisor = advice.NoAdvisor()
        if settings.advice:
            self.advisor = advisor.HttpAdvisor(settings.advice)
        self.scheduler: scheduler.Scheduler | None = None
        self.stopping = False
        #: Set when the planned shutdown is complete; the process ends only then.
        self.stopped = gevent.event.Event()
        #: Those that serve callers, directly or through a peer.
        self.fronts: list[server.Server] = []

    def run(self) -> None:
        """Serve until the process is stopped."""
        gevent.signal_handler(signal.SIGHUP, self.reload)
        gevent.signal_handler(signal.SIGTERM, self.stop)
        gevent.spawn(self.catalog.watcher.run)
        self._start_checks(
            "ready", self.readiness.app, self.settings.listen_addrs.ready
        )
        self.limiter = server.RequestLimiter(self.ingress.app, self.counters)
        front = self.create_front()
        self.fronts.append(front)
        metrics_address = f"{self.settings.ip}:{METRICS_PORT}"
        self._start_checks(
            "metrics", exposition.Exposition(self.counters), metrics_address
        )
        if self.settings.peer_address:
            peer_front = self.create_peer_front(self.settings.peer_address)
            peer_front.start()
            self.fronts.append(peer_front)
            gevent.spawn(self.peers.run)
        gevent.spawn(self._lead_forever)
        log.info("started", data_centre=self.settings.zone, address=self.settings.ip)
        front.serve_until(self.stopped)
        log.info("stopped")

    def create_front(self) -> server.Server:
        """Return the server for callers, who leave workers what they need."""
        return self._create_server(
            "front",
            self.limiter,
            self.settings.listen_addrs.front,
            lambda: self.capacity.callers_beside(self.workers.connections()),
        )

    def create_peer_front(self, address: str) -> server.Server:
        """Return the server for peers."""
        return self._create_server(
            "peers", self.peer_ingress.app, address, lambda: self.capacity.peers
        )

    def _limits(self, path: str) -> request_limits.Limits:
        """Return the limits on a request, which are the operator's."""
        limits = self.catalog.limits()
        if path != peering.HANDOVER_PATH:
            return limits
        # The peer that asks does not wait for longer.
        return dataclasses.replace(limits, body_timeout=handover.ANSWER_TIMEOUT_S)

    def _start_checks(self, port: str, app: t.Any, address: str) -> None:
        """Serve the load balancer's checks, or readers of metrics."""
        self._create_server(port, app, address, lambda: self.capacity.checks).start()

    def _create_server(
        self,
        port: str,
        app: t.Any,
        address: str,
        max_connections: cabc.Callable[[], int],
    ) -> server.Server:
        return server.create(
            app,
            address,
            self.counters,
            port=port,
            limits=self._limits,
            max_connections=max_connections,
            budget=self.budget,
        )

    def _lead_forever(self) -> None:
        """Compete for the lease, and schedule whenever it is held."""
        while not self.stopping:
            held = self.leadership.check()
            if held is None:
                self.leadership.wait_for_check()
                continue
            self._lead(held)
        held = self.leadership.close()
        if held is not None:
            # Claimed on request while the shutdown began: it is released at once.
            self._lead(held)

    def _lead(self, held: journal.HeldLease) -> None:
        self.scheduler = scheduler.Scheduler(
            self.store,
            self.workers,
            held,
            self.catalog.current,
            entries.decode_entry,
            WORKERS_PREFIX,
            self.settings.bounds.status_s,
            self.advisor,
            self.clock,
            self.counters,
            self.catalog.closed_data_centres,
            worker_limit.max_workers(self.leadership.cores, self.workers.max_workers),
            self.settings.bounds.hold_max_ms / 1000,
            self.options,
            self.successors,
        )
        # The store refuses this instance, so another one should go on leading.
        self.scheduler.on_handed_over = self.leadership.back_off
        # Its jobs may be of a newer configuration than this instance has read.
        self.scheduler.on_catalog_version = self.catalog.invalidate
        if self.stopping:
            # The shutdown began during the claim, when there was nothing to release.
            # Without this the next leader would have to wait until the lease times out.
            log.info("lease acquired while stopping", token=held.lease.token)
            self.scheduler.stop()
        monitor = gevent.spawn(self.leadership.release_when_slow, self.scheduler.stop)
        try:
            self.scheduler.run()
        except Exception:
            # An error here must not stop the instance: another one takes over as
            # leader, and this one continues to serve callers.
            self.counters.count("process.scheduler_failed")
            log.exception("scheduler failed")
        finally:
            monitor.kill(block=False)
            self.leadership.ended()
            self.scheduler = None

    def reload(self) -> None:
        """Log the signal; settings that may change have no effect here."""
        log.info("reload")

    def stop(self) -> None:
        """Begin a planned shutdown; later calls do nothing."""
        if self.stopping:
            return
        self.stopping = True
        self.leadership.closed = True
        deadline = self.clock.elapsed() + self.settings.bounds.grace_s - STOP_MARGIN_S
        try:
            self._stop(deadline)
        finally:
            self.stopped.set()

    def _stop(self, deadline: float) -> None:
        log.info("stopping")
        self.readiness.draining = True
        self.limiter.closing = True
        if self.scheduler is not None:
            self.scheduler.stop()
        if self.settings.peer_address:
            gevent.spawn(self.peers.deregister)
        self.clock.sleep(NOT_READY_PERIOD_S)
        for front in self.fronts:
            front.close()
        # Side by side: callers find no connection here until the next process serves.
        gevent.joinall(
            [
                gevent.spawn(front.finish_requests, self.clock.elapsed, deadline)
                for front in self.fronts
            ]
        )


def main() -> None:
    """Run a process with the settings file that the environment names."""
    path = os.environ.get(deployment.SETTINGS_VARIABLE, "")
    settings = deployment.read(path)
    disabled = os.environ.get(deployment.DISABLED_OPTIONS_VARIABLE, "")
    enabled = settings.scheduler_options.without(disabled)
    handler = logs.setup(settings.node_name, settings.zone)
    try:
        Process(settings, enabled).run()
    finally:
        handler.flush()
