from behave import given, then, when
from tests.scheduler import fakes

from mangosail import codec
from mangosail.scheduler import progress, recording, records

ID = "00000000000000aa"


def new_job(count):
    return progress.JobProgress(fakes.job(ID, fakes.step(count)))


def tasks_of(job):
    return list(job.tasks())


@given("a job of {count:d} tasks of which some are done, run, have failed or wait")
def mixed(context, count):
    context.job = new_job(count)
    for index, task in enumerate(context.job.tasks()):
        if index % 4 == 0:
            task.run = 2
            context.job.mark_done(task)
        elif index % 4 == 1:
            task.run = 1
            task.worker = f"w{index}"
            task.phase = progress.Phase.RUNNING
        elif index % 4 == 2:
            task.run = 3
            task.failures = 1
            task.checkpoint = "half"


@when("its record is written and read by another leader")
def read_again(context):
    text = records.encode(recording.to_record(context.job))
    context.found = new_job(len(tasks_of(context.job)))
    context.found.restore(records.decode(text))


@then("the same tasks are done, and those that ran are in doubt on the same workers")
def same_done(context):
    for before, after in zip(
        tasks_of(context.job), tasks_of(context.found), strict=True
    ):
        expected = before.phase
        if expected is progress.Phase.RUNNING:
            expected = progress.Phase.DOUBTFUL
        assert (after.phase, after.worker) == (expected, before.worker), before.name
    assert context.found.started


@then("runs, failures and checkpoints are as before")
def same_runs(context):
    for before, after in zip(
        tasks_of(context.job), tasks_of(context.found), strict=True
    ):
        if before.phase is progress.Phase.DONE:
            continue
        restored = (after.run, after.failures, after.checkpoint)
        assert restored == (before.run, before.failures, before.checkpoint), before.name


@given("a job of {count:d} tasks that are all done but one")
def nearly_done(context, count):
    context.job = new_job(count)
    for task in tasks_of(context.job)[1:]:
        task.run = 1
        context.job.mark_done(task)


@then("its record takes less than {most:d} bytes")
def small(context, most):
    text = records.encode(recording.to_record(context.job))
    assert len(text) < most, text


@when("a record contains {row}")
def holds(context, row):
    context.encoded = row


@then("it can't be decoded")
def unreadable(context):
    try:
        found = records.decode(context.encoded)
    except codec.DecodeError:
        return
    raise AssertionError(found)
