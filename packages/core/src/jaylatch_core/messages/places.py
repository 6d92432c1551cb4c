"""Messages about the places of direct targets, between gateways and their keeper."""

import msgspec

from jaylatch_core.ids import InstanceId, RequestDigest


class PlaceCandidate(msgspec.Struct, frozen=True):
    """A target that may be asked, and how many requests it takes at once."""

    instance: InstanceId
    slots: int


class TakePlace(msgspec.Struct, frozen=True, tag=True):
    """Asks for a place at the least loaded of the ``candidates``.

    ``permit`` names the place until it is given back, or for ``duration`` seconds. ``digest`` is by
    what a request that returns after a refusal is recognised; ``is_resumed``: its stream has begun.
    """

    permit: str
    candidates: tuple[PlaceCandidate, ...]
    duration: float
    digest: RequestDigest
    is_resumed: bool = False


class PlaceTaken(msgspec.Struct, frozen=True, tag=True):
    """The place is at ``instance``, which has ``load`` requests for each slot with this one."""

    instance: InstanceId
    load: float


class PlacesFull(msgspec.Struct, frozen=True, tag=True):
    """No candidate has a place; the least loaded has ``load`` requests for each slot."""

    load: float


class GiveBackPlace(msgspec.Struct, frozen=True, tag=True):
    """The request that held the place has ended. Expects no reply."""

    permit: str
