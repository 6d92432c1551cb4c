"""Benchmarks. One module for each; its class is called ``Benchmark``."""
