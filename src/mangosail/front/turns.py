"""Turns of the processor, of which clients get one in each pass of the event loop.

A client that always has bytes ready never waits, so its greenlet would run without end:
no timeout fires, nobody else is answered, and the lease is not renewed. Before each
request, and after each larger piece of input, a connection waits for its turn. Between
two turns the loop looks for other input, so that calls to the store, to peers and to
workers go on however many clients there are. Turns are given in the order of arrival.
"""

import gevent
import gevent.lock


class Turns:
    """Gives out the turns of one port."""

    def __init__(self) -> None:
        self.free = gevent.lock.Semaphore(1)
        self.timer = gevent.get_hub().loop.timer(0)

    def wait(self) -> None:
        """Wait for a turn; returns at once if none was taken in this pass."""
        self.free.acquire()
        # Fires in the next pass, after all other input has been looked for.
        self.timer.start(self.free.release)
