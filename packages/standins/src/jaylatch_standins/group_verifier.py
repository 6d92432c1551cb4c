"""Judges from the engines' own ledger whether groups served only whole and apart."""

from collections import defaultdict
from pathlib import Path

import msgspec

from jaylatch_standins.ledger import LedgerLine, read_ledger

MISSING_MEMBER_BOUND = 1.5
"""Seconds after which a group with a missing member must not serve."""

Place = tuple[str, int]
"""A group and its epoch."""


class Stay(msgspec.Struct):
    """The time for which an engine belonged to a group under one epoch (seconds, wall clock)."""

    engine: str
    rank: int
    since: float
    until: float = float("inf")


class GroupVerifier:
    """What the ledger says of the membership of every engine."""

    def __init__(self, ledger: Path) -> None:
        self._lines = sorted(read_ledger(ledger), key=lambda line: line.at)
        self._sizes: dict[Place, int] = {}
        self._stays: dict[Place, list[Stay]] = defaultdict(list)
        self._read_stays()

    @property
    def tokens(self) -> int:
        """Return how many tokens the ledger holds, so that a check can see that it saw some."""
        return sum(line.what == "token" for line in self._lines)

    def served_incomplete(self) -> list[str]:
        """Return a sentence for each token that a group generated long after it lost a member."""
        faults = []
        for line in self._lines:
            if line.what != "token":
                continue
            place = _place(line)
            present = {
                stay.rank
                for stay in self._stays[place]
                if stay.since <= line.at <= stay.until + MISSING_MEMBER_BOUND
            }
            if len(present) < self._sizes[place]:
                faults.append(f"{line.at:.3f} {line.target} served {place} with ranks {present}")
        return faults

    def started_in_two_groups(self) -> list[str]:
        """Return a sentence for each request that started at a head which had lost a member.

        A member counts as lost from the moment at which its engine took an order for another
        group.
        """
        faults = []
        for line in self._lines:
            if line.what != "start":
                continue
            for place, stays in self._stays.items():
                if str(place[1]) != line.detail or line.target not in _engines(stays, line.at):
                    continue
                faults += [
                    f"{line.at:.3f} {line.target} started a request in {place}, but"
                    f" {stay.engine} had joined another group at {stay.until:.3f}"
                    for stay in stays
                    if stay.until < line.at and self._has_joined_another(stay, place, line.at)
                ]
        return faults

    def overlapping_orders(self) -> list[str]:
        """Return a sentence for each order that an engine took while it carried out another."""
        faults = []
        busy: dict[str, str] = {}
        for line in self._lines:
            match line.what:
                case "load":
                    if line.target in busy:
                        faults.append(
                            f"{line.at:.3f} {line.target} took {line.detail} during"
                            f" {busy[line.target]}"
                        )
                    busy[line.target] = line.detail
                case "loaded" | "killed":
                    busy.pop(line.target, None)
        return faults

    def orders_in_flight_together(self) -> list[str]:
        """Return a sentence for each order that was given while another still travelled."""
        faults = []
        travelling: dict[str, str] = {}
        for line in self._lines:
            match line.what:
                case "order_received":
                    if line.target in travelling:
                        faults.append(
                            f"{line.at:.3f} {line.target} was given {line.detail} while"
                            f" {travelling[line.target]} travelled"
                        )
                    travelling[line.target] = line.detail
                case "load" | "release" | "order_refused" | "killed":
                    travelling.pop(line.target, None)
        return faults

    def reversed_epochs(self) -> list[str]:
        """Return a sentence for each load that carries an older epoch than the one before it."""
        faults = []
        latest: dict[str, int] = {}
        for line in self._lines:
            if line.what != "load":
                continue
            epoch = _place(line)[1]
            if epoch < latest.get(line.target, 0):
                faults.append(f"{line.at:.3f} {line.target} went back to {line.detail}")
            latest[line.target] = epoch
        return faults

    def _read_stays(self) -> None:
        current: dict[str, Stay] = {}
        for line in self._lines:
            if line.what in ("load", "release", "killed") and line.target in current:
                current.pop(line.target).until = line.at
            if line.what == "load":
                place = _place(line)
                _, _, rank, size = line.detail.split()
                stay = Stay(line.target, int(rank), line.at)
                current[line.target] = stay
                self._stays[place].append(stay)
                self._sizes[place] = int(size)

    def _has_joined_another(self, left: Stay, place: Place, at: float) -> bool:
        return any(
            stay.engine == left.engine and left.until <= stay.since <= at and other[0] != place[0]
            for other, stays in self._stays.items()
            for stay in stays
        )


def _engines(stays: list[Stay], at: float) -> set[str]:
    return {stay.engine for stay in stays if stay.since <= at <= stay.until}


def _place(line: LedgerLine) -> Place:
    group, epoch = line.detail.split()[:2]
    return group, int(epoch)
