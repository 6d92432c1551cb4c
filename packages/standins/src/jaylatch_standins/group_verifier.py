"""Verification, from the engines' ledger, that groups served only while complete and disjoint."""

from collections import defaultdict
from pathlib import Path

import msgspec

from jaylatch_standins.ledger import LedgerLine, read_ledger

MISSING_MEMBER_TIMEOUT = 1.5
"""Seconds after the loss of a member from which its group must not serve."""

GroupEpoch = tuple[str, int]
"""Id and epoch of a group."""


class Membership(msgspec.Struct):
    """The period during which an engine was in a group under one epoch (Unix seconds)."""

    engine: str
    rank: int
    since: float
    until: float = float("inf")


class GroupVerifier:
    """Checks the tokens, requests and orders in the ledger against the engines' memberships."""

    def __init__(self, ledger: Path) -> None:
        self._lines = sorted(read_ledger(ledger), key=lambda line: line.at)
        self._sizes: dict[GroupEpoch, int] = {}
        self._memberships: dict[GroupEpoch, list[Membership]] = defaultdict(list)
        self._read_memberships()

    @property
    def tokens(self) -> int:
        """Return the number of tokens in the ledger, so that a check can require some."""
        return sum(line.what == "token" for line in self._lines)

    def served_incomplete(self) -> list[str]:
        """Return a sentence for each token that a group generated long after it lost a member."""
        faults = []
        for line in self._lines:
            if line.what != "token":
                continue
            group_epoch = _group_epoch(line)
            present = {
                membership.rank
                for membership in self._memberships[group_epoch]
                if membership.since <= line.at <= membership.until + MISSING_MEMBER_TIMEOUT
            }
            if len(present) < self._sizes[group_epoch]:
                faults.append(
                    f"{line.at:.3f} {line.target} served {group_epoch} with ranks {present}"
                )
        return faults

    def started_in_two_groups(self) -> list[str]:
        """Return a sentence for each request that a head started after a member left its group.

        A member has left once its engine has accepted an order for another group.
        """
        faults = []
        for line in self._lines:
            if line.what != "start":
                continue
            for group_epoch, memberships in self._memberships.items():
                if str(group_epoch[1]) != line.detail or line.target not in _engines_at(
                    memberships, line.at
                ):
                    continue
                faults += [
                    f"{line.at:.3f} {line.target} started a request in {group_epoch}, but"
                    f" {membership.engine} had joined another group at {membership.until:.3f}"
                    for membership in memberships
                    if membership.until < line.at
                    and self._has_joined_another(membership, group_epoch, line.at)
                ]
        return faults

    def overlapping_orders(self) -> list[str]:
        """Return a sentence for each order that an engine accepted while it executed another."""
        faults = []
        busy: dict[str, str] = {}
        for line in self._lines:
            match line.what:
                case "load":
                    if line.target in busy:
                        faults.append(
                            f"{line.at:.3f} {line.target} accepted {line.detail} during"
                            f" {busy[line.target]}"
                        )
                    busy[line.target] = line.detail
                case "loaded" | "killed":
                    busy.pop(line.target, None)
        return faults

    def orders_in_flight_together(self) -> list[str]:
        """Return a sentence for each order that an engine received while another was in flight."""
        faults = []
        in_flight: dict[str, str] = {}
        for line in self._lines:
            match line.what:
                case "order_received":
                    if line.target in in_flight:
                        faults.append(
                            f"{line.at:.3f} {line.target} received {line.detail} while"
                            f" {in_flight[line.target]} was in flight"
                        )
                    in_flight[line.target] = line.detail
                case "load" | "release" | "order_refused" | "killed":
                    in_flight.pop(line.target, None)
        return faults

    def reversed_epochs(self) -> list[str]:
        """Return a sentence for each load with a lower epoch than the engine's load before it."""
        faults = []
        latest: dict[str, int] = {}
        for line in self._lines:
            if line.what != "load":
                continue
            epoch = _group_epoch(line)[1]
            if epoch < latest.get(line.target, 0):
                faults.append(
                    f"{line.at:.3f} {line.target} loaded {line.detail} after a higher epoch"
                )
            latest[line.target] = epoch
        return faults

    def _read_memberships(self) -> None:
        current: dict[str, Membership] = {}
        for line in self._lines:
            if line.what in ("load", "release", "killed") and line.target in current:
                current.pop(line.target).until = line.at
            if line.what == "load":
                group_epoch = _group_epoch(line)
                _, _, rank, size = line.detail.split()
                membership = Membership(line.target, int(rank), line.at)
                current[line.target] = membership
                self._memberships[group_epoch].append(membership)
                self._sizes[group_epoch] = int(size)

    def _has_joined_another(self, ended: Membership, group_epoch: GroupEpoch, at: float) -> bool:
        return any(
            membership.engine == ended.engine
            and ended.until <= membership.since <= at
            and other[0] != group_epoch[0]
            for other, memberships in self._memberships.items()
            for membership in memberships
        )


def _engines_at(memberships: list[Membership], at: float) -> set[str]:
    return {
        membership.engine
        for membership in memberships
        if membership.since <= at <= membership.until
    }


def _group_epoch(line: LedgerLine) -> GroupEpoch:
    group, epoch = line.detail.split()[:2]
    return group, int(epoch)
