import gevent
import gevent.event
import result
from behave import given, then, when
from tests.scheduler import fakes

from mangosail import clock as clocks
from mangosail.scheduler import fleet, orders, progress
from mangosail.telemetry import counters


class SlowClient:
    """Workers that carry out each order at once, and are heard of later."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.stopped = []

    def start(self, entry, order):
        gevent.sleep(self.seconds)
        return result.Ok(0)

    def stop(self, entry, task, run, token):
        self.stopped.append(task)
        return result.Ok(0)


@given("{count:d} workers whose answers take {milliseconds:d} ms")
def slow_workers(context, count, milliseconds):
    context.client = SlowClient(milliseconds / 1000)
    context.fleet = fleet.Fleet()
    for number in range(count):
        context.fleet.add(fakes.Worker(f"w{number}", None).entry)
    context.orders = orders.Orders(
        context.client,
        1,
        context.fleet,
        gevent.event.Event(),
        clocks.SystemClock(),
        counters.StatsdCounters(None, 0),
    )
    context.polled = []
    context.orders.poll_now = lambda worker: context.polled.append(worker) is None


def starting_task(context, number, worker):
    """Return a task whose start on the worker is about to be sent."""
    job = progress.JobProgress(fakes.job(f"{number:016x}", fakes.step()))
    (task,) = job.tasks()
    task.phase = progress.Phase.STARTING
    task.run = 1
    task.worker = worker.name
    worker.reserve(task)
    return task


@when("{times:d} times {count:d} tasks are started")
def start_tasks(context, times, count):
    for wave in range(times):
        started = [
            gevent.spawn(
                context.orders.start,
                starting_task(context, wave * count + number, worker),
                worker,
            )
            for number, worker in zip(range(count), context.fleet, strict=True)
        ]
        gevent.joinall(started, raise_error=True)


@then("at most {most:d} of the starts were taken for lost")
def taken_for_lost(context, most):
    assert len(context.client.stopped) <= most, len(context.client.stopped)


@when("{count:d} answers take {milliseconds:d} ms")
def quick_answers(context, count, milliseconds):
    for _ in range(count):
        context.orders.answer_timeout.record(milliseconds / 1000)


@then("an answer is overdue after {seconds:g} s at most")
def overdue(context, seconds):
    assert context.orders.answer_timeout.seconds <= seconds


@when("the check of a start comes {milliseconds:d} ms late")
def late_check(context, milliseconds):
    check(context, sent_ago=0.5, late=milliseconds / 1000)


@when("the check of a start that has expired comes {milliseconds:d} ms late")
def expired_check(context, milliseconds):
    check(context, sent_ago=orders.START_TIMEOUT_S + 0.1, late=milliseconds / 1000)


def check(context, sent_ago, late):
    context.polled.clear()
    now = context.orders.clock.elapsed()
    (worker, *_) = context.fleet
    task = starting_task(context, 0, worker)
    task.start_sent_at = now - sent_ago
    context.orders.resolve_late_start(task, worker, 1, now - late)


@then("the worker is not polled for it")
def not_polled(context):
    assert not context.polled


@then("the worker is polled for it")
def polled(context):
    assert context.polled
