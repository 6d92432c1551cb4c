"""Leases of the grantor. Times are seconds of the grantor's monotonic clock.

The table exists only in the leader's memory. A new leader therefore does not know the leases that
its predecessor granted; until one lease duration has passed since its election it reports no lease
as lapsed.
"""

import msgspec

from jaylatch_core.deployment import NO_DEPLOYMENT, DeploymentNumber
from jaylatch_core.ids import Generation, InstanceId
from jaylatch_core.messages.membership import RenewLease


class Holder(msgspec.Struct):
    """A lease holder: its latest renewal and the time by which its lease has certainly lapsed."""

    renewal: RenewLease
    lapses_at: float


class LeaseTable:
    """All leases granted in one term of leadership."""

    def __init__(self, duration: float, drift: float, leader_since: float) -> None:
        self._duration = duration
        self._drift = drift
        self._certain_at = leader_since + duration * (1 + drift)
        self._holders: dict[InstanceId, Holder] = {}

    @property
    def duration(self) -> float:
        """Return the length of a lease in seconds."""
        return self._duration

    def grant(self, now: float, renewal: RenewLease) -> None:
        """Record a renewal; must be called before the grant is sent."""
        lapses_at = now + self._duration * (1 + self._drift)
        self._holders[renewal.instance] = Holder(renewal, lapses_at)

    def holder(self, now: float, instance: InstanceId) -> Holder | None:
        """Return the holder with the id ``instance`` if its lease has not lapsed."""
        holder = self._holders.get(instance)
        return holder if holder is not None and now < holder.lapses_at else None

    def live(self, now: float) -> list[Holder]:
        """Return the holders whose lease has not lapsed."""
        return [holder for holder in self._holders.values() if now < holder.lapses_at]

    def known(self, instance: InstanceId) -> Holder | None:
        """Return the holder with the id ``instance``, even if its lease has lapsed."""
        return self._holders.get(instance)

    def all(self) -> list[Holder]:
        """Return all holders of this term, including those whose lease has lapsed."""
        return list(self._holders.values())

    def knows_all(self, now: float) -> bool:
        """Return whether all leases of earlier leaders have certainly lapsed or been renewed."""
        return now >= self._certain_at

    def has_lapsed(self, now: float, instance: InstanceId) -> bool:
        """Return whether ``instance`` is certain to hold no lease."""
        return self.knows_all(now) and self.holder(now, instance) is None

    def lagging_holders(
        self,
        now: float,
        configuration: Generation,
        preset: Generation,
        deployment: DeploymentNumber = NO_DEPLOYMENT,
    ) -> list[InstanceId]:
        """Return the holders that do not apply all of these generations yet."""
        return [
            holder.renewal.instance
            for holder in self.live(now)
            if holder.renewal.configuration < configuration
            or holder.renewal.preset_in_force < preset
            or holder.renewal.deployment < deployment
        ]

    def is_preset_prepared(self, now: float, preset: Generation) -> bool:
        """Return whether every holder has acknowledged the preset switch ``preset``."""
        return self.knows_all(now) and all(
            holder.renewal.preset >= preset for holder in self.live(now)
        )
