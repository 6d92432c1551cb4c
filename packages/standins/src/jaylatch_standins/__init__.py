"""Stand-ins for external systems, a fault-injecting proxy and a harness that starts real processes.

Used by the demo, the tests and the benchmarks only; no part of the product imports it.
"""
