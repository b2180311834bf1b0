"""Space in the records of jobs, which limits how many of their tasks run at a time."""

import collections.abc as cabc

from mangosail.scheduler import progress, recording, sizes


def select_recordable(
    step_run: progress.StepRun, tasks: list[progress.Task]
) -> list[progress.Task]:
    """Return the waiting tasks of a step that fit into its job's record, if started.

    Tasks that already have a row come first. Without this limit the record of a job
    with thousands of tasks exceeded the maximum row length, and the leader sent it
    again for ever.
    """
    if not step_run.job.record_limited:
        return tasks
    with_row = [task for task in tasks if task.run]
    room = max(space_left(step_run.job) - sizes.MAX_NAME_BYTES, 0) // sizes.TASK_BYTES
    selected = with_row + [task for task in tasks if not task.run][:room]
    if step_run.step.gang and len(selected) < len(tasks):
        return []
    return selected


def count_recordable(
    job: progress.JobProgress, chosen: cabc.Sequence[tuple[progress.Task, str]]
) -> int:
    """Return how many of these tasks, in order, fit into the record.

    A task without a row leaves space for the longest worker name, so that one task
    can be started even when all tasks with a row are waiting again.
    """
    if not job.record_limited:
        return len(chosen)
    room = space_left(job)
    names = {task.worker for task in job.tasks()}
    for count, (task, name) in enumerate(chosen):
        if not task.has_record:
            room -= sizes.TASK_BYTES
        if name not in names:
            room -= len(name) + sizes.NAME_OVERHEAD_BYTES
        names.add(name)
        if room < (0 if task.has_record else sizes.MAX_NAME_BYTES):
            return count
    return len(chosen)


def space_left(job: progress.JobProgress) -> int:
    """Return the number of bytes that are left in the record."""
    # `Task.has_record` is inlined: this runs in each round for large jobs, and the
    # calls take seven times as long.
    new, done = progress.Phase.WAITING, progress.Phase.DONE
    begun = [
        task
        for step_run in job.steps.values()
        for task in step_run.tasks
        if task.phase is not done and (task.run or task.phase is not new)
    ]
    names = {task.worker for task in begun if task.worker}
    taken = sum(len(name) + sizes.NAME_OVERHEAD_BYTES for name in names)
    return job.spare_bytes - taken - len(begun) * sizes.TASK_BYTES


def has_room_for_copy(job: progress.JobProgress) -> bool:
    """Return whether the record has room for one more copy beside all tasks."""
    count = sum(len(step_run.tasks) for step_run in job.steps.values())
    needed = count * (sizes.TASK_BYTES + sizes.MAX_NAME_BYTES)
    needed += (len(recording.copy_rows(job)) + 1) * sizes.COPY_BYTES
    return needed <= job.spare_bytes
