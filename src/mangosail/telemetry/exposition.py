"""Serves counters and times in the Prometheus text format."""

import collections.abc as cabc
import typing as t

from mangosail.telemetry import counters as telemetry

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Exposition:
    """A WSGI application that returns the metrics of the process.

    `prometheus_client` is imported on the first request, because its import takes
    0.12 s and would delay each start of an instance.
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
        """Yield the metric families, as a `prometheus_client` collector does."""
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
    """Convert a dotted name to a valid Prometheus metric name.

    >>> plain("front.refused.no_capacity")
    'mangosail_front_refused_no_capacity'
    """
    return "mangosail_" + "".join(c if c.isalnum() else "_" for c in name)
