"""Counters and times as text on the metrics address, in Prometheus' format."""

import collections.abc as cabc
import typing as t

from mangosail.telemetry import counters as telemetry

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Exposition:
    """A WSGI application that shows what a process has counted.

    The library is imported with the first request: it takes 0.12 s, which every
    start of an instance would be later by.
    """

    def __init__(self, counters: telemetry.StatsdCounters) -> None:
        self.counters = counters

    def __call__(
        self, environ: dict[str, t.Any], start_response: cabc.Callable[..., t.Any]
    ) -> cabc.Iterable[bytes]:
        """Answer a scrape."""
        import prometheus_client.exposition

        text = prometheus_client.exposition.generate_latest(t.cast(t.Any, self))
        headers = [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(text)))]
        start_response("200 OK", headers)
        return [text]

    def collect(self) -> cabc.Iterator[t.Any]:
        """Yield what was counted, as the library takes it."""
        import prometheus_client.core as core

        for name, count in sorted(self.counters.counts.items()):
            family = core.CounterMetricFamily(metric_name(name), name)
            family.add_metric([], count)
            yield family
        for name, times in sorted(self.counters.histograms.items()):
            histogram = core.HistogramMetricFamily(f"{metric_name(name)}_seconds", name)
            histogram.add_metric([], times.cumulative(), times.total)
            yield histogram


def metric_name(name: str) -> str:
    """Return a dotted name as the format allows it.

    >>> plain("front.refused.no_capacity")
    'mangosail_front_refused_no_capacity'
    """
    return "mangosail_" + "".join(c if c.isalnum() else "_" for c in name)
