"""Conversion of durable work to placement requests."""

from mangosail.placement import messages as placement_messages
from mangosail.work import messages


def placement_work(request: messages.Request) -> placement_messages.Work:
    """Return the work that placement needs to place `request`."""
    batch, task = placement_messages.WorkClass.BATCH, placement_messages.WorkClass.TASK
    return placement_messages.Work(
        messages.task_id_of(request),
        request.team,
        request.kind,
        request.needs,
        batch if request.job else task,
        request.job,
    )
