"""Routes: which workers run the tasks of a job, by the newest configuration.

Jobs outlast configurations: their queue may move to another service while they are at
work, or be removed. Then the last known route holds, and without one that of the
hand-in. A route that differs from the latter is written to the store for the next
leader, which may not have followed the configuration.

The configuration that this instance has read may be older than the one under which a
job was accepted. Then the route of the hand-in is the newer one.
"""

import collections.abc as cabc
import dataclasses

import logbook

from mangosail import codec
from mangosail.scheduler import messages, progress

log = logbook.Logger("routing")

#: Maximum length of the encoded routes in bytes, half of what fits in a row.
MAX_ENCODED_BYTES = 32_768


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The service whose workers run the tasks of a queue."""

    service: str
    #: True if starts need a ticket of the advice service.
    needs_advice: bool = False


class Router:
    """Finds the routes of jobs::

    Router(jobs, catalogs.current).route(job).service
    """

    def __init__(
        self,
        jobs: cabc.Mapping[str, progress.JobProgress],
        catalog: cabc.Callable[[], messages.Catalog | None],
    ) -> None:
        self.jobs = jobs
        self.catalog = catalog
        #: The configuration in force, its queues and their routes by name.
        self.current_catalog: messages.Catalog | None = None
        self.queues: dict[str, messages.Queue] = {}
        self.routes: dict[str, Route] = {}
        #: Last known routes of removed queues whose jobs have not ended, by name.
        self.removed: dict[str, Route] = {}
        #: The encoded routes in the store, and whether others may have to be stored.
        self.stored_text = ""
        self.changed = False

    def refresh(self) -> None:
        """Use the configuration in force, if it has changed."""
        catalog = self.catalog()
        if catalog is not self.current_catalog:
            self._install(catalog)

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; 0 if there is none."""
        return self.current_catalog.version if self.current_catalog else 0

    def queue(self, name: str) -> messages.Queue | None:
        """Return a queue of the configuration in force; None if it has been removed.

        The queues are indexed by name once per version: the configuration can have
        hundreds of them, and each round asks for the queue of every step.
        """
        self.refresh()
        return self.queues.get(name)

    def route(self, job: messages.Job) -> Route:
        """Return the route of a job's tasks."""
        self.refresh()
        name = job.queue
        if job.catalog_version > self.version:
            return route_at_hand_in(job)
        return self.routes.get(name) or self.removed.get(name) or route_at_hand_in(job)

    def service_of(self, job: messages.Job) -> str:
        """Return the service whose workers run a job's tasks."""
        return self.route(job).service

    def needs_advice(self, job: progress.JobProgress) -> bool:
        """Return whether the starts of a job's tasks need a ticket."""
        return job.ticket_demanded or self.route(job.job).needs_advice

    def record_job(self, job: messages.Job) -> None:
        """Record a job that this leader has taken on."""
        self.changed |= self.route(job) != route_at_hand_in(job)

    def _install(self, catalog: messages.Catalog | None) -> None:
        """Use a new configuration; remember the routes of queues that it removes."""
        before = self.routes
        self.current_catalog = catalog
        self.queues = {queue.name: queue for queue in catalog.queues} if catalog else {}
        self.routes = {
            name: Route(queue.service, queue.needs_advice)
            for name, queue in self.queues.items()
        }
        self.changed = True
        used = {job.job.queue for job in self.jobs.values() if not job.ended}
        removed = {name: route for name, route in self.removed.items() if name in used}
        for name in used & before.keys() - self.routes.keys():
            removed[name] = before[name]
            log.info(
                "queue with jobs removed", queue=name, service=before[name].service,
                needs_advice=before[name].needs_advice,
            )  # fmt: skip
        self.removed = removed
        for job in self.jobs.values():
            # Workers may go by the new configuration too.
            job.ticket_demanded = False

    def restore(self, text: str) -> None:
        """Restore the routes that an earlier leader has stored.

        Raises `codec.DecodeError` if they can't be decoded.
        """
        self.removed = codec.from_json(text, dict[str, Route])
        self.stored_text = text
        self.changed = True

    def text_to_store(self) -> str | None:
        """Return the routes to store for the next leader; None if they are stored."""
        self.refresh()
        if not self.changed:
            return None
        self.changed = False
        routes = {}
        for job in self.jobs.values():
            route = self.route(job.job)
            if not job.ended and route != route_at_hand_in(job.job):
                routes[job.job.queue] = route
        text = codec.to_json(dict(sorted(routes.items())))
        if text == self.stored_text or not (routes or self.stored_text):
            return None
        if len(text.encode()) > MAX_ENCODED_BYTES:
            log.warning("too many routes to store", routes=len(routes))
            return None
        self.stored_text = text
        return text


def route_at_hand_in(job: messages.Job) -> Route:
    """Return the route that a job's queue had when the job was handed in."""
    return Route(job.service, job.needs_advice)
