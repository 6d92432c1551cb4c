"""Base of all benchmarks, and the form of their figures."""

import sys
from argparse import ArgumentParser, Namespace

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """One measured figure, printed as a JSON line. ``target`` is the stated bound, if any."""

    benchmark: str
    name: str
    value: float
    unit: str
    target: float | None = None
    labels: dict[str, str | int | float] = {}


class Benchmark:
    """One benchmark. ``help`` is its line in the list."""

    help = ""

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the benchmark's own arguments to ``parser``."""

    def handle(self, options: Namespace) -> None:
        """Measure, and emit each figure with ``emit``."""
        raise NotImplementedError

    def emit(self, figure: Figure) -> None:
        """Print a figure as one JSON line."""
        sys.stdout.write(msgspec.json.encode(figure).decode() + "\n")
        sys.stdout.flush()


def percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` (0 to 1) of ``values`` lie."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
