"""Conditions that targets state in their answers about the requests that they take.

A target that states a limit states it in each answer, until it takes any number of requests again.
One that turns a request away may ask for rest: it wants no request from this gateway for a time.
One that leaves says so in each answer, and takes no new request until it ends.
Times are seconds of the monotonic clock.
"""

from dataclasses import dataclass
from random import Random

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.places import CandidateLimit
from jaylatch_decisions.places import LIMIT_RETENTION
from jaylatch_decisions.rates import RateBucket

LEAVING_RETENTION = 60.0
"""Seconds after which a target that said that it leaves may be another incarnation of its id: it
serves for some seconds after it has said so."""
UNSHARED_FRACTION = 0.5
"""Fraction of a limit that all gateways together use while no owner shares it among them. If some
still reach an owner, which grants all of it, the sum exceeds the limit by less than half."""


@dataclass(frozen=True)
class StatedLimit:
    """The requests a second that a target takes from all gateways together, None for any number."""

    rate: float | None
    stated_at: float


class TargetConditions:
    """What the newest answer of each target to this process states."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._limits: dict[InstanceId, StatedLimit] = {}
        self._resting_until: dict[InstanceId, float] = {}
        self._leaving_since: dict[InstanceId, float] = {}
        self._cold_until: dict[InstanceId, float] = {}
        self._unshared_since = 0.0
        self._unshared: dict[InstanceId, RateBucket] = {}

    def record_limit(self, now: float, instance: InstanceId, rate: float | None) -> bool:
        """Record the limit that an answer states; return whether the one before stated another."""
        known = self._limits.get(instance)
        if known is None and rate is None:
            return False
        if known is None:
            self._forget_old(now)
        self._limits[instance] = StatedLimit(rate, now)
        return known is None or known.rate != rate

    def record_rest(self, now: float, instance: InstanceId, duration: float) -> bool:
        """Record that a target asks for rest; return whether it was not resting before."""
        self._resting_until = {
            other: until for other, until in self._resting_until.items() if now < until
        }
        known_until = self._resting_until.get(instance, 0.0)
        self._resting_until[instance] = max(now + duration, known_until)
        return not known_until

    def rest_left(self, now: float, instance: InstanceId) -> float:
        """Return the seconds for which the target wants no request from this process."""
        return max(self._resting_until.get(instance, 0.0) - now, 0.0)

    def record_leaving(self, now: float, instance: InstanceId) -> bool:
        """Record that a target says that it leaves; return whether it had not said so before."""
        oldest = now - LEAVING_RETENTION
        self._leaving_since = {
            other: since for other, since in self._leaving_since.items() if since > oldest
        }
        if instance in self._leaving_since:
            return False
        self._leaving_since[instance] = now
        return True

    def is_leaving(self, now: float, instance: InstanceId) -> bool:
        """Return whether the target has said that it leaves."""
        since = self._leaving_since.get(instance)
        return since is not None and now < since + LEAVING_RETENTION

    def record_cold(self, now: float, instance: InstanceId, duration: float) -> bool:
        """Record that a target says that it is cold; return whether it was not known before."""
        self._cold_until = {
            other: until for other, until in self._cold_until.items() if now < until
        }
        was_known = instance in self._cold_until
        self._cold_until[instance] = now + duration
        return not was_known

    def is_cold(self, now: float, instance: InstanceId) -> bool:
        """Return whether the target has said that it is still cold."""
        return now < self._cold_until.get(instance, 0.0)

    def stated_limit(self, now: float, instance: InstanceId) -> CandidateLimit | None:
        """Return what the target last stated about its limit, or None if it stated nothing."""
        stated = self._limits.get(instance)
        if stated is None or now >= stated.stated_at + LIMIT_RETENTION:
            return None
        return CandidateLimit(stated.rate, now - stated.stated_at)

    def limit(self, now: float, instance: InstanceId) -> float | None:
        """Return the limit of the target, None if it takes any number of requests."""
        stated = self.stated_limit(now, instance)
        return stated.rate if stated is not None else None

    # Limits that no owner shares among the gateways

    def record_owner(self, now: float, has_answered: bool) -> None:
        """Record whether an owner of places answers this process."""
        if has_answered:
            self._unshared_since = 0.0
            self._unshared.clear()
        elif not self._unshared_since:
            self._unshared_since = now

    def take_unshared(
        self, now: float, instance: InstanceId, gateways: int, bound: float | None = None
    ) -> bool:
        """Take one request of this process's equal part of a limit; return False if none is left.

        Without an owner ``gateways`` processes may send to the target, 0 if their number is not
        known. Nothing is left over from the time in which an owner answered. ``bound`` is a limit
        beside the one that the target states: 0 if it is cold, None if there is none.
        """
        limits = [item for item in (self.limit(now, instance), bound) if item is not None]
        if not limits:
            return True
        limit = min(limits)
        if not gateways or not limit:
            return False
        bucket = self._unshared.get(instance)
        if bucket is None:
            # Otherwise all gateways would send their first request in the same instant.
            bucket = RateBucket(self._unshared_since, -self._random.random())
            self._unshared[instance] = bucket
        if bucket.wait(now, limit * UNSHARED_FRACTION / gateways, 1.0) > 0:
            return False
        bucket.take()
        return True

    def _forget_old(self, now: float) -> None:
        oldest = now - LIMIT_RETENTION
        self._limits = {
            instance: stated
            for instance, stated in self._limits.items()
            if stated.stated_at > oldest
        }
