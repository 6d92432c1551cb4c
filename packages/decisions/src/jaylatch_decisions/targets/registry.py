"""Who is a direct target, from heartbeats that come late, out of order or from ended incarnations.

Answers these faults: a heartbeat that a partition delayed until its sender had crashed, an address
that another target has taken over, an id that starts again, a target that falls silent, and a
departure that is overtaken by an older heartbeat. Times are seconds of the monotonic clock.
"""

from dataclasses import dataclass

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.targets import TargetCheckIn

GAP_LIMIT = 12.0
"""Seconds without a leader up to which the targets that were known before count as there: a control
quorum recovers in this time, or the platform counts the deployment as failed."""
DEPARTURE_TIME = 8.0
"""Seconds for which a target that departs unannounced may end its work: it serves for 2 s at least,
and as a member while the head of its group has work for 10 s at most."""


@dataclass
class TargetRecord:
    """The newest heartbeat of a target.

    ``last_contact_at`` is when it came, ``draining_since`` when the target first said that it leaves,
    ``departed_at`` when it said that it reports no more, ``appeared_at`` when its incarnation was
    first heard of. ``is_lost`` tells that it has not answered a probe since.
    """

    heartbeat: TargetCheckIn
    last_contact_at: float
    draining_since: float | None = None
    departed_at: float | None = None
    is_lost: bool = False
    appeared_at: float = 0.0


class TargetRegistry:
    """All targets that have reported to control.

    ``silence`` ends a target's usability. Every control instance keeps a registry, so that a new
    leader knows the targets at once; one that has just started knows them after ``silence``.
    """

    def __init__(self, silence: float, started_at: float) -> None:
        self._silence = silence
        self._complete_at = started_at + silence
        self._records: dict[InstanceId, TargetRecord] = {}
        self._departed: dict[InstanceId, int] = {}

    @property
    def complete_at(self) -> float:
        """Return the time from which a target that is not known surely does not report."""
        return self._complete_at

    def record(self, instance: InstanceId) -> TargetRecord | None:
        """Return the record of ``instance``, or None."""
        return self._records.get(instance)

    def all(self) -> list[TargetRecord]:
        """Return all records, silent targets included."""
        return list(self._records.values())

    def record_heartbeat(self, now: float, heartbeat: TargetCheckIn) -> bool:
        """Take a heartbeat; returns False if a newer incarnation or heartbeat is known."""
        if self._is_obsolete(heartbeat):
            return False
        known = self._records.get(heartbeat.instance)
        is_same_incarnation = known is not None and known.heartbeat.born_at == heartbeat.born_at
        draining_since = known.draining_since if known and is_same_incarnation else None
        if heartbeat.is_draining and draining_since is None:
            draining_since = now
        self._evict_address(heartbeat)
        appeared_at = known.appeared_at if known and is_same_incarnation else now
        self._records[heartbeat.instance] = TargetRecord(
            heartbeat, now, draining_since, appeared_at=appeared_at
        )
        return True

    def begin_leading(self, now: float) -> None:
        """Count the silence of the targets as if no time had passed since the last heartbeat.

        An instance that does not lead hears of heartbeats from the leader, and of none while that
        is cut off, so what it has not heard since is no sign of a loss. A target that was silent
        before is silent still.
        """
        last_contact_at = max(
            (record.last_contact_at for record in self._records.values()), default=now
        )
        gap = now - last_contact_at
        if gap >= GAP_LIMIT:
            return
        for record in self._records.values():
            record.last_contact_at += gap

    def depart(self, now: float, instance: InstanceId) -> None:
        """Take a target's last word; older heartbeats of it are ignored from now on.

        One that has said before that it leaves ends now. Another one ends its work first, as the
        members of its group do, so it counts as leaving for a time.
        """
        record = self._records.get(instance)
        if record is None or record.departed_at is not None:
            return
        self._departed[instance] = record.heartbeat.born_at
        if record.draining_since is not None:
            del self._records[instance]
            return
        record.draining_since = record.departed_at = now

    def is_usable(self, now: float, instance: InstanceId) -> bool:
        """Return whether ``instance`` was heard of late, or is ending its work."""
        record = self._records.get(instance)
        if record is None or record.is_lost:
            return False
        if record.departed_at is not None:
            return now < record.departed_at + DEPARTURE_TIME
        return now < record.last_contact_at + self._silence

    def mark_lost(self, instance: InstanceId, asked_at: float) -> bool:
        """Count a target as lost that did not answer a probe sent at ``asked_at``.

        Returns False if it has reported since, which ends the mark.
        """
        record = self._records.get(instance)
        if record is None or record.last_contact_at >= asked_at:
            return False
        record.is_lost = True
        return True

    def forget_unresponsive(self, now: float, retention: float) -> None:
        """Drop the targets that have been silent for ``retention`` seconds."""
        for instance, record in list(self._records.items()):
            if now >= record.last_contact_at + retention:
                del self._records[instance]

    def _is_obsolete(self, heartbeat: TargetCheckIn) -> bool:
        if self._departed.get(heartbeat.instance, -1) >= heartbeat.born_at:
            return True
        known = self._records.get(heartbeat.instance)
        if known is not None:
            newest = (known.heartbeat.born_at, known.heartbeat.sequence)
            if (heartbeat.born_at, heartbeat.sequence) <= newest:
                return True
        return any(
            record.heartbeat.address == heartbeat.address
            and record.heartbeat.born_at > heartbeat.born_at
            for record in self._records.values()
        )

    def _evict_address(self, heartbeat: TargetCheckIn) -> None:
        """Drop the target that had the address before: one address has one process."""
        for instance, record in list(self._records.items()):
            if instance != heartbeat.instance and record.heartbeat.address == heartbeat.address:
                del self._records[instance]
