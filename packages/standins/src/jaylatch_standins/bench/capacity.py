"""Resource usage of each role at growing deployment sizes.

A figure is the usage of one real process, a rate over a window or the memory at its end, or a time
of the deployment (role ``all``). The labels give the series, the role and the sizes. The series
vary the number of agents (stand-ins that renew leases and report), the rate of configuration
changes, the number of entries (stand-ins that are connected to one real agent), the load of
completions and the rate of orders. ``tools/capacity_table.py`` fits a slope to each figure.
"""

from argparse import ArgumentParser, Namespace
from asyncio import run
from collections.abc import Callable, Coroutine, Mapping
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from jaylatch_standins.bench.base import Benchmark as BaseBenchmark
from jaylatch_standins.bench.base import Figure
from jaylatch_standins.bench.capacity_agents import measure_agents, measure_changes
from jaylatch_standins.bench.capacity_entries import measure_entries
from jaylatch_standins.bench.capacity_load import measure_completions, measure_orders

UNITS = {
    "processor": "core",
    "memory": "B",
    "disk_bytes": "B/s",
    "sent_bytes": "B/s",
    "received_bytes": "B/s",
    "sent_messages": "1/s",
    "received_messages": "1/s",
    "seconds_to_force": "s",
    "seconds_to_form": "s",
}

Sizes = Mapping[str, float]
Emit = Callable[[str, str, Sizes, Mapping[str, float]], None]
"""Emits the usage of a role; called with the series, the role, the sizes and the usage."""

Measurement = Callable[[Path], Coroutine[Any, Any, None]]
"""Measures one size with a deployment in the given folder."""

AGENT_COUNTS = (40, 80, 160, 320, 640, 1280)
CHANGE_RATES = (0.0, 1.0, 2.0)
"""Changes per second."""
ENTRY_COUNTS = (0, 90, 180, 360)
LOADS = ((5.0, 10), (5.0, 40), (15.0, 10), (15.0, 40))
"""Requests per second, and tokens per request."""
ORDER_RATES = (0.0, 10.0, 20.0, 40.0)
"""Orders per second."""


class Benchmark(BaseBenchmark):
    """Measures usage at several numbers of agents and entries, and at several rates."""

    help = "processor time, memory and traffic of each role by deployment size"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add ``--series``."""
        parser.add_argument(
            "--series",
            nargs="*",
            default=[],
            help="series to measure (default: all): agents changes entries ...",
        )

    def handle(self, options: Namespace) -> None:
        """Measure each size in a separate deployment."""
        for series, measurements in self._measurements().items():
            if options.series and series not in options.series:
                continue
            for measurement in measurements:
                with TemporaryDirectory() as folder:
                    run(measurement(Path(folder)))

    def _measurements(self) -> dict[str, list[Measurement]]:
        emit = self._emit_usage
        return {
            "agents": [_bind_size(measure_agents, number, emit) for number in AGENT_COUNTS],
            "changes": [_bind_size(measure_changes, rate, emit) for rate in CHANGE_RATES],
            "entries": [_bind_size(measure_entries, number, emit) for number in ENTRY_COUNTS],
            "completions": [_bind_size(measure_completions, load, emit) for load in LOADS],
            "orders": [_bind_size(measure_orders, rate, emit) for rate in ORDER_RATES],
        }

    def _emit_usage(self, series: str, role: str, sizes: Sizes, usage: Mapping[str, float]) -> None:
        for name, value in usage.items():
            labels: dict[str, str | int | float] = {"series": series, "role": role, **sizes}
            self.emit(Figure("capacity", name, value, UNITS[name], None, labels))


def _bind_size(
    measure: Callable[..., Coroutine[Any, Any, None]], size: object, emit: Emit
) -> Measurement:
    return lambda folder: measure(folder, size, emit)
