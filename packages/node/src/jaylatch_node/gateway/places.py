"""Asks the keeper of a model's places where a request may go."""

from collections.abc import Sequence

from jaylatch_core.clock import monotonic
from jaylatch_core.ids import AttemptId, RequestDigest
from jaylatch_core.messages.places import (
    GiveBackPlace,
    PlaceCandidate,
    PlacesFull,
    PlaceTaken,
    TakePlace,
)
from jaylatch_decisions.places import OwnerTable
from jaylatch_decisions.targets import TargetLoad
from jaylatch_node.control.client import ControlClient

KEEPERS = 3
"""Control instances among which the models are divided: those that vote come first."""
TIMEOUT = 0.05
"""Seconds for an answer: links take 2 ms there and back, and a first answer has 200 ms."""
MARGIN = 0.5
"""Seconds beyond a request's deadline after which its place is free in any case."""


class Place:
    """A place that a request holds, or the knowledge that there is none."""

    def __init__(self, client: ControlClient, owner: str, permit: str) -> None:
        self._client = client
        self._owner = owner
        self._permit = permit
        self.target: TargetLoad | None = None
        self.load = 0.0

    def release(self) -> None:
        """Tell the keeper that the request has ended."""
        self._client.tell(self._owner, GiveBackPlace(self._permit))


class PlaceClient:
    """Takes places for the requests of one gateway."""

    def __init__(self, client: ControlClient) -> None:
        self._client = client
        self._owners = OwnerTable()

    async def take(
        self,
        model: str,
        attempt: AttemptId,
        usable: Sequence[TargetLoad],
        time_left: float,
        digest: RequestDigest,
        is_resumed: bool,
    ) -> Place | None:
        """Return the place, whose ``target`` is None if all are full; None if no keeper answers."""
        now = monotonic()
        owner = self._owners.choose(now, model, self._client.addresses[:KEEPERS])
        if owner is None or not usable:
            return None
        permit = f"{attempt}/{now}"
        place = Place(self._client, owner, permit)
        question = TakePlace(
            permit,
            tuple(PlaceCandidate(item.instance, item.slots) for item in usable),
            time_left + MARGIN,
            digest,
            is_resumed,
        )
        has_answer = False
        try:
            answer = await self._client.ask(owner, question, TIMEOUT)
            has_answer = isinstance(answer, PlaceTaken | PlacesFull)
        finally:
            if not has_answer:
                # The keeper may have granted it all the same.
                place.release()
        match answer:
            case PlaceTaken(instance, load):
                place.target = next(item for item in usable if item.instance == instance)
                place.load = load
                return place
            case PlacesFull(load):
                place.load = load
                return place
            case _:
                self._owners.record_failure(now, owner)
                return None
