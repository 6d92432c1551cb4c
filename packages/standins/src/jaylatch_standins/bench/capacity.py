"""What each role costs as the deployment grows. ``tools/capacity_table.py`` fits the slopes.

Every figure is a rate over a window, or the memory at its end, of one real process. The labels say
the role and the sizes. Three series hold all sizes but one: agents (stand-ins that renew and
report), entries (stand-ins that listen to one real agent), and the load of callers.
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
"""Gets the series, the role, the sizes and the usage."""

Step = Callable[[Path], Coroutine[Any, Any, None]]
"""Measures one size in a deployment under the given folder."""

AGENTS = (40, 80, 160, 320, 640, 1280)
CHANGE_RATES = (0.0, 1.0, 2.0)
ENTRIES = (0, 90, 180, 360)
LOADS = ((5.0, 10), (5.0, 40), (15.0, 10), (15.0, 40))
ORDER_RATES = (0.0, 10.0, 20.0, 40.0)


class Benchmark(BaseBenchmark):
    """Measures usage against agents, entries, changes, requests, tokens and orders."""

    help = "processor time, memory and traffic of each role against the deployment's size"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the choice of series."""
        parser.add_argument(
            "--series", nargs="*", default=[], help="of: agents changes entries ..."
        )

    def handle(self, options: Namespace) -> None:
        """Measure each size in a deployment of its own."""
        for series, steps in self._steps().items():
            if options.series and series not in options.series:
                continue
            for step in steps:
                with TemporaryDirectory() as folder:
                    run(step(Path(folder)))

    def _steps(self) -> dict[str, list[Step]]:
        emit = self._emit_usage
        return {
            "agents": [_bind(measure_agents, number, emit) for number in AGENTS],
            "changes": [_bind(measure_changes, rate, emit) for rate in CHANGE_RATES],
            "entries": [_bind(measure_entries, number, emit) for number in ENTRIES],
            "completions": [_bind(measure_completions, load, emit) for load in LOADS],
            "orders": [_bind(measure_orders, rate, emit) for rate in ORDER_RATES],
        }

    def _emit_usage(self, series: str, role: str, sizes: Sizes, usage: Mapping[str, float]) -> None:
        for name, value in usage.items():
            labels: dict[str, str | int | float] = {"series": series, "role": role, **sizes}
            self.emit(Figure("capacity", name, value, UNITS[name], None, labels))


def _bind(measure: Callable[..., Coroutine[Any, Any, None]], size: object, emit: Emit) -> Step:
    return lambda folder: measure(folder, size, emit)
