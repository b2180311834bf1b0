import result
from behave import given, then, when
from tests.support import fakes

from mangosail.dispatch import messages as dispatch
from mangosail.platform import errors


class Reach:
    """The table as one instance sees it, which may be cut off from it."""

    def __init__(self, rows):
        self.rows = rows
        self.cut = False

    def __getattr__(self, name):
        if self.cut:
            return lambda *args: result.Err(errors.Unavailable("cut off"))
        return getattr(self.rows, name)


def add_instance(context, name):
    instance = fakes.Instance(context.world, name)
    claims = instance.runner.ctx.claims
    claims.rows = instance.reach = Reach(claims.rows)
    return instance


@given("an instance that has heard the end of a release while cut off from the table")
def heard(context):
    context.world = fakes.World()
    context.worker = fakes.Worker(context.world, "w0")
    context.first = add_instance(context, "a")
    context.peer = add_instance(context, "b")
    context.first.take(context.worker, 1)
    context.first.submit("r")
    context.first.reach.cut = True
    context.worker.end("team/r", dispatch.TaskState.DONE, "whole")
    context.first.hear(context.worker)


def lose_worker(context):
    """The peer takes the worker, as the session of the first instance has expired."""
    context.first.lease.holds = False
    context.first.owned.remove("w0")
    context.peer.take(context.worker, 2)


@given("its peer has adopted the release, and can't reach the worker")
def adopted(context):
    lose_worker(context)
    context.world.order_fault = "unreachable"
    context.peer.sweep()
    assert "team/r" in context.peer.runner.ctx.registry


@when("the instance reaches the table again")
def reaches_again(context):
    context.first.reach.cut = False
    context.first.sweep()


@then("both instances tell the release as completed")
def told_completed(context):
    context.worker.lose_state()
    for instance in (context.peer, context.first):
        instance.sweep()
    for instance in (context.peer, context.first):
        told = instance.runner.look_up("team", "r").ok_value
        assert (told.outcome, told.answer) == ("completed", "whole"), told
