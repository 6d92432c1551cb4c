"""Choice between the direct targets that can serve a request, by their expected load.

The expected load is the sum of this node's own requests and the load that the target last reported
for others, which decays with age. Of equal targets one in the local failure domain is preferred. A
target that has just failed is skipped for a time, so that a crashed or unresponsive one does not
attract requests. Times are seconds of the monotonic clock.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf
from random import Random

from jaylatch_core.ids import Epoch, FailureDomainId, GroupId, InstanceId

FAILURE_PAUSE = 1.0
"""Seconds for which a target is skipped after a failure; doubled for each further one."""
MAX_FAILURE_PAUSE = 8.0
"""Maximum seconds for which a target is skipped, so that it can regain its share."""
REPORT_RETENTION = 1.5
"""Seconds in which a reported load decays to zero: streams last about as long."""
FULL_LOAD = 1.2
"""Requests for each slot at which a target counts as full: a fifth of the slots becomes free within
a third of a second, which is the latency objective of a first event."""
RESUMED_FULL_LOAD = 2.5
"""Requests for each slot at which a target accepts no resumed stream either: its queue holds four
times its slots, and beyond this load a slot becomes free later than the caller's timeout of 2 s."""


@dataclass
class TargetLoad:
    """Load and failures of one target as this node knows them.

    ``own_in_flight`` counts this node's requests in flight, ``reported`` is the number of requests
    in the target's last report, and ``own_at_report`` this node's part of them. ``failures`` counts
    the consecutive failures. ``progress_at`` is when the target last sent part of an answer that it
    generates as the head of ``group`` under ``epoch``; both are unset for a plain service.
    ``is_cold``: control takes the target for cold. ``proven_at`` is when a request was sent that it
    has answered.
    """

    instance: InstanceId
    slots: int
    failure_domain: FailureDomainId
    own_in_flight: int = 0
    reported: int = 0
    own_at_report: int = 0
    reported_at: float = 0.0
    failures: int = 0
    usable_from: float = 0.0
    group: GroupId = GroupId("")
    epoch: Epoch = Epoch(0)
    progress_at: float = 0.0
    is_cold: bool = False
    proven_at: float = -inf

    def record_report(self, now: float, busy: int) -> None:
        """Record that the target runs or queues ``busy`` requests."""
        self.reported = busy
        self.own_at_report = self.own_in_flight
        self.reported_at = now

    def record_failure(self, now: float) -> None:
        """Skip the target for a time that doubles with each consecutive failure."""
        pause = min(FAILURE_PAUSE * 2**self.failures, MAX_FAILURE_PAUSE)
        self.failures += 1
        self.usable_from = now + pause

    def record_success(self) -> None:
        """Reset the failures."""
        self.failures = 0
        self.usable_from = 0.0

    def expected_load(self, now: float) -> float:
        """Return the expected number of requests for each slot of the target."""
        age = min((now - self.reported_at) / REPORT_RETENTION, 1.0)
        others = max(self.reported - self.own_at_report, 0) * (1.0 - age)
        return (self.own_in_flight + others) / max(self.slots, 1)


def may_admit(now: float, target: TargetLoad, is_resumed: bool) -> bool:
    """Return whether a stream may be sent to ``target``, the least loaded one.

    When the load exceeds the capacity of the targets, admitted streams are in time and the others
    are refused at once; without a limit all would be late. A resumed stream has already used
    capacity, and refusing it fails its caller for good, so its limit is higher.
    """
    limit = RESUMED_FULL_LOAD if is_resumed else FULL_LOAD
    return target.expected_load(now) < limit


def list_unattempted(
    candidates: Sequence[TargetLoad], attempted: Mapping[InstanceId, TargetLoad]
) -> list[TargetLoad]:
    """Return the candidates that a request was not sent to, or that were listed anew since."""
    return [item for item in candidates if attempted.get(item.instance) is not item]


def choose_target(
    now: float,
    candidates: Sequence[TargetLoad],
    local_domain: FailureDomainId,
    random: Random,
) -> TargetLoad | None:
    """Return the target with the least expected load, or None if there is no candidate.

    If all failed recently, the one whose pause ends first is returned, since the request would
    certainly be refused otherwise.
    """
    if not candidates:
        return None
    usable = [item for item in candidates if item.usable_from <= now]
    if not usable:
        return min(candidates, key=lambda item: item.usable_from)
    return min(
        usable,
        key=lambda item: (
            item.expected_load(now),
            item.failure_domain != local_domain,
            random.random(),
        ),
    )
