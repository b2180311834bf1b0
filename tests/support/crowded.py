"""In-memory workers filled with batch tasks, which can be evicted."""

import gevent
import result

from mangosail import resources
from mangosail.jobs import room
from mangosail.work import errors
from mangosail.work import messages as work_messages
from mangosail.work import placing as work_placing
from tests.support import placing


class Crowded(placing.Placing):
    """In-memory workers with batch tasks; evictions fail or take time as set."""

    def __init__(self, *names):
        super().__init__(*names)
        self.held_requests = {
            name: [] for name in names
        }  # worker -> requests that this instance runs there
        # worker -> requests running there that it can't evict
        self.detached_requests = {}
        self.evicted = []
        self.fail = False
        self.seconds = 0.0
        self.room = room.Room(
            self.workers, self.placer, self, self.clock, self.counters
        )

    def requests_on_worker(self, worker):
        return list(self.held_requests[worker])

    def evict(self, task_id, reason):
        if self.seconds:
            gevent.sleep(self.seconds)
        if self.fail:
            return result.Err(errors.NotEvicted("checkpoint_failed"))
        for name, tasks in self.held_requests.items():
            for request in tasks:
                if work_messages.task_id_of(request) == task_id:
                    tasks.remove(request)
                    self.workers.get(name).ledger.release(task_id)
                    self.evicted.append(task_id)
                    return result.Ok(None)
        return result.Err(errors.NotEvicted("not_in_hand"))

    def submit(self, request, deadline, forward=True):
        """Run nothing: these tests don't follow a task beyond its placement."""
        return result.Err("not_run_here")

    def run(self, worker, request):
        work = work_placing.placement_work(request)
        self.workers.get(worker).ledger.add(work.task_id, work.needs)
        self.held_requests[worker].append(request)

    def request_room(self, request):
        assert not self.room.fits(request)
        self.room.make_room(request, True, self.clock.now)
        gevent.sleep(0)


def task(name, cpus, job="j"):
    needs = resources.Resources(cpus, 2, 0, 1)
    return work_messages.Request("t", name, "k", needs, None, bool(job), job)
