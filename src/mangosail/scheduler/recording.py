"""Recording of progress: what of a job goes into its row, and how it fits there.

``recording.encode(job)`` returns the text of the row; `progress.JobProgress.restore` is
the way back.
"""

from mangosail.platform import table
from mangosail.scheduler import progress, records


def to_record(
    job: progress.JobProgress, checkpoints: bool = True, assignments: bool = True
) -> records.JobRecord:
    """Return the record of the current progress.

    A run that is only known from an assignment is recorded as one again, or as a
    run that may exist if `assignments` are left out.
    """
    if job.ended:
        return records.JobRecord(
            state=job.state, drop_at=job.drop_at, failure=job.failure
        )
    workers: dict[str, int] = {}
    rows = task_rows(job, workers, checkpoints, assignments)
    done = tuple(done_row(each) for each in job.steps.values() if each.done_count)
    assigned = assignment_rows(job, workers) if assignments else ()
    crashes = crash_rows(job)
    return records.JobRecord(
        job.state,
        tuple(workers),
        rows,
        done,
        crashes,
        crashes_proved=bool(crashes),
        assignments=assigned,
        copies=copy_rows(job),
        suspects=suspect_rows(job) if checkpoints else (),
        failed_runs=failed_run_rows(job),
    )


def task_rows(
    job: progress.JobProgress,
    workers: dict[str, int],
    checkpoints: bool,
    assignments: bool,
) -> tuple[tuple[int, int, int, int, int, int, str], ...]:
    """Return rows of `TaskRecord`; adds their workers to `workers`."""
    rows = []
    for task in job.tasks():
        if not task.has_record:
            continue
        run, worker = task.run, task.worker
        if assignments and task.from_assignment:
            run, worker = run - 1, ""
            if not run:
                continue
        position = -1
        if worker:
            position = workers.setdefault(worker, len(workers))
        rows.append(
            (
                task.step_run.occurrence,
                task.step_run.number,
                task.index,
                run,
                task.failures,
                position,
                task.checkpoint if checkpoints else "",
            )
        )
    return tuple(rows)


def assignment_rows(
    job: progress.JobProgress, workers: dict[str, int]
) -> tuple[tuple[int, int, tuple[int, ...]], ...]:
    """Return rows of `AssignmentRecord`; adds their workers to `workers`."""
    if not job.may_have_assignments:
        return ()
    rows = []
    for step_run in job.steps.values():
        positions = []
        for task in step_run.tasks:
            name = ""
            if task.phase is progress.Phase.WAITING:
                name = task.assigned_worker
            elif task.from_assignment:
                name = task.worker
            positions.append(workers.setdefault(name, len(workers)) if name else -1)
        while positions and positions[-1] < 0:
            positions.pop()
        if positions:
            rows.append((step_run.occurrence, step_run.number, tuple(positions)))
    return tuple(rows)


def copy_rows(job: progress.JobProgress) -> tuple[tuple[int, int, int, int, str], ...]:
    """Return rows of `CopyRecord`: of copies that may run, or that had a number.

    Without the numbers, the next leader would give them to further copies, which
    workers that ended the earlier ones reject.
    """
    if not job.may_have_copies:
        return ()
    rows = []
    for step_run in job.steps.values():
        place = step_run.occurrence, step_run.number
        for task in step_run.tasks:
            copy = step_run.copies.get(task.index)
            if copy is not None:
                rows.append((*place, task.index, copy.run, copy.worker))
            elif task.copied_run > task.run and task.phase is not progress.Phase.DONE:
                rows.append((*place, task.index, task.copied_run, ""))
    return tuple(rows)


def crash_rows(job: progress.JobProgress) -> tuple[tuple[int, int, int, int, int], ...]:
    """Return rows of `CrashRecord`."""
    return tuple(
        (
            task.step_run.occurrence,
            task.step_run.number,
            task.index,
            task.crashes,
            task.certain_crashes,
        )
        for task in job.tasks()
        if (task.suspect or task.crashes) and task.has_record
    )


def suspect_rows(
    job: progress.JobProgress,
) -> tuple[tuple[int, int, int, int, int, float], ...]:
    """Return rows of `SuspectRecord`."""
    rows = []
    for task in job.tasks():
        if not task.suspect or not task.has_record:
            continue
        began = task.live and task.isolated and task.lease_until_wall > 0
        if not began and not task.lost_starts:
            continue
        rows.append(
            (
                task.step_run.occurrence,
                task.step_run.number,
                task.index,
                task.lost_starts,
                task.run if began else 0,
                round(task.lease_until_wall, 3) if began else 0.0,
            )
        )
    return tuple(rows)


def failed_run_rows(job: progress.JobProgress) -> tuple[tuple[int, int, int], ...]:
    """Return rows of `FailedRunRecord`."""
    return tuple(
        (step_run.occurrence, step_run.number, step_run.failed_run)
        for step_run in job.steps.values()
        if step_run.failed_run
        and any(
            task.live and task.run == step_run.failed_run for task in step_run.tasks
        )
    )


def done_row(step_run: progress.StepRun) -> tuple[int, int, str]:
    """Return the `DoneRecord` of a step as a row."""
    bits = sum(
        1 << task.index for task in step_run.tasks if task.phase is progress.Phase.DONE
    )
    return step_run.occurrence, step_run.number, f"{bits:x}"


def encode(job: progress.JobProgress) -> str:
    """Encode a job's record so that it fits into a row.

    If it is too long, assignments are withdrawn, and then checkpoints are left out. It
    always fits without them, even with crashes of every task. The next leader then
    restarts runs that have ended in the meantime from the beginning.
    """
    text = records.encode(to_record(job))
    if fits_in_row(text):
        return text
    if job.withdraw_assignments():
        text = records.encode(to_record(job, assignments=False))
        if fits_in_row(text):
            return text
    return records.encode(to_record(job, checkpoints=False, assignments=False))


def fits_in_row(text: str) -> bool:
    """Return whether an encoded record fits into a row."""
    return len(text.encode()) <= table.MAX_VALUE_BYTES
