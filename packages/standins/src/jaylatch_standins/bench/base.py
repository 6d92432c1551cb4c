"""Base class of the benchmarks, and the figures that they print."""

import sys
from argparse import ArgumentParser, Namespace

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """One measured figure, printed as a JSON line. ``target`` is the objective, if there is one."""

    benchmark: str
    name: str
    value: float
    unit: str
    target: float | None = None
    labels: dict[str, str | int | float] = {}


class Benchmark:
    """Base class of a benchmark. ``help`` summarizes what it measures."""

    help = ""

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments of this benchmark to ``parser``."""

    def handle(self, options: Namespace) -> None:
        """Run the benchmark and pass each figure to ``emit``."""
        raise NotImplementedError

    def emit(self, figure: Figure) -> None:
        """Print ``figure`` as one JSON line."""
        sys.stdout.write(msgspec.json.encode(figure).decode() + "\n")
        sys.stdout.flush()


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which ``fraction`` (0 to 1) of ``values`` lie."""
    sorted_values = sorted(values)
    return sorted_values[min(int(fraction * len(sorted_values)), len(sorted_values) - 1)]
