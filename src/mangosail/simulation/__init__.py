"""Replays of a load against the scheduler's decisions, without sockets or a store.

The leader's own code orders, places, preempts, throttles and moves tasks; the workers,
the store and the clock are simulated, and a step of time takes no longer than the
decisions in it. So a load of a minute is replayed in seconds, the same each time::

    report = replay.Replay(busy_hour, seed=1).run()
    report.queues["release"].in_time
"""
