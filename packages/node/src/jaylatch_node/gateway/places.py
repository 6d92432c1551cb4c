"""Client of the owners that count the places of models."""

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

OWNER_COUNT = 3
"""Number of control instances among which the models are divided; voters come first."""
ANSWER_TIMEOUT = 0.05
"""Seconds to wait for an answer: a round trip takes 2 ms, and a first answer is due in 200 ms."""
EXPIRY_MARGIN = 0.5
"""Seconds after a request's deadline at which its place is free in any case."""


class Place:
    """A place that a request holds; ``target`` is None if all targets are full."""

    def __init__(self, client: ControlClient, owner: str, permit: str) -> None:
        self._client = client
        self._owner = owner
        self._permit = permit
        self.target: TargetLoad | None = None
        self.load = 0.0

    def release(self) -> None:
        """Notify the owner that the request has ended."""
        self._client.notify(self._owner, GiveBackPlace(self._permit))


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
        """Return the place, whose ``target`` is None if all are full.

        Return None if no target is usable or no owner answers.
        """
        now = monotonic()
        owner = self._owners.choose(now, model, self._client.addresses[:OWNER_COUNT])
        if owner is None or not usable:
            return None
        permit = f"{attempt}/{now}"
        place = Place(self._client, owner, permit)
        request = TakePlace(
            permit,
            tuple(PlaceCandidate(item.instance, item.slots) for item in usable),
            time_left + EXPIRY_MARGIN,
            digest,
            is_resumed,
        )
        has_answer = False
        try:
            answer = await self._client.ask(owner, request, ANSWER_TIMEOUT)
            has_answer = isinstance(answer, PlaceTaken | PlacesFull)
        finally:
            if not has_answer:
                # The owner may have granted it nevertheless.
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
