import gevent
from behave import given, then, when
from tests.support import crowded

from mangosail import resources
from mangosail.jobs import room
from mangosail.work import messages as work_messages
from mangosail.work import placing as work_placing


@given('workers "{names}" with {count:d} batch tasks of {cpus:d} cores')
def workers_with(context, names, count, cpus):
    scene = context.scene = crowded.Crowded(*names.split(","))
    for name in scene.held_requests:
        for number in range(count):
            scene.run(name, crowded.task(f"{name}.{number}", cpus))


@given('the tasks on "{worker}" are not yet adopted')
def not_adopted(context, worker):
    scene = context.scene
    scene.detached_requests[worker], scene.held_requests[worker] = (
        scene.held_requests[worker],
        [],
    )


@given('a release of {cpus:d} cores on "{worker}"')
def release(context, cpus, worker):
    context.scene.run(worker, crowded.task("release", cpus, job=""))


@given("evictions fail")
def evictions_fail(context):
    context.scene.fail = True


@given("evictions take {seconds:g} seconds")
def evictions_take(context, seconds):
    context.scene.seconds = seconds


@given('tasks of the kind of "{name}" used {cpus:d} cores')
def used(context, name, cpus):
    placer = context.scene.placer
    kind = work_placing.placement_work(crowded.task(name, cpus))
    measured = resources.Resources(cpus, 2, 0, 1)
    placer.sizes.learn(f"{kind.team}/{kind.kind}", measured)


@when("evictions succeed again")
def evictions_succeed(context):
    context.scene.fail = False


@when('an urgent task "{name}" of {cpus:d} cores finds no room')
def no_room(context, name, cpus):
    context.request = crowded.task(name, cpus)
    context.scene.request_room(context.request)


@when('an urgent task "{name}" of {cpus:d} cores finds no room in {rounds:d} rounds')
def no_room_again(context, name, cpus, rounds):
    for _ in range(rounds):
        no_room(context, name, cpus)
    gevent.sleep(2 * context.scene.seconds)


@when('the tasks on "{worker}" are adopted')
def adopted(context, worker):
    scene = context.scene
    scene.held_requests[worker] = scene.detached_requests.pop(worker)


@when('"{name}" is started')
def started(context, name):
    scene, request = context.scene, context.request
    assert scene.room.fits(request)
    scene.room.add_pending(request, True)
    scene.run(
        scene.placer.candidates(work_placing.placement_work(request))[0].name, request
    )


@when('the batch tasks end and "{name}" does not renew its reservation')
def reservation_not_renewed(context, name):
    scene = context.scene
    for worker, tasks in scene.held_requests.items():
        for request in [each for each in tasks if each.job]:
            tasks.remove(request)
            task_id = work_messages.task_id_of(request)
            scene.workers.get(worker).ledger.release(task_id)
    assert not scene.room.fits(crowded.task("other", 6))
    scene.clock.sleep(room.RESERVATION_TERM_S)


@then("a batch task of {cpus:d} cores fits")
def batch_fits(context, cpus):
    assert context.scene.room.fits(crowded.task("other", cpus))


@then('{count:d} batch task was evicted, and "{name}" fits')
@then('{count:d} batch tasks were evicted, and "{name}" fits')
def evicted_and_fits(context, count, name):
    scene = context.scene
    assert len(scene.evicted) == count, scene.evicted
    assert work_messages.task_id_of(context.request) == f"t/{name}"
    assert scene.room.fits(context.request)


@then('{count:d} batch tasks were evicted, and "{name}" does not fit')
def evicted_without_fit(context, count, name):
    scene = context.scene
    assert len(scene.evicted) == count, scene.evicted
    assert not scene.room.fits(context.request)
