"""Messages about the places of direct targets, between gateways and the owner of the places."""

import msgspec

from jaylatch_core.ids import InstanceId, RequestDigest


class PlaceCandidate(msgspec.Struct, frozen=True):
    """A target that may be chosen, and the number of requests it takes at once."""

    instance: InstanceId
    slots: int


class TakePlace(msgspec.Struct, frozen=True, tag=True):
    """Asks for a place at the least loaded of the ``candidates``.

    ``permit`` names the place until it is released, or for ``duration`` seconds. ``digest``
    identifies a request that is sent again after a refusal; ``is_resumed``: its stream has begun.
    """

    permit: str
    candidates: tuple[PlaceCandidate, ...]
    duration: float
    digest: RequestDigest
    is_resumed: bool = False


class PlaceTaken(msgspec.Struct, frozen=True, tag=True):
    """The place is at ``instance``, which has ``load`` requests per slot including this one."""

    instance: InstanceId
    load: float


class PlacesFull(msgspec.Struct, frozen=True, tag=True):
    """No candidate has a free place; the least loaded has ``load`` requests per slot."""

    load: float


class GiveBackPlace(msgspec.Struct, frozen=True, tag=True):
    """Releases a place after its request has ended. Expects no reply."""

    permit: str
