"""One entry instance: wires the components together and serves until stopped."""

import random
import signal

import gevent
import grpc
import logbook

from mangosail import clock as clocks
from mangosail import invariants, upkeep
from mangosail.control import loop, tails
from mangosail.front import (
    app,
    capacity,
    context,
    description,
    memory,
    peering,
    quotes,
    server,
    stopping,
    streams,
)
from mangosail.front import methods as front_methods
from mangosail.front import settings as administration
from mangosail.jobs import methods as job_methods
from mangosail.jobs import offers, queue, recording, records, room
from mangosail.jobs import takeover as job_takeover
from mangosail.membership import messages as peer_messages
from mangosail.membership import methods, rpc
from mangosail.membership import peers as membership
from mangosail.ownership import connector, monitoring, owners, session, session_observer
from mangosail.placement import placer, workers
from mangosail.platform import batching, inventory_cache
from mangosail.platform import caller as platform_caller
from mangosail.platform import http as platform_http
from mangosail.settings import changes, exchange, process, state
from mangosail.settings import methods as settings_methods
from mangosail.telemetry import counters as telemetry
from mangosail.tls import keys
from mangosail.work import claims, forwarding, keepers, runner
from mangosail.work import methods as work_methods

log = logbook.Logger("instance")

#: Seconds between reads of the table and of the platform's list.
REFRESH_INTERVAL_S = 1.0


