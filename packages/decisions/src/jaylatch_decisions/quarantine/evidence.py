"""Evidence against requests that ran on a target when it ended.

One death makes every request that ran there a suspect. A suspect may run again only where no other
suspect runs, so a second death points at it alone; a whole answer clears it.
"""

from collections.abc import Iterable
from enum import Enum

from jaylatch_core.ids import RequestDigest, TargetDeathId
from jaylatch_core.messages.membership import TargetDeath

DEATHS_TO_QUARANTINE = 2
TABLE_LIMIT = 1024
SAME_DEATH_TIME = 1.0
REPORTED_DEATHS = 8


class QuarantineStatus(Enum):
    """What the evidence says of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class EvidenceTable:
    """What one entry knows, from the reports of all agents. Oldest digests are dropped first."""

    def __init__(self) -> None:
        self._deaths: dict[RequestDigest, dict[TargetDeathId, float]] = {}
        self._cleared: dict[RequestDigest, set[TargetDeathId]] = {}

    def __len__(self) -> int:
        return len(self._deaths)

    def record_deaths(self, now: float, deaths: Iterable[TargetDeath]) -> None:
        """Take deaths that an agent reports; each counts once however often it is reported."""
        for death in deaths:
            for digest in death.digests:
                if death.id in self._cleared.get(digest, ()):
                    continue
                self._deaths.setdefault(digest, {}).setdefault(death.id, now)
        while len(self._deaths) > TABLE_LIMIT:
            self._forget(next(iter(self._deaths)))

    def clear(self, digests: Iterable[RequestDigest]) -> None:
        """Take back the evidence against requests that have been answered whole."""
        for digest in digests:
            deaths = self._deaths.pop(digest, None)
            if deaths is not None:
                self._cleared.setdefault(digest, set()).update(deaths)
        while len(self._cleared) > TABLE_LIMIT:
            del self._cleared[next(iter(self._cleared))]

    def status(self, now: float, digest: RequestDigest, duration: float) -> QuarantineStatus:
        """Return what is known of a request; evidence expires after ``duration`` seconds."""
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
    """The deaths of the target beside one agent. Failures close together are one death."""

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
        """Return the suspects that this target has answered whole of late."""
        return tuple(self._cleared)

    def record_failure(self, now: float, digest: RequestDigest) -> None:
        """Count a request among those that ran when the target ended."""
        is_same = bool(self._deaths) and now - self._last_at < SAME_DEATH_TIME
        digests: tuple[RequestDigest, ...] = ()
        if is_same:
            digests = self._deaths.pop().digests
        else:
            self._count += 1
        self._last_at = now
        name = TargetDeathId(f"{self._name}/{self._count}")
        self._deaths.append(TargetDeath(name, (*digests, digest)))
        del self._deaths[:-REPORTED_DEATHS]

    def record_answer(self, digest: RequestDigest) -> None:
        """Note that a suspect has been answered whole."""
        self._cleared.append(digest)
        del self._cleared[:-REPORTED_DEATHS]
