"""Client of the owners that count the places of models."""

from collections.abc import Sequence
from math import inf

from jaylatch_core.clock import monotonic
from jaylatch_core.ids import AttemptId, RequestDigest
from jaylatch_core.messages.places import (
    GiveBackPlace,
    PlaceCandidate,
    PlacesFull,
    PlaceTaken,
    TakePlace,
)
from jaylatch_decisions.places import GRANT_VALIDITY, OwnerTable, first_owner
from jaylatch_decisions.targets import TargetConditions, TargetLoad
from jaylatch_node.control.client import ControlClient

OWNER_COUNT = 3
"""Number of control instances among which the models are divided; voters come first."""
ANSWER_TIMEOUT = 0.05
"""Seconds to wait for an answer: a round trip takes 2 ms, and a first answer is due in 200 ms."""
EXPIRY_MARGIN = 0.5
"""Seconds after a request's deadline at which its place is free in any case."""


class Place:
    """A place that a request holds; ``target`` is None if no target takes the request.

    ``send_until`` is the time after which the request must not be sent any more.
    ``wait`` is then set if all have reached their limits: the seconds until one has not.
    """

    def __init__(self, client: ControlClient, owner: str, permit: str) -> None:
        self._client = client
        self._owner = owner
        self._permit = permit
        self.send_until = inf
        self.target: TargetLoad | None = None
        self.load = 0.0
        self.wait = 0.0

    def release(self) -> None:
        """Notify the owner that the request has ended."""
        self._client.notify(self._owner, GiveBackPlace(self._permit))


class PlaceClient:
    """Takes places for the requests of one gateway."""

    def __init__(self, client: ControlClient, conditions: TargetConditions) -> None:
        self._client = client
        self._conditions = conditions
        self._owners = OwnerTable()

    async def take(
        self,
        subject: str,
        attempt: AttemptId,
        usable: Sequence[TargetLoad],
        time_left: float,
        digest: RequestDigest,
        is_resumed: bool,
        counts_places: bool = True,
        cold_rate: float = 0.0,
    ) -> Place | None:
        """Return the place, whose ``target`` is None if no target takes the request.

        ``subject`` is the model or, where only limits are kept and no places are counted, the
        service. ``cold_rate`` is that of the service; if it is set, the control leader is the first
        owner. Return None if no target is usable or no owner answers.
        """
        now = monotonic()
        if not usable:
            return None
        owners = self._client.addresses[:OWNER_COUNT]
        leader = self._client.leader if cold_rate else None
        owner = self._owners.choose(now, subject, owners, leader)
        if owner is None:
            self._conditions.record_owner(now, has_answered=False)
            return None
        first = leader or first_owner(subject, owners)
        permit = f"{attempt}/{now}"
        place = Place(self._client, owner, permit)
        if cold_rate:
            place.send_until = now + GRANT_VALIDITY
        request = TakePlace(
            permit,
            tuple(
                PlaceCandidate(
                    item.instance,
                    max(item.slots, 1) if counts_places else 0,
                    self._conditions.stated_limit(now, item.instance),
                    cold_rate,
                    bool(cold_rate) and self._is_cold(now, item),
                )
                for item in usable
            ),
            time_left + EXPIRY_MARGIN,
            digest,
            is_resumed,
            first if first is not None and first != owner else "",
        )
        has_answer = False
        try:
            answer = await self._client.ask(owner, request, ANSWER_TIMEOUT)
            has_answer = isinstance(answer, PlaceTaken | PlacesFull)
        finally:
            if not has_answer:
                # The owner may have granted it nevertheless.
                place.release()
        self._conditions.record_owner(now, has_answer)
        match answer:
            case PlaceTaken(instance, load):
                place.target = next(item for item in usable if item.instance == instance)
                place.load = load
                return place
            case PlacesFull(load, wait):
                place.load, place.wait = load, wait
                return place
            case _:
                self._owners.record_failure(now, owner)
                return None

    def _is_cold(self, now: float, target: TargetLoad) -> bool:
        return target.is_cold or self._conditions.is_cold(now, target.instance)
