"""Registry of the direct targets, from heartbeats that may be late, out of order or obsolete.

Faults covered: a heartbeat that a partition delayed until its sender had crashed, an address that
another target has taken over, an id that is used again after a restart, a target whose heartbeats
stop, a sound target that is silent for a moment, an older heartbeat that arrives after a departure,
and entries of another writer under the id or the address of a target. Times are seconds of the
monotonic clock.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.targets import UNKNOWN_START, TargetCheckIn, TargetDeparture
from jaylatch_decisions.targets.departures import Departures

MAX_LEADERLESS_TIME = 12.0
"""Seconds without a leader for which the targets known before remain valid: a control quorum
recovers in this time, or the platform counts the deployment as failed."""
DEPARTURE_GRACE_PERIOD = 8.0
"""Seconds for which a target that departs without draining may finish its work: it serves for at
least 2 s and, as a member, until the head of its group has no work left, at most 10 s."""
MAX_SEQUENCE_STEP = 10_000_000
"""Most heartbeats of one incarnation that may be missed between two that arrive."""
SILENCE_LIMIT = 1.2
"""Seconds after the first probe that a target accepts without an answer until one shows its loss. A
sound target may be silent for a second or so; it is probed only after a part of that, so it answers
in time."""


class ProbeOutcome(Enum):
    """Outcome of a probe.

    ``SILENT``: the target accepts a connection, but does not answer on it. ``REFUSED``: an answer
    other than success, as from another instance at its address. ``UNREACHABLE``: it does not accept
    a connection in time.
    """

    ANSWERED = "answered"
    SILENT = "silent"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class ProbeVerdict(Enum):
    """What a probe shows of a target. ``HEARD_AGAIN``: it has sent a heartbeat since."""

    SOUND = "sound"
    SILENT = "silent"
    LOST = "lost"
    HEARD_AGAIN = "heard again"


@dataclass
class TargetRecord:
    """The newest heartbeat of a target.

    ``last_contact_at`` is when it arrived, ``draining_since`` when the target first announced that
    it drains, ``departed_at`` when it announced that it reports no more, ``appeared_at`` when the
    first heartbeat of its incarnation arrived, ``reported_at`` when the newest one did, whereas
    ``last_contact_at`` counts other evidence too. ``missed_probe_at`` is when a probe was
    sent that showed its loss, ``silent_since`` when the first probe was sent that it accepted, but
    did not answer; both after its last contact.
    """

    heartbeat: TargetCheckIn
    last_contact_at: float
    draining_since: float | None = None
    departed_at: float | None = None
    missed_probe_at: float | None = None
    silent_since: float | None = None
    appeared_at: float = 0.0
    reported_at: float = 0.0


class TargetRegistry:
    """All targets that have reported to control.

    A target without a heartbeat for ``heartbeat_timeout`` seconds is not usable. Every control
    instance has a registry, so that a new leader knows the targets at once; one that has just
    started knows them after ``heartbeat_timeout``.
    """

    def __init__(self, heartbeat_timeout: float, started_at: float) -> None:
        self._heartbeat_timeout = heartbeat_timeout
        self._complete_at = started_at + heartbeat_timeout
        self._records: dict[InstanceId, TargetRecord] = {}
        self._holders: dict[str, InstanceId] = {}
        self._revision = 0
        self._departures = Departures()
        self._services: frozenset[str] = frozenset()

    @property
    def complete_at(self) -> float:
        """Return the time from which an unknown target certainly sends no heartbeats."""
        return self._complete_at

    @property
    def revision(self) -> int:
        """Return a number that changes with each change of the records."""
        return self._revision

    def use_services(self, services: frozenset[str]) -> None:
        """Use ``services`` as all that exist; none are known before the first deployment."""
        self._services = services

    def record(self, instance: InstanceId) -> TargetRecord | None:
        """Return the record of ``instance``, or None."""
        return self._records.get(instance)

    def all(self) -> list[TargetRecord]:
        """Return all records, those of unresponsive targets included."""
        return list(self._records.values())

    def changes_routes(self, now: float, heartbeat: TargetCheckIn) -> bool:
        """Return whether routes may change once ``heartbeat`` is recorded.

        Load pattern: hundreds of targets send a heartbeat each second, of which nearly all repeat
        what is known. The routes are derived again at once for the others only.
        """
        record = self._records.get(heartbeat.instance)
        if record is None or not self.is_usable(now, heartbeat.instance):
            return True
        return _routing_facts(record.heartbeat) != _routing_facts(heartbeat)

    def record_heartbeat(self, now: float, heartbeat: TargetCheckIn) -> bool:
        """Record a heartbeat; returns False if a newer incarnation or heartbeat is known."""
        if self._is_obsolete(now, heartbeat) or self._is_foreign(now, heartbeat):
            return False
        known = self._records.get(heartbeat.instance)
        is_same_incarnation = known is not None and known.heartbeat.born_at == heartbeat.born_at
        draining_since = known.draining_since if known and is_same_incarnation else None
        if heartbeat.is_draining and draining_since is None:
            draining_since = now
        self._evict_address(heartbeat)
        appeared_at = known.appeared_at if known and is_same_incarnation else now
        if known is not None:
            del self._holders[known.heartbeat.address]
        self._holders[heartbeat.address] = heartbeat.instance
        self._records[heartbeat.instance] = TargetRecord(
            heartbeat, now, draining_since, appeared_at=appeared_at, reported_at=now
        )
        self._revision += 1
        return True

    def begin_leading(self, now: float) -> None:
        """Measure the heartbeat timeouts as if the newest heartbeat had arrived just now.

        An instance that does not lead receives heartbeats from the leader, and none while that is
        cut off, so heartbeats missing since then are no sign of a loss. A target that was
        unresponsive before remains so. Its own probes were those of another term.
        """
        for record in self._records.values():
            record.silent_since = None
        last_contact_at = max(
            (record.last_contact_at for record in self._records.values()), default=now
        )
        gap = now - last_contact_at
        if gap >= MAX_LEADERLESS_TIME:
            return
        self._revision += 1
        for record in self._records.values():
            record.last_contact_at += gap

    def identify(self, departure: TargetDeparture) -> TargetDeparture:
        """Return the departure with the start of the incarnation that is known."""
        record = self._records.get(departure.instance)
        born_at = record.heartbeat.born_at if record is not None else UNKNOWN_START
        return msgspec.structs.replace(departure, born_at=born_at)

    def depart(self, now: float, departure: TargetDeparture) -> None:
        """Record the departure of a target; its heartbeats are ignored from now on.

        A target that was draining ends now. Another one finishes its work first, as the members of
        its group do, so it counts as draining for ``DEPARTURE_GRACE_PERIOD``. A later incarnation
        that is known already stays.
        """
        instance = departure.instance
        self._departures.record(now, departure)
        record = self._records.get(instance)
        if record is None or record.departed_at is not None:
            return
        if not self._departures.outdates(now, instance, record.heartbeat.born_at):
            return
        if record.draining_since is not None:
            self._forget(instance)
            return
        self._revision += 1
        record.draining_since = record.departed_at = now

    def is_usable(self, now: float, instance: InstanceId) -> bool:
        """Return whether ``instance`` sends heartbeats or finishes its work, and is not lost."""
        record = self._records.get(instance)
        if record is None or record.missed_probe_at is not None:
            return False
        if record.departed_at is not None:
            return now < record.departed_at + DEPARTURE_GRACE_PERIOD
        return now < record.last_contact_at + self._heartbeat_timeout

    def judge_probe(
        self, asked_at: float, instance: InstanceId, outcome: ProbeOutcome
    ) -> ProbeVerdict:
        """Record the outcome of a probe sent at ``asked_at``; return what it shows.

        A target that accepts connections and is silent is lost only after ``SILENCE_LIMIT``: its
        process exists and may go on. One without a process or a machine accepts none.
        """
        record = self._records.get(instance)
        if record is not None and outcome is ProbeOutcome.ANSWERED:
            record.silent_since = None
            return ProbeVerdict.SOUND
        if record is None or record.last_contact_at >= asked_at:
            return ProbeVerdict.HEARD_AGAIN
        if outcome is ProbeOutcome.SILENT:
            if record.silent_since is None:
                record.silent_since = asked_at
            if asked_at < record.silent_since + SILENCE_LIMIT:
                return ProbeVerdict.SILENT
        self.mark_lost(instance, asked_at)
        return ProbeVerdict.LOST

    def overdue_silences(self, now: float) -> list[InstanceId]:
        """Return the targets whose silence has reached its limit, to be probed a last time."""
        return [
            instance
            for instance, record in self._records.items()
            if record.silent_since is not None
            and record.missed_probe_at is None
            and now >= record.silent_since + SILENCE_LIMIT
        ]

    def mark_lost(self, instance: InstanceId, asked_at: float) -> bool:
        """Mark a target as lost, as shown by a probe sent at ``asked_at``.

        Returns False if it has sent a heartbeat since. A later heartbeat clears the mark.
        """
        record = self._records.get(instance)
        if record is None or record.last_contact_at >= asked_at:
            return False
        self._revision += 1
        record.missed_probe_at = asked_at
        return True

    def confirm(self, at: float, instance: InstanceId) -> None:
        """Record that the target was working at ``at``, as others than itself have seen.

        Fault covered: a partition between the targets and control, while the gateways reach them.
        """
        record = self._records.get(instance)
        if record is None or record.last_contact_at >= at:
            return
        self._revision += 1
        record.last_contact_at = at
        if record.missed_probe_at is not None and record.missed_probe_at < at:
            record.missed_probe_at = None
        if record.silent_since is not None and record.silent_since < at:
            record.silent_since = None

    def forget_unresponsive(self, now: float, retention: float) -> None:
        """Drop the targets that have sent no heartbeat for ``retention`` seconds."""
        for instance, record in list(self._records.items()):
            if now >= record.last_contact_at + retention:
                self._forget(instance)

    def _is_foreign(self, now: float, heartbeat: TargetCheckIn) -> bool:
        """Return whether another writer uses the id or the address of a target that is usable.

        A target belongs to one service for its whole life and counts its heartbeats one by one. An
        entry of a service that does not exist names no target, so it can't replace one.
        """
        known = self._records.get(heartbeat.instance)
        holders = (heartbeat.instance, self._holders.get(heartbeat.address))
        replaces_usable = any(item and self.is_usable(now, item) for item in holders)
        if self._services and heartbeat.service not in self._services and replaces_usable:
            return True
        if known is None or not heartbeat.born_at or heartbeat.born_at != known.heartbeat.born_at:
            return False
        return (
            heartbeat.service != known.heartbeat.service
            or heartbeat.sequence > known.heartbeat.sequence + MAX_SEQUENCE_STEP
        )

    def _is_obsolete(self, now: float, heartbeat: TargetCheckIn) -> bool:
        if self._departures.outdates(now, heartbeat.instance, heartbeat.born_at):
            return True
        known = self._records.get(heartbeat.instance)
        if known is not None:
            newest = (known.heartbeat.born_at, known.heartbeat.sequence)
            if (heartbeat.born_at, heartbeat.sequence) <= newest:
                return True
        holder = self._holders.get(heartbeat.address)
        return holder is not None and self._records[holder].heartbeat.born_at > heartbeat.born_at

    def _evict_address(self, heartbeat: TargetCheckIn) -> None:
        """Drop the target that had the address before: an address belongs to one process."""
        holder = self._holders.get(heartbeat.address)
        if holder is not None and holder != heartbeat.instance:
            self._forget(holder)

    def _forget(self, instance: InstanceId) -> None:
        """Drop the record of ``instance``, if there is one, and its address."""
        self._revision += 1
        record = self._records.pop(instance, None)
        if record is not None:
            del self._holders[record.heartbeat.address]


def _routing_facts(heartbeat: TargetCheckIn) -> tuple[object, ...]:
    return (
        heartbeat.born_at,
        heartbeat.service,
        heartbeat.address,
        heartbeat.failure_domain,
        heartbeat.fabric_domain,
        heartbeat.slots,
        heartbeat.is_draining,
        heartbeat.membership,
        bool(heartbeat.cold_left),
    )