class Instance:
    """An entry instance, created from its process settings.

    Components are created after those that they depend on; `run` starts their tasks.
    """

    def __init__(self, settings: process.ProcessSettings) -> None:
        self.process_settings = settings
        self.clock = clocks.SystemClock()
        self.counters = make_counters(settings)
        self.keys = make_keys(settings, self.counters)
        self._create_platform_clients()
        self._create_peers()
        self._create_ownership()
        self._create_jobs()
        self._create_front()

    def _create_platform_clients(self) -> None:
        """Create the clients of the platform, and the settings read through them."""
        caller = platform_caller.Caller(
            self.process_settings.platform_address,
            headers={"X-Instance": self.process_settings.instance},
        )
        self.table = platform_http.HttpTable(caller)
        self.objects = platform_http.HttpObjects(caller)
        self.inventory = inventory_cache.InventoryCache(
            platform_http.HttpInventory(caller)
        )
        self.group_commit = batching.GroupCommit(
            self.table, self.counters, self.process_settings.commit_window
        )
        self.settings = state.Settings(
            self.table, self.clock, self.counters, self._seed()
        )
        self.changes = changes.Changes(
            self.table, self.settings, self.clock, self.counters, self._seed()
        )

    def _seed(self) -> int:
        """Return the configured seed, or else a new random one on each call."""
        return self.process_settings.seed or random.getrandbits(32)

    def _may_own_workers(self) -> bool:
        """Return whether this instance may acquire a worker within seconds.

        It can't while the table is unreachable: a watch would wait for 5 s in vain.
        """
        listed = self.inventory.live_workers(self.process_settings.data_centre)
        return bool(listed) and self.lease.may_claim()

    def _create_peers(self) -> None:
        """Create the components that communicate with peers."""
        self.peers = membership.Peers(
            self.process_settings.instance,
            self.process_settings.data_centre,
            self.heartbeat_message,
            self.clock,
            self.counters,
            self.keys,
        )
        self.settings_exchange = exchange.SettingsExchange(
            self.settings, self.peers, self.process_settings.data_centre, self.counters
        )

    def _create_ownership(self) -> None:
        """Create the components that acquire workers and start work on them."""
        row = session.new_session_row(
            self.process_settings.instance,
            self.process_settings.data_centre,
            self.process_settings.peer_address,
        )
        self.lease = session.Session(self.table, self.clock, row)
        self.workers = workers.Workers()
        self.placer = placer.Placer(
            self.workers,
            self.process_settings.chooser,
            self.process_settings.seed,
            self.clock,
            self.counters,
            quotas=self.settings.declared_quota,
            capacities=self.inventory.capacities,
        )
        self.runner = runner.Runner(
            claims.Claims(self.group_commit),
            self.workers,
            self.placer,
            self.lease,
            self.clock,
            self.counters,
            forwarder=forwarding.Forwarding(
                self.peers, self.process_settings.data_centre, self.clock, self.counters
            ),
            store=self.objects,
            is_worker_gone=self.inventory.is_worker_gone,
            end_peers=keepers.PeerInstances(
                self.peers, self.process_settings.data_centre, self.counters
            ),
        )
        self.worker_monitors = monitoring.WorkerMonitors(
            self.workers,
            (self.placer, self.runner),
            invariants.Invariants(
                self.counters, self.process_settings.abort_on_broken_invariant
            ),
            self.clock,
            self.counters,
        )
        self.owners = owners.Owners(
            self.table,
            self.lease,
            session_observer.SessionObserver(self.clock, self.lease.lease_duration),
            self.workers,
            connector.HttpConnector(self.lease.valid, self.clock, self.counters),
            (self.worker_monitors,),
            self.clock,
            self.counters,
        )

    def _create_jobs(self) -> None:
        """Create the components that run batch jobs, on own workers and at peers."""
        self.room = room.Room(
            self.workers, self.placer, self.runner, self.clock, self.counters
        )
        self.offers = offers.TaskOffers(
            self.peers, self.runner, self.room, self.lease, self.clock, self.counters
        )
        self.jobs = queue.JobQueue(
            records.Records(self.table),
            self.runner,
            self.room,
            self.offers,
            self.lease,
            self.settings.quota,
            self.clock,
            self.counters,
        )
        self.runner.end_listeners.append(self.jobs.on_end)
        self.takeover = job_takeover.Takeover(
            self.table,
            self.jobs,
            self.owners.sessions,
            self.lease,
            self.clock,
            self.counters,
        )

    def _create_front(self) -> None:
        """Create the components that serve callers, operators and peers."""
        tail_latencies = tails.Tails()
        self.control = loop.ControlLoop(
            self.workers,
            tail_latencies,
            self.runner,
            self.settings,
            self.lease,
            self.clock,
            self.counters,
        )
        self.front = context.Front(
            settings=self.settings,
            quotes=quotes.Quotes(
                self.placer,
                self.peers,
                self.lease,
                self.clock,
                self.counters,
                tail_latencies,
            ),
            runner=self.runner,
            jobs=self.jobs,
            owned_workers=self.workers,
            watches=streams.Watches(
                self.workers, self._may_own_workers, self.clock, self.counters
            ),
            clock=self.clock,
            counters=self.counters,
            describer=description.Describer(
                jobs=self.jobs,
                runner=self.runner,
                settings=self.settings,
                lease=self.lease,
                owned_workers=self.workers,
                peers=self.peers,
                clock=self.clock,
                counters=self.counters,
            ),
            peers=self.peers,
            capacities=self.inventory.capacities,
        )
        self.administration = administration.Administration(
            self.front,
            self.changes,
            self.settings_exchange,
            self.process_settings.admin_token_sha256,
        )
        self.upkeep = upkeep.Upkeep(
            self.inventory, self.owners, self.workers, self.peers, self.front
        )

    def run(self) -> None:
        """Serve until the process is stopped."""
        # Keep a reference: without one the server would be garbage collected and would
        # stop listening.
        machine = capacity.of_machine(
            self.process_settings.memory_mb, self.process_settings.max_fds
        )
        peer_server = rpc.serve(
            self._rpc_handlers(),
            self.process_settings.peer_address,
            self.keys,
            self.peers.by_name,
            machine.peers,
        )
        self._start_tasks()
        gate = server.RequestLimiter(
            app.create(self.front, self.administration), self.counters
        )
        tls = self.keys.context if self.keys is not None else None
        httpd = server.create(
            gate,
            self.process_settings.http_address,
            self.counters,
            tls,
            limits=lambda path: context.REQUEST_LIMITS,
            max_connections=lambda: machine.callers,
            budget=memory.Budget(machine.request_bytes),
        )
        drain = self._drain(httpd, peer_server)
        gevent.signal_handler(signal.SIGTERM, drain.run)
        log.info("serving", address=self.process_settings.http_address)
        httpd.serve_until(drain.ended)
        peer_server.stop(grace=0)
        self.counters.flush()

    def heartbeat_message(
        self, asks_for_peers: bool = False
    ) -> peer_messages.Heartbeat:
        """Return our state as sent to peers."""
        return peer_messages.Heartbeat(
            self.process_settings.instance,
            self.lease.row.incarnation,
            self.process_settings.data_centre,
            self.workers.free(),
            settings_sequence=self.settings.sequence,
            settings_age=self.settings.age(),
            peer_address=self.process_settings.peer_address,
            asks_for_peers=asks_for_peers,
            draining=self.front.draining,
        )

    def _rpc_handlers(self) -> tuple[rpc.MethodHandler, ...]:
        """Return the handlers of all methods that peers may call."""
        front = peering.PeerHandlers(self.front)
        return (
            methods.HEARTBEAT.with_handler(self.peers.handle_heartbeat),
            front_methods.FORWARD.with_handler(front.forward),
            front_methods.DESCRIBE.with_handler(front.describe),
            work_methods.SUBMIT.with_handler(self.runner.submit_for_peer),
            work_methods.CANCEL.with_handler(self.runner.cancel_for_peer),
            work_methods.KEEP_END.with_handler(self.runner.ends.keep_for_peer),
            work_methods.FIND_END.with_handler(self.runner.ends.find_for_peer),
            settings_methods.SINCE.with_handler(self.settings_exchange.handle_since),
            job_methods.OFFER.with_handler(self.offers.accept),
            job_methods.TASK_ENDED.with_handler(self.jobs.task_ended),
        )

    def _start_tasks(self) -> None:
        periodic_tasks = upkeep.PeriodicTasks(self.clock, self.counters)
        periodic_tasks.start(self.upkeep.renew, session.RENEWAL_INTERVAL_S)
        periodic_tasks.start(self.upkeep.refresh, REFRESH_INTERVAL_S)
        gevent.spawn(self.group_commit.run)
        periodic_tasks.start(self.runner.sweep, REFRESH_INTERVAL_S)
        periodic_tasks.start(self.settings.refresh, REFRESH_INTERVAL_S)
        periodic_tasks.start(
            self.settings_exchange.fetch_from_peers, exchange.LEARN_INTERVAL_S
        )
        gevent.spawn(self.jobs.place_forever)
        if self.process_settings.control is process.Control.ON:
            periodic_tasks.start(self.control.step, loop.INTERVAL_S)
        periodic_tasks.start(self.jobs.recorder.record, recording.RECORD_INTERVAL_S)
        periodic_tasks.start(self.takeover.refresh, REFRESH_INTERVAL_S)
        gevent.spawn(self.counters.flush_forever)
        if self.keys is not None:
            gevent.spawn(self.keys.watch_forever)

    def _drain(self, httpd: server.Server, peer_server: grpc.Server) -> stopping.Drain:
        """Return the planned shutdown, which ends by handing over all workers."""

        def stop_peers(grace: float) -> None:
            peer_server.stop(grace).wait(grace)

        return stopping.Drain(
            self.front,
            httpd,
            self.runner.settling.wait,
            stop_peers,
            self.owners.release_all,
            self.clock,
            self.counters,
            self.process_settings.drain_seconds,
        )


def make_keys(
    settings: process.ProcessSettings, counters: telemetry.Counters
) -> keys.KeyStore | None:
    """Return the TLS keys, or None if plain text is configured."""
    if settings.plaintext:
        return None
    sources = keys.Sources(
        settings.tls_certificate or "",
        settings.tls_key or "",
        settings.tls_authority or "",
    )
    return keys.KeyStore(sources, counters)


def make_counters(settings: process.ProcessSettings) -> telemetry.StatsdCounters:
    """Return the counters, which are sent to statsd if an address is configured."""
    if settings.statsd_address is None:
        return telemetry.StatsdCounters(None, 0)
    host, _, port = settings.statsd_address.rpartition(":")
    return telemetry.StatsdCounters(host, int(port))
