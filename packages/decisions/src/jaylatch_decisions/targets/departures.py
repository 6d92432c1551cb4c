"""Departures of direct targets, and the heartbeats that they outdate.

Faults covered: heartbeats that arrive after the departure of the target that sent them, also where
none arrived before it, as after a restart of control or during a slow start of the target.
"""

from dataclasses import dataclass
from itertools import islice

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.targets import TargetDeparture

LATE_HEARTBEAT_LIMIT = 15.0
"""Seconds after a departure in which heartbeats of an unknown incarnation may be late: a target is
cut off for 10 s at most, and its heartbeats follow."""
CLOCK_TOLERANCE = 500
"""Milliseconds by which the clocks of a target and of control may differ. A target serves for 2 s
after its departure, so that a later incarnation starts later than that."""
RETENTION = 600.0
"""Seconds for which a departure is kept."""
MAX_DROPPED = 2
"""Most departures that are dropped when one is recorded; at 1 there would never be fewer."""


@dataclass(frozen=True)
class _Departure:
    """``recorded_at`` is a time of the monotonic clock."""

    departure: TargetDeparture
    recorded_at: float


class Departures:
    """The latest departure of each target."""

    def __init__(self) -> None:
        self._known: dict[InstanceId, _Departure] = {}

    def record(self, now: float, departure: TargetDeparture) -> None:
        """Record a departure, and drop those that are too old to matter."""
        self._known.pop(departure.instance, None)
        self._known[departure.instance] = _Departure(departure, now)
        for instance, known in tuple(islice(self._known.items(), MAX_DROPPED)):
            if known.recorded_at <= now - RETENTION:
                del self._known[instance]

    def outdates(self, now: float, instance: InstanceId, born_at: int) -> bool:
        """Return whether the incarnation of ``instance`` that started at ``born_at`` has departed.

        The one that was known when it departed, and older ones, have for good. Any other one that
        started before the departure is taken for departed as long as its heartbeats may be late.
        """
        known = self._known.get(instance)
        if known is None:
            return False
        if born_at <= known.departure.born_at:
            return True
        is_recent = now < known.recorded_at + LATE_HEARTBEAT_LIMIT
        return is_recent and born_at <= known.departure.left_at + CLOCK_TOLERANCE
