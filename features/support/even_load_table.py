"""Table of the simulated choices for docs/design/even-load.md: all cases, all policies.

Run as ``.venv/bin/python -m features.support.even_load_table``; it takes two minutes.
"""

import sys

from features.support.even_load import POLICIES, STREAM_KINDS, Case, EvenLoad

SEEDS = 3
MILLISECONDS = 1000
THREE = (1.0, 1.0, 1.0)
FIVE = (1.0,) * 5
CASES = (
    ("4, 3, own answers", Case(4, THREE, 6, 0.7)),
    ("12, 3, own answers", Case(12, THREE, 6, 0.7)),
    ("26, 3, own answers", Case(26, THREE, 6, 0.7)),
    ("47, 5, own answers", Case(47, FIVE, 6, 0.7)),
    ("26, 3, 0.2 s old", Case(26, THREE, 6, 0.7, 0.2)),
    ("26, 3, 1.5 s old", Case(26, THREE, 6, 0.7, 1.5)),
    ("26, 3, paces 2 1 1", Case(26, (2.0, 1.0, 1.0), 6, 0.6)),
    ("26, 3, burst", Case(26, THREE, 6, 0.25, event="burst")),
    ("26, 3, slow", Case(26, THREE, 6, 0.4, event="slow")),
    ("26, 3, grey", Case(26, THREE, 6, 0.4, event="grey")),
    ("26, 3, paused", Case(26, THREE, 6, 0.4, event="paused")),
    ("26, 3, appears", Case(26, THREE, 6, 0.5, event="appears")),
    ("47, 5, vanishes", Case(47, FIVE, 6, 0.5, event="vanishes")),
    ("26, 3, owner lost", Case(26, THREE, 6, 0.7, owner_lost=True)),
    ("26, 3, 10 calls/s", Case(26, THREE, 6, 0.03)),
    ("12, 12, streams", Case(12, (1.0,) * 12, 24, 0.8, kinds=STREAM_KINDS)),
    (
        "12, 12, streams, paces 2 1 1",
        Case(12, (2.0, 1.0, 1.0) * 4, 24, 0.8, kinds=STREAM_KINDS),
    ),
    (
        "47, 57, streams, paces 1.5 1 1, 1.5 s old",
        Case(47, (1.5, 1.0, 1.0) * 19, 24, 0.7, 1.5, kinds=STREAM_KINDS),
    ),
)


def write_table() -> None:
    """Write one row for each case, and a cell for each policy."""
    sys.stdout.write(f"| case | {' | '.join(POLICIES)} |\n|{' --- |' * (len(POLICIES) + 1)}\n")
    for name, case in CASES:
        cells = []
        for policy in POLICIES:
            results = [EvenLoad(case, policy, seed).run() for seed in range(SEEDS)]
            largest = sum(item.largest for item in results) / SEEDS
            idle = sum(item.idle for item in results) / SEEDS
            stretch = max(item.idle_stretch for item in results)
            wait = sum(item.p99 for item in results) / SEEDS * MILLISECONDS
            cells.append(f"{largest:.2f}, {idle:.1f}, {stretch:.2f}, {wait:.0f}")
        sys.stdout.write(f"| {name} | {' | '.join(cells)} |\n")
        sys.stdout.flush()


if __name__ == "__main__":
    write_table()
