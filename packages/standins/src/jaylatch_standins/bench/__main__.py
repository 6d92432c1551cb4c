"""Command line of the benchmarks: ``python -m jaylatch_standins.bench [NAME ...]``."""

import sys
from argparse import ArgumentParser
from importlib import import_module
from pkgutil import iter_modules

from tornado.httpclient import AsyncHTTPClient

from jaylatch_standins import bench
from jaylatch_standins.bench.base import Benchmark

SHARED_MODULES = {"base", "__main__"}


def load_benchmarks() -> dict[str, Benchmark]:
    """Return the benchmarks by module name; skips modules without a ``Benchmark`` class."""
    benchmarks = {}
    for module in iter_modules(bench.__path__):
        if module.name in SHARED_MODULES:
            continue
        loaded_module = import_module(f"jaylatch_standins.bench.{module.name}")
        if hasattr(loaded_module, "Benchmark"):
            benchmarks[module.name] = loaded_module.Benchmark()
    return benchmarks


def main() -> int:
    """Run the benchmarks sequentially and return the exit status."""
    benchmarks = load_benchmarks()
    parser = ArgumentParser(description="Run benchmarks and print their figures as JSON lines.")
    parser.add_argument(
        "names", nargs="*", help=f"benchmarks to run (default: all): {', '.join(benchmarks)}"
    )
    for benchmark in benchmarks.values():
        benchmark.add_arguments(parser)
    options = parser.parse_args()
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    for name in options.names or benchmarks:
        benchmarks[name].handle(options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
