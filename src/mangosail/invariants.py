"""Invariants checked at run time.

A violation is counted and logged. If `abort` is set, the process exits as well; tests
use this so that no violation goes unnoticed.
"""

import os

import logbook

from mangosail.telemetry import counters as telemetry

log = logbook.Logger("invariants")

#: Exit status of a process that aborted on a violated invariant.
EXIT_INVARIANT_BROKEN = 70


class Invariants:
    """Checks named invariants."""

    def __init__(self, counters: telemetry.Counters, abort: bool = False) -> None:
        self.counters = counters
        self.abort = abort

    def check(self, holds: bool, name: str, **facts: object) -> None:
        """Count and log a violation of the invariant `name`, unless it `holds`."""
        if holds:
            return
        self.counters.count(f"invariants.broken.{name}")
        log.critical("invariant violated", name=name, **facts)
        if self.abort:
            os._exit(EXIT_INVARIANT_BROKEN)
