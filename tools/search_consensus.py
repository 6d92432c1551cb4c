"""Searches through the histories of a log's voters by hand, deeper than the scenarios of CI do.

``python tools/search_consensus.py --waiting 2 --faults end stop --budget 2 --duration 4`` prints
the number of histories and states, and the faults of the first history that breaks a rule.
"""

import sys
from argparse import ArgumentParser
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "features"))

from support.consensus_search import FaultKind, SearchedHistory, search  # noqa: E402


def main() -> int:
    """Run one search; the exit status is 1 if a rule was broken."""
    kinds = [kind.value for kind in FaultKind]
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--voters", type=int, default=3)
    parser.add_argument("--waiting", type=int, default=0, help="instances that wait for a vote")
    parser.add_argument("--faults", nargs="+", choices=kinds, default=kinds)
    parser.add_argument("--budget", type=int, default=1, help="faults in one history")
    parser.add_argument("--duration", type=float, default=2.0, help="seconds with faults")
    options = parser.parse_args()
    result = search(
        SearchedHistory(options.voters, options.waiting),
        frozenset(FaultKind(kind) for kind in options.faults),
        options.budget,
        options.duration,
    )
    print(f"{result.histories} histories, {result.states} states")
    for line in result.broken:
        print(line)
    return 1 if result.broken else 0


if __name__ == "__main__":
    sys.exit(main())
