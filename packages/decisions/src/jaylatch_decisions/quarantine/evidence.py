"""Evidence against requests that ran on a target when it ended.

One death makes every request that ran there a suspect. A suspect may run again only where no other
suspect runs, so a second death identifies it; a complete answer clears it.
"""

from collections.abc import Iterable
from enum import Enum

from jaylatch_core.ids import RequestDigest, TargetDeathId
from jaylatch_core.messages.membership import TargetDeath

DEATHS_TO_QUARANTINE = 2
MAX_DIGESTS = 1024
SAME_DEATH_WINDOW = 1.0
"""Seconds within which consecutive failures count as one death."""
MAX_REPORTED_DEATHS = 8
"""Deaths, and cleared suspects, that an agent reports; the oldest are dropped first."""


class QuarantineStatus(Enum):
    """State of a request according to the evidence."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class EvidenceTable:
    """Evidence of one entry, from the reports of all agents. Oldest digests are dropped first."""

    def __init__(self) -> None:
        self._deaths: dict[RequestDigest, dict[TargetDeathId, float]] = {}
        self._cleared: dict[RequestDigest, set[TargetDeathId]] = {}

    def __len__(self) -> int:
        return len(self._deaths)

    def record_deaths(self, now: float, deaths: Iterable[TargetDeath]) -> None:
        """Record deaths that an agent reports; each counts once however often it is reported."""
        for death in deaths:
            for digest in death.digests:
                if death.id in self._cleared.get(digest, ()):
                    continue
                self._deaths.setdefault(digest, {}).setdefault(death.id, now)
        while len(self._deaths) > MAX_DIGESTS:
            self._forget(next(iter(self._deaths)))

    def clear(self, digests: Iterable[RequestDigest]) -> None:
        """Withdraw the evidence against requests that were answered completely."""
        for digest in digests:
            deaths = self._deaths.pop(digest, None)
            if deaths is not None:
                self._cleared.setdefault(digest, set()).update(deaths)
        while len(self._cleared) > MAX_DIGESTS:
            del self._cleared[next(iter(self._cleared))]

    def status(self, now: float, digest: RequestDigest, duration: float) -> QuarantineStatus:
        """Return the state of a request; evidence expires after ``duration`` seconds."""
        if self.time_left(now, digest, duration) <= 0:
            self._forget(digest)
        deaths = len(self._deaths.get(digest, ()))
        if deaths >= DEATHS_TO_QUARANTINE:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.SUSPECT if deaths else QuarantineStatus.CLEAR

    def time_left(self, now: float, digest: RequestDigest, duration: float) -> float:
        """Return the seconds until the evidence against a request has expired."""
        newest = max(self._deaths.get(digest, {}).values(), default=now - duration)
        return max(newest + duration - now, 0.0)

    def _forget(self, digest: RequestDigest) -> None:
        self._deaths.pop(digest, None)


class DeathRecorder:
    """The deaths of the target of one agent. Failures close together count as one death."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._count = 0
        self._last_at = 0.0
        self._deaths: list[TargetDeath] = []
        self._cleared: list[RequestDigest] = []

    @property
    def deaths(self) -> tuple[TargetDeath, ...]:
        """Return the newest deaths."""
        return tuple(self._deaths)

    @property
    def cleared(self) -> tuple[RequestDigest, ...]:
        """Return the suspects that this target recently answered completely."""
        return tuple(self._cleared)

    def record_failure(self, now: float, digest: RequestDigest) -> None:
        """Record that a request was running when the target ended."""
        is_same = bool(self._deaths) and now - self._last_at < SAME_DEATH_WINDOW
        digests: tuple[RequestDigest, ...] = ()
        if is_same:
            digests = self._deaths.pop().digests
        else:
            self._count += 1
        self._last_at = now
        name = TargetDeathId(f"{self._name}/{self._count}")
        self._deaths.append(TargetDeath(name, (*digests, digest)))
        del self._deaths[:-MAX_REPORTED_DEATHS]

    def record_answer(self, digest: RequestDigest) -> None:
        """Record that a suspect was answered completely."""
        self._cleared.append(digest)
        del self._cleared[:-MAX_REPORTED_DEATHS]
