"""Ends of work that are known here and that the table does not have yet.

A worker reports an end to the instance that owns it. Until the row has the end, only
the two know it, and both may go. So an end that the table does not take is told to
peers, which keep it and write it in that instance's place.
"""

import collections.abc as cabc
import dataclasses

import logbook

from mangosail import codec
from mangosail.work import keepers, messages, outcomes, registry

log = logbook.Logger("work")

#: Maximum number of ends kept for peers, and their maximum total size as sent.
MAX_KEPT = 4096
MAX_KEPT_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class KeptEnd:
    """An end kept for a peer."""

    end: messages.End
    size_bytes: int
    #: The peers that keep it as well, as far as this instance has told them.
    told: frozenset[keepers.Keeper] = frozenset()


class Ends:
    """The unwritten ends of this instance's own tasks, and those kept for peers."""

    def __init__(self, tasks: registry.Registry, peers: keepers.EndPeers) -> None:
        self.tasks = tasks
        self.peers = peers
        self.kept: dict[messages.Generation, KeptEnd] = {}
        self.kept_bytes = 0
        #: Called with each end that a peer tells for the first time.
        self.on_kept: cabc.Callable[[messages.End], object] | None = None

    def find(self, work: messages.Generation) -> messages.End | None:
        """Return the end of `work`, or None if it is not known here."""
        kept = self.kept.get(work)
        if kept is not None:
            return kept.end
        task = self.tasks.get(work.task_id)
        end = own_end(task) if task is not None else None
        return end if end is not None and end.work == work else None

    def find_for_peer(self, work: messages.Generation) -> messages.FoundEnd:
        """Answer a peer that is about to give `work` up as lost."""
        return messages.FoundEnd(self.find(work))

    def keep_for_peer(self, end: messages.End) -> messages.EndKept:
        """Keep an end for a peer that can't write it, unless too many are kept."""
        if self.find(end.work) is not None:
            return messages.EndKept(True)
        size = len(codec.to_msgpack(end))
        if len(self.kept) >= MAX_KEPT or self.kept_bytes + size > MAX_KEPT_BYTES:
            return messages.EndKept(False)
        self.kept[end.work] = KeptEnd(end, size)
        self.kept_bytes += size
        log.info("end kept for a peer", **log_fields(end))
        if self.on_kept is not None:
            self.on_kept(end)
        return messages.EndKept(True)

    def forget(self, work: messages.Generation) -> None:
        """Forget an end that was kept: the table has an end of this work."""
        kept = self.kept.pop(work, None)
        if kept is not None:
            self.kept_bytes -= kept.size_bytes

    def tell(self, task: registry.Task) -> None:
        """Have peers keep the unwritten end of an own task, if it has one."""
        end = own_end(task)
        if end is not None:
            task.told = self._tell(end, task.told)

    def tell_kept(self) -> None:
        """Have other peers keep what is kept here."""
        for kept in list(self.kept.values()):
            kept.told = self._tell(kept.end, kept.told)

    def _tell(
        self, end: messages.End, known: frozenset[keepers.Keeper]
    ) -> frozenset[keepers.Keeper]:
        told = self.peers.tell(end, known)
        if told != known:
            names = sorted(keeper.name for keeper in told)
            log.info("end told to peers", peers=names, **log_fields(end))
        return told

    def known_here_only(self) -> list[messages.End]:
        """Return the unwritten ends that no running peer keeps."""
        running = self.peers.running()
        own = [(own_end(task), task.told) for task in self.tasks]
        kept = [(each.end, each.told) for each in self.kept.values()]
        return [
            end for end, told in [*own, *kept] if end is not None and not told & running
        ]


def own_end(task: registry.Task) -> messages.End | None:
    """Return the end of a task that is known and was not written yet."""
    row = task.pending_row
    return outcomes.end_of(row) if row is not None else None


def log_fields(end: messages.End) -> dict[str, object]:
    """Return the log fields of an end."""
    return {
        "task": end.work.task_id,
        "generation": end.work.number,
        "state": end.state.value,
    }
