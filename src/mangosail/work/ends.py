"""Ends of work that are known here and that the table does not have yet."""

from mangosail.work import messages, outcomes, registry


class Ends:
    """The unwritten ends of this instance's own tasks."""

    def __init__(self, tasks: registry.Registry) -> None:
        self.tasks = tasks

    def find(self, work: messages.Generation) -> messages.End | None:
        """Return the end of `work`, or None if it is not known here."""
        task = self.tasks.get(f"{work.team}/{work.request_id}")
        if task is None or task.pending_row is None:
            return None
        end = outcomes.end_of(task.pending_row)
        return end if end is not None and end.work == work else None

    def find_for_peer(self, work: messages.Generation) -> messages.FoundEnd:
        """Answer a peer that is about to give `work` up as lost."""
        return messages.FoundEnd(self.find(work))
