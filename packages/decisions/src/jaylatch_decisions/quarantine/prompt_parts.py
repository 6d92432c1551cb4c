"""Detection of parts of prompts that cause the death of the targets that answer them.

Requests share parts of their prompts, so a fatal part arrives in requests of which no two are
alike, and a digest of the whole request never recurs. The evidence against a part is that targets
died while several different requests with it were in flight. Sound parts are in flight at the same
targets; what tells them apart is that requests with them are also answered.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from jaylatch_core.ids import InstanceId, PromptPartId, RequestDigest

SharedParts = tuple[PromptPartId, ...]

MIN_DEATHS = 3
"""Deaths that quarantine a part."""
MIN_REQUESTS = 3
"""Different requests in these deaths: an interrupted request is often sent to a second target, so
its parts are found in two deaths even if they are sound."""
MAX_AMBIGUOUS_DEATHS = 5
"""Deaths after which one of several parts that cannot be told apart is quarantined."""
SUSPECTED_DEATHS = 2
"""Deaths after which gateways are asked whether they have seen an answer to a part."""
PROOF_TIME = 0.6
"""Seconds for which a part is suspected before it is quarantined, so that each gateway renews its
lease once and can report an answer."""
DEATH_WINDOW = 2.0
"""Longest time in seconds between the end of a connection and the target's death that ended it."""
EVIDENCE_TIME = 60.0
"""Seconds for which a death, and an answer, count as evidence."""
MAX_ANSWERED_PARTS = 4096
MAX_QUARANTINED_PARTS = 64


@dataclass
class _Death:
    """A death of a target, and the unproven parts of each request in flight there."""

    target: InstanceId
    at: float
    requests: dict[RequestDigest, SharedParts] = field(default_factory=dict)

    @property
    def parts(self) -> set[PromptPartId]:
        """Return the parts of all requests."""
        return {part for shared in self.requests.values() for part in shared}


@dataclass
class _Interruption:
    """A request whose connection its target closed."""

    at: float
    parts: SharedParts


