"""Choice of a target by expected work: the requests for each slot, times the pace of the target.

Load pattern: many gateways choose at the same moment with reports that are old, so that all would
send to the target whose report is the lowest. A process that counts for all gateways knows the
requests in flight. A gateway that counts only for itself takes an old report for the mean of the
targets, so that its own requests decide and not all gateways choose alike. Times are seconds of the
monotonic clock.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_decisions.balancing.work import WorkTable

MIN_REPORT_HALF_LIFE = 0.01
"""Seconds. The half-life of a report is the mean duration of the requests, because those that a
target had at the report end within about that time; this is used while it is not known."""
MEAN_HALF_LIVES = 4.0
"""Half-lives of a report after which it counts half in the mean over the targets, which changes
less than the load of one."""


@dataclass(frozen=True)
class Candidate:
    """A target that may be chosen."""

    instance: InstanceId
    slots: int
    failure_domain: FailureDomainId = FailureDomainId("")


@dataclass(frozen=True)
class Report:
    """A load report of a target, less the reporting gateway's own requests."""

    others: int
    at: float


def least_work(
    now: float, table: WorkTable, candidates: Sequence[Candidate]
) -> tuple[InstanceId, float]:
    """Return the target with the least expected work, and its requests for each slot.

    ``table`` counts the requests of all gateways. The new request is included. Of equal targets the
    first one is returned.
    """
    chosen = min(
        candidates, key=lambda item: _load_with(now, table, item) * table.pace(now, item.instance)
    )
    return chosen.instance, _load_with(now, table, chosen)


def least_estimated_work(
    now: float,
    table: WorkTable,
    candidates: Sequence[Candidate],
    reports: Mapping[InstanceId, Report],
    local_domain: FailureDomainId,
    random: Random,
) -> InstanceId:
    """Return the target with the least expected work, where ``table`` counts those of one gateway.

    Of equal targets one in the local failure domain is preferred.
    """
    half_life = max(table.mean_duration, MIN_REPORT_HALF_LIFE)
    mean = _mean_of_reports(now, candidates, reports, half_life)

    def order(item: Candidate) -> tuple[float, bool, float]:
        report = reports.get(item.instance)
        others = mean
        if report is not None:
            weight = math.exp2((report.at - now) / half_life)
            others += weight * (report.others / max(item.slots, 1) - mean)
        work = (_load_with(now, table, item) + others) * table.pace(now, item.instance)
        return work, item.failure_domain != local_domain, random.random()

    return min(candidates, key=order).instance


def _mean_of_reports(
    now: float,
    candidates: Sequence[Candidate],
    reports: Mapping[InstanceId, Report],
    half_life: float,
) -> float:
    """Return the mean number of requests of others for each slot, newer reports counting more."""
    total = weights = 0.0
    for item in candidates:
        report = reports.get(item.instance)
        if report is not None:
            weight = math.exp2((report.at - now) / (MEAN_HALF_LIVES * half_life))
            total += weight * report.others / max(item.slots, 1)
            weights += weight
    return total / weights if weights > 0 else 0.0


def _load_with(now: float, table: WorkTable, item: Candidate) -> float:
    return (table.count(now, item.instance) + 1) / max(item.slots, 1)
