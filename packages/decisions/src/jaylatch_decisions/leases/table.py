"""Leases as their grantor sees them. Times are seconds of the grantor's monotonic clock.

The table lives in the leader's memory only. A new leader therefore cannot know the holders that
its predecessor granted; until one lease duration has passed since its election it reports nothing
as lapsed.
"""

import msgspec

from jaylatch_core.deployment import NO_DEPLOYMENT, DeploymentNumber
from jaylatch_core.ids import Generation, InstanceId
from jaylatch_core.messages.membership import RenewLease


class Holder(msgspec.Struct):
    """A lease holder: its latest renewal and the time at which its lease has surely lapsed."""

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
        """Record a renewal; call just before the grant is sent."""
        lapses_at = now + self._duration * (1 + self._drift)
        self._holders[renewal.instance] = Holder(renewal, lapses_at)

    def holder(self, now: float, instance: InstanceId) -> Holder | None:
        """Return the holder called ``instance`` if its lease has not lapsed."""
        holder = self._holders.get(instance)
        return holder if holder is not None and now < holder.lapses_at else None

    def live(self, now: float) -> list[Holder]:
        """Return the holders whose lease has not lapsed."""
        return [holder for holder in self._holders.values() if now < holder.lapses_at]

    def known(self, instance: InstanceId) -> Holder | None:
        """Return the last renewal of ``instance``, also if its lease has lapsed."""
        return self._holders.get(instance)

    def all(self) -> list[Holder]:
        """Return all holders of this term, also those whose lease has lapsed."""
        return list(self._holders.values())

    def knows_all(self, now: float) -> bool:
        """Return whether every lease of an earlier leader has surely lapsed or been renewed."""
        return now >= self._certain_at

    def is_gone(self, now: float, instance: InstanceId) -> bool:
        """Return whether ``instance`` surely holds no lease."""
        return self.knows_all(now) and self.holder(now, instance) is None

    def lagging_holders(
        self,
        now: float,
        configuration: Generation,
        preset: Generation,
        deployment: DeploymentNumber = NO_DEPLOYMENT,
    ) -> list[InstanceId]:
        """Return the holders that do not act under all of these yet."""
        return [
            holder.renewal.instance
            for holder in self.live(now)
            if holder.renewal.configuration < configuration
            or holder.renewal.preset_in_force < preset
            or holder.renewal.deployment < deployment
        ]

    def is_preset_prepared(self, now: float, preset: Generation) -> bool:
        """Return whether every holder knows of the preset switch ``preset``."""
        return self.knows_all(now) and all(
            holder.renewal.preset >= preset for holder in self.live(now)
        )
