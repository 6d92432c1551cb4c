"""Choice between targets: the less loaded of two random ones, by the load the entry knows."""

from random import Random

import msgspec

from jaylatch_core.ids import InstanceId


class Candidate(msgspec.Struct, frozen=True):
    """A target that may receive the attempt.

    ``own_in_flight`` counts this entry's attempts; ``reported_in_flight`` is the agent's total as
    of its latest report. ``entries`` is the number of entries that share the limit.
    """

    instance: InstanceId
    is_admitting: bool
    own_in_flight: int
    reported_in_flight: int
    limit: int
    entries: int = 1


def choose_candidate(candidates: list[Candidate], random: Random) -> Candidate | None:
    """Return the less loaded of two random open candidates (admitting and not full), or None."""
    open_candidates = [item for item in candidates if item.is_admitting and not _is_full(item)]
    if not open_candidates:
        return None
    picks = random.sample(open_candidates, min(2, len(open_candidates)))
    return min(picks, key=_load)


def choose_round_robin(candidates: list[Candidate], turn: int) -> Candidate | None:
    """Return the open candidate for this ``turn``, regardless of load (a baseline)."""
    open_candidates = [item for item in candidates if item.is_admitting and not _is_full(item)]
    return open_candidates[turn % len(open_candidates)] if open_candidates else None


def choose_least_loaded(candidates: list[Candidate]) -> Candidate | None:
    """Return the open candidate with the least known load (a baseline)."""
    open_candidates = [item for item in candidates if item.is_admitting and not _is_full(item)]
    return min(open_candidates, key=_load, default=None)


def _load(candidate: Candidate) -> float:
    return max(candidate.own_in_flight, candidate.reported_in_flight) / candidate.limit


def _is_full(candidate: Candidate) -> bool:
    """Return whether the target has no room for this entry.

    An entry may always use its part of the limit, so that none starves because the others refill
    their places first. Beyond that part it uses only places that are known to be free.
    """
    total = max(candidate.own_in_flight, candidate.reported_in_flight)
    return not has_room(candidate.own_in_flight, total, candidate.limit, candidate.entries)


def has_room(own_in_flight: int, in_flight: int, limit: int, entries: int) -> bool:
    """Return whether an entry may start an attempt on a target that ``entries`` compete for."""
    return in_flight < limit or own_in_flight < limit // entries
