"""What one gateway knows of the load of targets, and its choice by that.

Load pattern: each of many gateways sees a small part of the answers, whose reports are old by the
time of its next request. Times are seconds of the monotonic clock.
"""

from collections.abc import Sequence
from random import Random

from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_decisions.balancing.choice import Candidate, Report, least_estimated_work
from jaylatch_decisions.balancing.work import WorkTable

REPORT_RETENTION = 30.0
"""Seconds after which a report says nothing more, as it is many times as old as requests take."""


class GatewayBalancer:
    """The requests of one gateway in flight, the learned pace of targets and their reports."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._table = WorkTable()
        self._reports: dict[InstanceId, Report] = {}

    def choose(
        self, now: float, candidates: Sequence[Candidate], local_domain: FailureDomainId
    ) -> InstanceId:
        """Return the candidate with the least expected work."""
        return least_estimated_work(
            now, self._table, candidates, self._reports, local_domain, self._random
        )

    def start(
        self, now: float, permit: str, instance: InstanceId, kind: str, expires_at: float
    ) -> None:
        """Count a request that is sent to a target."""
        self._table.start(now, permit, instance, kind, expires_at)

    def finish(self, now: float, permit: str) -> None:
        """Record the complete answer of a request."""
        self._table.finish(now, permit)

    def abandon(self, permit: str) -> None:
        """Count a request no longer that ended without a complete answer."""
        self._table.abandon(permit)

    def loads(self, now: float, candidates: Sequence[Candidate]) -> list[float]:
        """Return this gateway's requests for each slot of the targets."""
        return [self._table.count(now, item.instance) / max(item.slots, 1) for item in candidates]

    def record_report(self, now: float, instance: InstanceId, load: int, age: float = 0.0) -> None:
        """Record that a target ran or queued ``load`` requests ``age`` seconds ago.

        Reports that are older than the known one are ignored.
        """
        known = self._reports.get(instance)
        if known is None:
            self._forget_old(now)
        if known is None or known.at <= now - age:
            own = self._table.count(now, instance)
            self._reports[instance] = Report(max(load - own, 0), now - age)

    def count(self, now: float, instance: InstanceId) -> int:
        """Return the number of this gateway's requests in flight at a target."""
        return self._table.count(now, instance)

    def _forget_old(self, now: float) -> None:
        oldest = now - REPORT_RETENTION
        self._reports = {
            instance: known for instance, known in self._reports.items() if known.at > oldest
        }
