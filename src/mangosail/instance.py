"""One entry instance: puts the slices together and serves until it is stopped."""

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
    context,
    description,
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
from mangosail.platform import batching, listed
from mangosail.platform import caller as platform_caller
from mangosail.platform import http as platform_http
from mangosail.settings import changes, process, spread, state
from mangosail.settings import methods as settings_methods
from mangosail.telemetry import counters as telemetry
from mangosail.tls import keys
from mangosail.work import claims, forwarding, runner
from mangosail.work import methods as work_methods

log = logbook.Logger("instance")

#: Seconds between readings of the table and of the platform's list.
REFRESH_INTERVAL = 1.0


class Instance:
    """An entry instance, made from its process settings.

    Parts come after those that they are made of; `run` starts their tasks.
    """

    def __init__(self, settings: process.ProcessSettings) -> None:
        self.process = settings
        self.clock = clocks.SystemClock()
        self.counters = make_counters(settings)
        self.keys = make_keys(settings, self.counters)
        self._reach_platform()
        self._know_peers()
        self._own_workers()
        self._run_jobs()
        self._open_front()

    def _reach_platform(self) -> None:
        """Make what is read from and written to the platform."""
        caller = platform_caller.Caller(
            self.process.platform_address,
            headers={"X-Instance": self.process.instance},
        )
        self.table = platform_http.HttpTable(caller)
        self.objects = platform_http.HttpObjects(caller)
        self.listed = listed.Listed(platform_http.HttpInventory(caller))
        self.grouped = batching.GroupCommit(
            self.table, self.counters, self.process.commit_window
        )
        self.settings = state.Settings(
            self.table, self.clock, self.counters, self._seed()
        )
        self.changes = changes.Changes(
            self.table, self.settings, self.clock, self.counters, self._seed()
        )

    def _seed(self) -> int:
        """Return the seed that was set, or one drawn for each who asks."""
        return self.process.seed or random.getrandbits(32)

    def _may_own(self) -> bool:
        """Tell whether this instance may come to own a worker within seconds.

        Without the table it can take none: a caller's watch waited 5 s for nothing.
        """
        listed = self.listed.live(self.process.data_centre)
        return bool(listed) and self.lease.may_take()

    def _know_peers(self) -> None:
        """Make what is asked of peers and told to them."""
        self.peers = membership.Peers(
            self.process.instance,
            self.process.data_centre,
            self.heartbeat_message,
            self.clock,
            self.counters,
            self.keys,
        )
        self.spread = spread.Spread(
            self.settings, self.peers, self.process.data_centre, self.counters
        )

    def _own_workers(self) -> None:
        """Make what takes workers into ownership and starts work there."""
        row = session.first_row(
            self.process.instance, self.process.data_centre, self.process.peer_address
        )
        self.lease = session.Session(self.table, self.clock, row)
        self.workers = workers.Workers()
        self.placer = placer.Placer(
            self.workers,
            self.process.chooser,
            self.process.seed,
            self.clock,
            self.counters,
            quotas=self.settings.declared_quota,
            capacities=self.listed.capacities,
        )
        self.runner = runner.Runner(
            claims.Claims(self.grouped),
            self.workers,
            self.placer,
            self.lease,
            self.clock,
            self.counters,
            forwarder=forwarding.Forwarding(
                self.peers, self.process.data_centre, self.clock, self.counters
            ),
            store=self.objects,
            is_worker_gone=self.listed.gone,
        )
        self.following = monitoring.Following(
            self.workers,
            (self.placer, self.runner),
            invariants.Invariants(
                self.counters, self.process.abort_on_broken_invariant
            ),
            self.clock,
            self.counters,
        )
        self.owners = owners.Owners(
            self.table,
            self.lease,
            session_observer.Sightings(self.clock, self.lease.term),
            self.workers,
            connector.HttpBench(self.lease.valid, self.clock, self.counters),
            (self.following,),
            self.clock,
            self.counters,
        )

    def _run_jobs(self) -> None:
        """Make what sees to batch jobs, on own workers and at peers."""
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
            self.owners.seen,
            self.lease,
            self.clock,
            self.counters,
        )

    def _open_front(self) -> None:
        """Make what serves callers, operators and peers."""
        seen = tails.Tails()
        self.control = loop.ControlLoop(
            self.workers,
            seen,
            self.runner,
            self.settings,
            self.lease,
            self.clock,
            self.counters,
        )
        self.front = context.Front(
            settings=self.settings,
            quotes=quotes.Quotes(
                self.placer, self.peers, self.lease, self.clock, self.counters, seen
            ),
            runner=self.runner,
            jobs=self.jobs,
            owned=self.workers,
            watches=streams.Watches(
                self.workers, self._may_own, self.clock, self.counters
            ),
            clock=self.clock,
            counters=self.counters,
            describer=description.Describer(
                jobs=self.jobs,
                runner=self.runner,
                settings=self.settings,
                lease=self.lease,
                owned=self.workers,
                peers=self.peers,
                clock=self.clock,
                counters=self.counters,
            ),
            peers=self.peers,
            capacities=self.listed.capacities,
        )
        self.administration = administration.Administration(
            self.front, self.changes, self.spread, self.process.admin_token_sha256
        )
        self.upkeep = upkeep.Upkeep(
            self.listed, self.owners, self.workers, self.peers, self.front
        )

    def run(self) -> None:
        """Serve until the process is stopped."""
        # Dropped, the server would be collected and would stop listening.
        peer_server = rpc.serve(
            self._served(), self.process.peer_address, self.keys, self.peers.by_name
        )
        self._start_tasks()
        gate = server.Gate(app.create(self.front, self.administration), self.counters)
        tls = self.keys.context if self.keys is not None else None
        httpd = server.create(gate, self.process.http_address, self.counters, tls)
        gevent.signal_handler(signal.SIGTERM, self._drain(httpd, peer_server).run)
        log.info("serving", address=self.process.http_address)
        httpd.serve_forever()
        peer_server.stop(grace=0)

    def heartbeat_message(
        self, asks_for_peers: bool = False
    ) -> peer_messages.Heartbeat:
        """Return our state as peers are told it."""
        return peer_messages.Heartbeat(
            self.process.instance,
            self.lease.row.incarnation,
            self.process.data_centre,
            self.workers.free(),
            settings_sequence=self.settings.sequence,
            settings_age=self.settings.age(),
            peer_address=self.process.peer_address,
            asks_for_peers=asks_for_peers,
            draining=self.front.draining,
        )

    def _served(self) -> tuple[rpc.Served, ...]:
        """Return what each of the peers' methods is answered by."""
        front = peering.Peering(self.front)
        return (
            methods.HEARTBEAT.served_by(self.peers.heartbeat),
            front_methods.FORWARD.served_by(front.forward),
            front_methods.DESCRIBE.served_by(front.describe),
            work_methods.SUBMIT.served_by(self.runner.submit_for_peer),
            work_methods.CANCEL.served_by(self.runner.cancel_for_peer),
            settings_methods.SINCE.served_by(self.spread.tell),
            job_methods.OFFER.served_by(self.offers.accept),
            job_methods.TASK_ENDED.served_by(self.jobs.task_ended),
        )

    def _start_tasks(self) -> None:
        loops = upkeep.Loops(self.clock, self.counters)
        loops.start(self.upkeep.renew, session.RENEWAL_INTERVAL)
        loops.start(self.upkeep.refresh, REFRESH_INTERVAL)
        gevent.spawn(self.grouped.run)
        loops.start(self.runner.sweep, REFRESH_INTERVAL)
        loops.start(self.settings.refresh, REFRESH_INTERVAL)
        loops.start(self.spread.learn, spread.LEARN_INTERVAL)
        gevent.spawn(self.jobs.place_forever)
        if self.process.control is process.Control.ON:
            loops.start(self.control.step, loop.INTERVAL_S)
        loops.start(self.jobs.recorder.record, recording.RECORD_INTERVAL_S)
        loops.start(self.takeover.refresh, REFRESH_INTERVAL)
        gevent.spawn(self.counters.flush_forever)
        if self.keys is not None:
            gevent.spawn(self.keys.watch_forever)

    def _drain(self, httpd: server.Server, peer_server: grpc.Server) -> stopping.Drain:
        """Return the planned stop, which ends by handing all workers over."""

        def stop_peers(grace: float) -> None:
            peer_server.stop(grace).wait(grace)

        return stopping.Drain(
            self.front,
            httpd,
            stop_peers,
            self.owners.release_all,
            self.clock,
            self.counters,
            self.process.drain_seconds,
        )


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
