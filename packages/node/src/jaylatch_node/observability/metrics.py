"""Metrics of one process: counters and gauges, and quantiles from HDR histograms.

The text format is that of Prometheus. Each metric is declared with its documentation by the module
that counts it, so that ``/metrics`` is self-explanatory.
"""

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)
MICROSECONDS_PER_SECOND = 1_000_000


class Metrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()

    def counter(self, name: str, documentation: str, labels: tuple[str, ...] = ()) -> Counter:
        """Declare a counter; its name gets the prefix ``jaylatch_``."""
        return Counter(f"jaylatch_{name}", documentation, labels, registry=self._registry)

    def gauge(self, name: str, documentation: str, labels: tuple[str, ...] = ()) -> Gauge:
        """Declare a gauge; its name gets the prefix ``jaylatch_``."""
        return Gauge(f"jaylatch_{name}", documentation, labels, registry=self._registry)

    def timer(self, name: str, documentation: str) -> "Timer":
        """Declare a distribution of durations; its name gets the prefix ``jaylatch_``."""
        timer = Timer(f"jaylatch_{name}_seconds", documentation)
        self._registry.register(timer)
        return timer

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


class Timer(Collector):
    """Durations in seconds, kept in an HDR histogram of fixed size."""

    def __init__(self, name: str, documentation: str) -> None:
        self._name = name
        self._documentation = documentation
        self._sum = 0.0
        self._histogram = HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Add one duration."""
        self._sum += seconds
        microseconds = max(int(seconds * MICROSECONDS_PER_SECOND), LOWEST_MICROSECONDS)
        self._histogram.record_value(min(microseconds, HIGHEST_MICROSECONDS))

    def collect(self) -> Iterator[SummaryMetricFamily]:
        """Yield the count, the sum and the quantiles."""
        family = SummaryMetricFamily(
            self._name, self._documentation, self._histogram.get_total_count(), self._sum
        )
        for quantile in QUANTILES:
            value = self._histogram.get_value_at_percentile(quantile * 100)
            family.add_sample(
                self._name, {"quantile": str(quantile)}, value / MICROSECONDS_PER_SECOND
            )
        yield family
