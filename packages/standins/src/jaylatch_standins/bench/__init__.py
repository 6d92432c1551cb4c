"""Benchmarks: each module with a class named ``Benchmark`` is one."""
