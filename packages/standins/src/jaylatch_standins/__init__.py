"""Stand-ins of outside systems, a fault-injecting proxy and a harness that starts real processes.

Nothing here is part of the product; the demo, the tests and the benchmarks use it.
"""
