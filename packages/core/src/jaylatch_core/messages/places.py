"""Messages about the places of direct targets, between gateways and the owner of the places."""

import msgspec

from jaylatch_core.ids import AccountId, InstanceId, RequestDigest


class CandidateLimit(msgspec.Struct, frozen=True):
    """A target stated ``age`` seconds ago how many requests a second it takes from all gateways.

    ``rate`` is None if it takes any number again.
    """

    rate: float | None
    age: float


class PlaceCandidate(msgspec.Struct, frozen=True):
    """A target that may be chosen, and the number of requests that it takes at once.

    ``slots`` 0: its places are not counted, only its ``limit`` is kept. ``limit`` is None if the
    gateway has been told none. ``cold_rate`` is the number of requests a second that the target
    tolerates while it is cold, 0 if it is never cold. ``is_cold``: the gateway takes the target for
    cold, or cannot know that it is warm.
    """

    instance: InstanceId
    slots: int
    limit: CandidateLimit | None = None
    cold_rate: float = 0.0
    is_cold: bool = False


class QueueTerms(msgspec.Struct, frozen=True):
    """How a request may wait for a place.

    Requests of the lowest ``rank`` go first. After ``max_wait`` seconds it can no longer meet its
    objective. ``service_time`` is the expected number of seconds for which it holds its place.
    ``model`` names the queue: the requests that compete for the same groups.
    """

    rank: int
    account: AccountId
    max_wait: float
    service_time: float
    model: str = ""


class TakePlace(msgspec.Struct, frozen=True, tag=True):
    """Asks for a place at the least loaded of the ``candidates``.

    ``permit`` names the place until it is released, or for ``duration`` seconds. ``digest``
    identifies a request that is sent again after a refusal; ``is_resumed``: its stream has begun.
    ``absent_owner`` is the address of an owner that comes first and did not answer the gateway.
    Without ``queueing`` terms a request that gets no place is refused at once.
    ``subject`` is the model or service for which the owner states how even the load is, empty if it
    need not. A request of a ``kind`` is counted, but never refused.
    """

    permit: str
    candidates: tuple[PlaceCandidate, ...]
    duration: float
    digest: RequestDigest
    is_resumed: bool = False
    absent_owner: str = ""
    queueing: QueueTerms | None = None
    subject: str = ""
    kind: str = ""


class PlaceTaken(msgspec.Struct, frozen=True, tag=True):
    """The place is at ``instance``, which has ``load`` requests per slot including this one."""

    instance: InstanceId
    load: float


class PlacesFull(msgspec.Struct, frozen=True, tag=True):
    """No candidate has a free place; the least loaded has ``load`` requests per slot.

    ``wait`` is set if all candidates have reached their limits: the seconds until one has not.
    ``reason`` and ``retry_after`` (seconds) are set where requests wait by rank: why this one may
    not, and when there is room for it. ``is_unled``: a candidate has a cold rate, and the owner
    does not lead, so that the control leader may grant what this owner refuses.
    """

    load: float
    wait: float = 0.0
    reason: str = ""
    retry_after: float = 0.0
    is_unled: bool = False


class PlaceQueued(msgspec.Struct, frozen=True, tag=True):
    """The request waits. ``PlaceGranted`` or ``PlaceDenied`` follows on the same connection.

    ``position`` is the number of waiting requests that go before it.
    """

    position: int


class PlaceGranted(msgspec.Struct, frozen=True, tag=True):
    """A waiting request has got a place at ``instance``. Expects no reply.

    ``waited`` is the number of seconds from the arrival of the request at the owner to the grant.
    """

    permit: str
    instance: InstanceId
    load: float
    waited: float = 0.0


class PlaceDenied(msgspec.Struct, frozen=True, tag=True):
    """A waiting request can no longer get a place in time. Expects no reply.

    ``retry_after`` is the number of seconds until there is room for it.
    """

    permit: str
    load: float
    reason: str
    retry_after: float


class HeldPlace(msgspec.Struct, frozen=True):
    """A place that a request of a gateway holds for at most ``duration`` seconds from now.

    ``ends_in`` is the number of seconds after which the request is expected to end.
    """

    permit: str
    instance: InstanceId
    duration: float
    ends_in: float


class PlacesHeld(msgspec.Struct, frozen=True, tag=True):
    """The places that requests of a gateway hold, for an owner that may not know them.

    Expects no reply.
    """

    places: tuple[HeldPlace, ...]


class GiveBackPlace(msgspec.Struct, frozen=True, tag=True):
    """Releases a place after its request has ended. Expects no reply.

    ``is_answered``: a target answered it completely, so its duration tells the target's pace.
    """

    permit: str
    is_answered: bool = False
