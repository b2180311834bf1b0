import threading
import time
from unittest import mock

from behave import given, then, when
from tests.soak import deployment, faults, history, oracle, run, schedule
from tests.support import stage


@given("seed {seed:d} ran for {seconds:d} seconds with the faults")
def run_soak(context, seed, seconds):
    kinds = tuple(context.table.headings)
    verdicts = run.Soak(seconds, seed, kinds, settle=10.0, gap=0.8).run()
    print(oracle.table_of(verdicts))
    context.verdicts = {v.promise.split()[0]: v for v in verdicts}


@then("these promises were exercised, and held")
def held(context):
    for name in context.table.headings:
        verdict = context.verdicts[name]
        assert verdict.state == "held", (verdict.promise, verdict.violations[:3])


@then("nothing else was broken")
def nothing_else(context):
    broken = {n: v.violations[:3] for n, v in context.verdicts.items() if v.violations}
    assert not broken, broken


@given("the platform's soak ran for {seconds:d} s with seed {seed:d} and gap {gap:g} s")
def step_deployment(context, seconds, seed, gap):
    context.verdicts, context.folder = deployment.run(seconds, seed, gap)


@given(
    "the platform's soak ran for {seconds:d} s with seed {seed:d} and gap {gap:g} s, "
    "with crashing workers"
)
def step_crashing(context, seconds, seed, gap):
    context.verdicts, context.folder = deployment.run(seconds, seed, gap, crashing=True)


@given(
    "the platform's soak ran for {seconds:d} s with seed {seed:d} and gap {gap:g} s, "
    "with long leases"
)
def step_long_leases(context, seconds, seed, gap):
    context.verdicts, context.folder = deployment.run(
        seconds, seed, gap, long_leases=True
    )


@then("the lease was handed over at least once")
def step_handed_over(context):
    logs = [path.read_text() for path in context.folder.glob("instance-*.log")]
    count = sum(text.count('"event":"lease handed over"') for text in logs)
    print(f"the lease was handed over {count} times", flush=True)
    assert count, context.folder


@then("no promise was broken there")
def step_none_broken(context):
    broken = [verdict for verdict in context.verdicts if verdict.violations]
    assert not broken, (context.folder, broken)


@then("each promise was exercised there, and held")
def step_deployment_held(context):
    for verdict in context.verdicts:
        assert verdict.state == "held", (context.folder, verdict)


class CutStage:
    """A stage that notes who was cut off last."""

    instances = ()

    def faults(self, cut):
        self.cut = cut


@given("two cuts that end while a worker is being started")
def step_two_cuts(context):
    context.stage = CutStage()
    injected = faults.Faults(context.stage, None, None)
    cuts = [
        threading.Thread(
            target=injected.cut, args=(schedule.Fault(0.0, 0.1, "cut", name),)
        )
        for name in ("a", "b")
    ]
    for cut in cuts:
        cut.start()
    time.sleep(0.05)
    with injected.lock:
        time.sleep(0.3)
    for cut in cuts:
        cut.join()


@then("nobody is cut off once both have ended")
def step_nobody_cut(context):
    assert context.stage.cut == [], context.stage.cut


@given("a stage on which a planned stop takes {seconds:g} s")
def stage_with_slow_stop(context, seconds):
    context.events = []
    process = mock.MagicMock()
    process.wait.side_effect = lambda timeout: time.sleep(seconds)
    process.poll.return_value = None
    fake = mock.MagicMock(processes={"a": process})
    for name in ("signal", "kill", "restart"):
        record = lambda *args, n=name: context.events.append(n)
        getattr(fake, name).side_effect = record
    context.faults = faults.Faults(fake, history.History(), dict)


@when("an instance is stopped, and a kill is due before its restart")
def stop_and_kill(context):
    context.faults.run([schedule.Fault(0.0, 1.0, "stop", "a")], time.time())
    # The kill is due only now, so that a busy machine can't change the order.
    stage.wait_until(lambda: context.events, 10, "the stop")
    context.faults.run([schedule.Fault(0.0, 0.1, "kill", "a")], time.time())
    context.faults.join()


@then("it was stopped, restarted, killed and restarted, and nothing was unexpected")
def one_at_a_time(context):
    assert context.events == ["signal", "restart", "kill", "restart"], context.events
    assert not context.faults.history.unexpected_exits
