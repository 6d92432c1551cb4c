"""``python -m jaylatch_standins.bench [NAME ...]``: runs the named benchmarks, or all."""

import sys
from argparse import ArgumentParser
from importlib import import_module
from pkgutil import iter_modules

from tornado.httpclient import AsyncHTTPClient

from jaylatch_standins import bench
from jaylatch_standins.bench.base import Benchmark

SHARED_MODULES = {"base", "__main__"}


def load_benchmarks() -> dict[str, Benchmark]:
    """Return every benchmark by its name; modules without a ``Benchmark`` class are helpers."""
    found = {}
    for module in iter_modules(bench.__path__):
        if module.name in SHARED_MODULES:
            continue
        loaded = import_module(f"jaylatch_standins.bench.{module.name}")
        if hasattr(loaded, "Benchmark"):
            found[module.name] = loaded.Benchmark()
    return found


def main() -> int:
    """Run the benchmarks one after the other."""
    known = load_benchmarks()
    parser = ArgumentParser(description="Run benchmarks; figures are JSON lines.")
    parser.add_argument("names", nargs="*", help=f"of: {', '.join(known)}")
    for benchmark in known.values():
        benchmark.add_arguments(parser)
    options = parser.parse_args()
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    for name in options.names or known:
        known[name].handle(options)
    return 0


if __name__ == "__main__":
    sys.exit(main())
