"""Invariants asserted while the program runs.

A broken invariant is counted and logged; under `abort` the process ends, which
tests use so that no violation goes unseen.
"""

import os

import logbook

from mangosail.telemetry import counters as telemetry

log = logbook.Logger("invariants")

#: Exit status of a process that aborted on a broken invariant.
EXIT_INVARIANT_BROKEN = 70


class Invariants:
    """Checks that must hold at all times, by name."""

    def __init__(self, counters: telemetry.Counters, abort: bool = False) -> None:
        self.counters = counters
        self.abort = abort

    def check(self, holds: bool, name: str, **facts: object) -> None:
        """Count a check of `name`, and report it with `facts` if it is broken."""
        if holds:
            return
        self.counters.count(f"invariants.broken.{name}")
        log.critical("broken", name=name, **facts)
        if self.abort:
            os._exit(EXIT_INVARIANT_BROKEN)
