"""Whether a direct target is cold: it has just started, and crashes at a rate it bears when warm.

Load pattern: a failure domain comes back during traffic, all of its targets start at once, and the
requests that waited for them arrive together. A target is cold for a time after its start, and may
become cold again later; its reports are late by up to a heartbeat interval. Times are seconds of
the monotonic clock.
"""

from dataclasses import dataclass

START_TIME_MARGIN = 5.0
"""Seconds by which the wall clocks of a target and of control may differ."""
COLD_SLOTS_FRACTION = 0.5
"""Fraction of its slots that a cold target is given: it is slow, and warm ones get more work."""


@dataclass(frozen=True)
class ColdFacts:
    """What control knows of one incarnation of a target.

    ``appeared_at`` is when its first heartbeat arrived, and ``reported_at`` when the newest one
    did, which stated ``cold_left`` (None: nothing). ``was_before_traffic``: it appeared when no
    request could have been sent yet. ``uptime`` is the time since the start that it states, None
    where control has seen it start.
    """

    appeared_at: float
    reported_at: float
    cold_left: float | None
    was_before_traffic: bool = False
    uptime: float | None = None


def is_cold(now: float, facts: ColdFacts, cold_time: float) -> bool:
    """Return whether a target is cold, or not known to be warm.

    It is cold while its newest report says so, and for ``cold_time`` after its incarnation
    appeared. The latter does not hold for a target that reports to be warm and either was there
    before the traffic, or started long ago by its own statement when control itself restarted.
    """
    if facts.cold_left is not None and now < facts.reported_at + facts.cold_left:
        return True
    has_old_start = facts.uptime is not None and facts.uptime >= cold_time + START_TIME_MARGIN
    if facts.cold_left is not None and (facts.was_before_traffic or has_old_start):
        return False
    return now < facts.appeared_at + cold_time


def cold_slots(slots: int) -> int:
    """Return the slots that a cold target is given."""
    return max(int(slots * COLD_SLOTS_FRACTION), 1)
