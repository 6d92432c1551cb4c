"""Count of the requests at plain services over all gateways, at the owner of their places.

Load pattern: 12 to 47 gateways send some calls a second to 3 to 5 targets with few slots. Each one
alone sees a report of a target every few seconds, while a call takes less than a tenth of a second.
The count refuses nothing: calls beyond the slots wait at the targets, as without it.
"""

from collections.abc import Sequence

from jaylatch_core.messages.places import PlaceCandidate, PlaceTaken, TakePlace
from jaylatch_decisions.balancing.choice import Candidate, least_work
from jaylatch_decisions.balancing.work import WorkTable


class ServiceOwner:
    """The requests in flight at plain services, as told by their gateways."""

    def __init__(self) -> None:
        self._table = WorkTable()

    def take(self, now: float, request: TakePlace) -> PlaceTaken:
        """Count a request at the candidate with the least expected work. There must be one.

        Of equal candidates it is the first one: the gateway lists the nearest first.
        """
        candidates = [Candidate(item.instance, item.slots) for item in request.candidates]
        instance, load = least_work(now, self._table, candidates)
        kind = f"{request.subject}/{request.kind}"
        self._table.start(now, request.permit, instance, kind, now + request.duration)
        return PlaceTaken(instance, load)

    def release(self, now: float, permit: str, is_answered: bool) -> bool:
        """Count a request no longer; return False if it was not counted here."""
        if permit not in self._table:
            return False
        if is_answered:
            self._table.finish(now, permit)
        else:
            self._table.abandon(permit)
        return True

    def loads(self, now: float, candidates: Sequence[PlaceCandidate]) -> list[float]:
        """Return the requests for each slot of the targets."""
        return [self._table.count(now, item.instance) / max(item.slots, 1) for item in candidates]