class PartEvidence:
    """Evidence of the control leader against parts of prompts, and the parts it quarantines.

    ``quarantined`` are the parts that an earlier leader quarantined.
    """

    def __init__(self, now: float, quarantined: Iterable[PromptPartId] = ()) -> None:
        self._interruptions: dict[InstanceId, dict[RequestDigest, _Interruption]] = {}
        self._deaths: list[_Death] = []
        self._quarantined = dict.fromkeys(quarantined, now)
        self._suspected_since: dict[PromptPartId, float] = {}

    @property
    def quarantined(self) -> SharedParts:
        """Return the parts whose requests must not be sent, in a fixed order."""
        return tuple(sorted(self._quarantined))

    @property
    def suspected(self) -> SharedParts:
        """Return the parts for which an answer would be evidence, in a fixed order."""
        return tuple(sorted(self._suspected_since.keys() | self._quarantined.keys()))

    def record_interruption(
        self, now: float, target: InstanceId, digest: RequestDigest, parts: SharedParts
    ) -> None:
        """Record that a target closed its connection while it ran a request.

        ``parts`` are those that no answer has proven sound. The report may follow the death.
        """
        if not parts:
            return
        death = self._recent_death(now, target)
        if death is None:
            interrupted = self._interruptions.setdefault(target, {})
            interrupted[digest] = _Interruption(now, parts)
            return
        death.requests[digest] = parts
        self._evaluate(now)

    def record_death(self, now: float, target: InstanceId) -> None:
        """Record that a target died."""
        interrupted = self._interruptions.pop(target, {})
        requests = {
            digest: item.parts
            for digest, item in interrupted.items()
            if now < item.at + DEATH_WINDOW
        }
        death = self._recent_death(now, target)
        if death is None:
            self._deaths.append(_Death(target, now, requests))
        else:
            death.requests.update(requests)
        self._evaluate(now)

    def clear(self, parts: Iterable[PromptPartId]) -> None:
        """Withdraw the evidence against parts to which a gateway has received an answer."""
        cleared = set(parts)
        if not cleared:
            return
        for part in cleared:
            self._quarantined.pop(part, None)
            self._suspected_since.pop(part, None)
        for death in self._deaths:
            death.requests = {
                digest: tuple(part for part in shared if part not in cleared)
                for digest, shared in death.requests.items()
            }

    def expire(self, now: float, duration: float) -> None:
        """Drop old evidence, and parts quarantined for ``duration`` seconds; blame those due."""
        deaths = [death for death in self._deaths if now < death.at + EVIDENCE_TIME]
        self._interruptions = {
            target: items
            for target, items in self._interruptions.items()
            if any(now < item.at + DEATH_WINDOW for item in items.values())
        }
        quarantined = {part: at for part, at in self._quarantined.items() if now < at + duration}
        has_expired = len(deaths) < len(self._deaths) or len(quarantined) < len(self._quarantined)
        self._deaths, self._quarantined = deaths, quarantined
        if self._suspected_since or has_expired:
            self._evaluate(now)

    def _recent_death(self, now: float, target: InstanceId) -> _Death | None:
        return next(
            (
                death
                for death in self._deaths
                if death.target == target and now < death.at + DEATH_WINDOW
            ),
            None,
        )

    def _evaluate(self, now: float) -> None:
        """Update the suspected parts, and quarantine those that have had time for a proof."""
        while self._update_suspects(now) and self._blame(now):
            pass

    def _update_suspects(self, now: float) -> bool:
        """Update the suspected parts; return whether there are any."""
        deaths, _ = self._count_unexplained()
        self._suspected_since = {
            part: self._suspected_since.get(part, now)
            for part, count in deaths.items()
            if count >= SUSPECTED_DEATHS
        }
        return bool(self._suspected_since)

    def _blame(self, now: float) -> bool:
        """Quarantine the part that explains most deaths; return whether there is one.

        Of parts in equally many deaths the one of fewest requests is blamed, and of these the one
        deepest in the prompts, so that a part shared by most of the traffic is not.
        """
        deaths, requests = self._count_unexplained()
        most = max(deaths.values(), default=0)
        leading = [part for part, count in deaths.items() if count == most]
        if most < MIN_DEATHS or (len(leading) > 1 and most < MAX_AMBIGUOUS_DEATHS):
            return False
        blamable = [
            part
            for part in leading
            if requests[part] >= MIN_REQUESTS and now >= self._suspected_since[part] + PROOF_TIME
        ]
        if not blamable:
            return False
        blamed = min(blamable, key=lambda part: (requests[part], -self._depth(part)))
        self._quarantined[blamed] = now
        while len(self._quarantined) > MAX_QUARANTINED_PARTS:
            del self._quarantined[min(self._quarantined, key=self._quarantined.__getitem__)]
        return True

    def _depth(self, part: PromptPartId) -> int:
        """Return the greatest position of a part in the prompts of the recorded deaths."""
        return max(
            shared.index(part)
            for death in self._deaths
            for shared in death.requests.values()
            if part in shared
        )

    def _count_unexplained(self) -> tuple[Counter[PromptPartId], Counter[PromptPartId]]:
        """Return the deaths and the different requests of each part.

        A death is explained, and does not count, if a quarantined part was in flight there.
        """
        deaths: Counter[PromptPartId] = Counter()
        requests: dict[RequestDigest, set[PromptPartId]] = {}
        for death in self._deaths:
            parts = death.parts
            if parts & self._quarantined.keys():
                continue
            deaths.update(parts)
            for digest, shared in death.requests.items():
                requests.setdefault(digest, set()).update(shared)
        return deaths, Counter(part for shared in requests.values() for part in shared)


class AnsweredParts:
    """Parts of the prompts to which one gateway has received complete answers.

    Until ``conclusive_from``, the gateway has had too few answers for their lack to say anything.
    """

    def __init__(self, conclusive_from: float) -> None:
        self._conclusive_from = conclusive_from
        self._answered_at: dict[PromptPartId, float] = {}

    def record(self, now: float, parts: SharedParts) -> None:
        """Record a complete answer; the parts answered longest ago are dropped first."""
        for part in parts:
            self._answered_at.pop(part, None)
            self._answered_at[part] = now
        while len(self._answered_at) > MAX_ANSWERED_PARTS:
            del self._answered_at[next(iter(self._answered_at))]

    def proven(self, now: float, parts: Iterable[PromptPartId]) -> SharedParts:
        """Return those of ``parts`` that recent answers prove to be sound."""
        return tuple(part for part in parts if self._is_proven(now, part))

    def unproven(self, now: float, parts: Iterable[PromptPartId]) -> SharedParts:
        """Return those of ``parts`` that no recent answer proves to be sound."""
        if now < self._conclusive_from:
            return ()
        return tuple(part for part in parts if not self._is_proven(now, part))

    def _is_proven(self, now: float, part: PromptPartId) -> bool:
        answered_at = self._answered_at.get(part)
        return answered_at is not None and now < answered_at + EVIDENCE_TIME
