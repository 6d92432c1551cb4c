"""Where a request goes among the direct targets that can serve it.

Answers uneven load: a target's own statement of its load, aged by what this node has sent since,
decides; of equal ones the nearer is taken. A target that has just failed is left out for a time,
so that a crashed or silent one does not draw requests. Times are seconds of the monotonic clock.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from jaylatch_core.ids import FailureDomainId, InstanceId

FAILURE_PAUSE = 1.0
"""Seconds for which a target is left out after a failure; doubled for each further one."""
LONGEST_PAUSE = 8.0
"""Seconds for which a target is left out at most, so that it wins its share back."""
REPORT_RETENTION = 1.5
"""Seconds in which a reported load fades to nothing: streams last about as long."""
FULL_LOAD = 1.2
"""Requests for each slot at which a target counts as full: a fifth of the slots ends within a third
of a second, which is the latency objective of a first event."""
RESUMED_FULL_LOAD = 2.5
"""Requests for each slot at which a target takes no resumed stream either: its queue holds four
times its slots, and a place beyond this comes later than the caller's patience of 2 s."""


@dataclass
class TargetLoad:
    """What this node knows of one target.

    ``reported`` is the number of requests that the target said it had, ``own_at_report`` this
    node's part of them.
    """

    instance: InstanceId
    slots: int
    failure_domain: FailureDomainId
    own: int = 0
    reported: int = 0
    own_at_report: int = 0
    reported_at: float = 0.0
    failures: int = 0
    usable_from: float = 0.0

    def take_report(self, now: float, busy: int) -> None:
        """Note that the target runs or holds ``busy`` requests."""
        self.reported = busy
        self.own_at_report = self.own
        self.reported_at = now

    def record_failure(self, now: float) -> None:
        """Leave the target out for a time that doubles with each failure in a row."""
        pause = min(FAILURE_PAUSE * 2**self.failures, LONGEST_PAUSE)
        self.failures += 1
        self.usable_from = now + pause

    def record_success(self) -> None:
        """Forget the failures."""
        self.failures = 0
        self.usable_from = 0.0

    def expected(self, now: float) -> float:
        """Return how many requests for each slot the target has, as far as is known."""
        age = min((now - self.reported_at) / REPORT_RETENTION, 1.0)
        others = max(self.reported - self.own_at_report, 0) * (1.0 - age)
        return (self.own + others) / max(self.slots, 1)


def may_admit(now: float, target: TargetLoad, is_resumed: bool) -> bool:
    """Return whether a stream may be sent to ``target``, the least loaded one.

    Answers a load above what the targets can do: those that are admitted are in time, and the
    others learn at once that they are not, where otherwise all would be late. A stream that is
    resumed is half paid for, and to cut it fails its caller for good, so it is sent where a new one
    is not.
    """
    limit = RESUMED_FULL_LOAD if is_resumed else FULL_LOAD
    return target.expected(now) < limit


def choose_target(
    now: float,
    candidates: Sequence[TargetLoad],
    near: FailureDomainId,
    random: Random,
    tried: frozenset[InstanceId] = frozenset(),
) -> TargetLoad | None:
    """Return the target with the least expected load, or None if none may be asked.

    Targets in ``tried`` are asked again only if there is no other. Where all have failed of late,
    the one whose pause ends first is asked, since a refusal would be certain otherwise.
    """
    untried = [item for item in candidates if item.instance not in tried]
    if not untried:
        return None
    usable = [item for item in untried if item.usable_from <= now]
    if not usable:
        return min(untried, key=lambda item: item.usable_from)
    return min(
        usable,
        key=lambda item: (item.expected(now), item.failure_domain != near, random.random()),
    )
