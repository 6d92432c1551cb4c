"""Client of the owners that count the places of models."""

from asyncio import Future, get_running_loop
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

import msgspec

from jaylatch_core.clock import monotonic
from jaylatch_core.ids import AttemptId, RequestDigest
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.places import (
    GiveBackPlace,
    HeldPlace,
    PlaceCandidate,
    PlaceDenied,
    PlaceGranted,
    PlaceQueued,
    PlacesFull,
    PlacesHeld,
    PlaceTaken,
    QueueTerms,
    TakePlace,
)
from jaylatch_decisions.admission import DropReason
from jaylatch_decisions.places import GRANT_VALIDITY, OwnerTable, first_owner
from jaylatch_decisions.targets import TargetConditions, TargetLoad
from jaylatch_node.control.client import ControlClient
from jaylatch_node.deadlines import time_limit
from jaylatch_node.streams import Peer, StreamConnection

OWNER_COUNT = 3
"""Number of control instances among which the models are divided; voters come first."""
ANSWER_TIMEOUT = 0.05
"""Seconds to wait for an answer: a round trip takes 2 ms, and a first answer is due in 200 ms."""
COUNT_TIMEOUT = 0.025
"""Seconds to wait for the choice of a target of a plain service, before the gateway chooses by
itself. A call of 90 ms with an objective of 125 ms has 35 ms left."""
EXPIRY_MARGIN = 0.5
"""Seconds after a request's deadline at which its place is free in any case."""

_Answer = PlaceTaken | PlacesFull | PlaceGranted | PlaceDenied


class _OwnerChanged:
    """Ends a wait because another control instance has become the first owner."""


_Outcome = _Answer | _OwnerChanged | None


@dataclass(frozen=True)
class _Wait:
    """A request for a place of ``subject`` that waits at ``owner``."""

    owner: str
    subject: str
    outcome: Future[_Outcome]


class Place:
    """A place that a request holds; ``target`` is None if no target takes the request.

    ``wait`` is then set if all have reached their limits: the seconds until one has not. ``reason``
    and ``retry_after`` are set if the owner refused the request by its rank.
    ``is_unled``: the owner refused it without being the control leader, which may grant it.
    ``send_until`` is the time after which the request must not be sent any more.
    """

    def __init__(self, client: "PlaceClient", subject: str, owner: str, permit: str) -> None:
        self._client = client
        self.subject = subject
        self.owner = owner
        self.owners = {owner}
        self.permit = permit
        self.send_until = inf
        self.target: TargetLoad | None = None
        self.load = 0.0
        self.wait = 0.0
        self.reason = ""
        self.retry_after = 0.0
        self.is_unled = False
        self.expires_at = 0.0
        self.ends_at = 0.0
        self.is_answered = False

    def release(self) -> None:
        """Notify the owners that the request has ended, or waits no more."""
        self._client.give_back(self)

    def describe(self, now: float) -> HeldPlace:
        """Return the place in the form in which it is reported to an owner."""
        assert self.target is not None
        ends_in = max(self.ends_at - now, 0.0)
        return HeldPlace(self.permit, self.target.instance, self.expires_at - now, ends_in)


@dataclass(frozen=True)
class PlaceRequest:
    """What is asked of an owner. ``subject`` is the model or, where only limits are kept, the
    service. ``counts_places`` is False in that case. ``is_metered``: the owner states how even the
    load of the subject's targets is. ``cold_rate`` is that of the service; if it is set, the
    control leader is the first owner as far as it is known.
    """

    subject: str
    attempt: AttemptId
    usable: Sequence[TargetLoad]
    deadline: float
    digest: RequestDigest
    is_resumed: bool
    counts_places: bool = True
    is_metered: bool = False
    cold_rate: float = 0.0


class PlaceClient:
    """Takes places for the requests of one gateway."""

    def __init__(self, client: ControlClient, conditions: TargetConditions) -> None:
        self._client = client
        self._conditions = conditions
        self._owners = OwnerTable()
        self._counting_owners = OwnerTable()
        self._waits: dict[str, _Wait] = {}
        self._cold_subjects: set[str] = set()
        self._held: defaultdict[str, dict[str, Place]] = defaultdict(dict)
        self._informed: dict[str, tuple[str, float]] = {}
        self._watched: dict[str, Peer] = {}
        client.on_new_leader(self._on_new_leader)

    async def take(self, request: PlaceRequest, terms: QueueTerms | None = None) -> Place | None:
        """Return the place, whose ``target`` is None if no target takes the request.

        With ``terms`` the request may wait for it. Return None if no target is usable or no owner
        answers. If an owner that does not lead refuses it, the confirmed leader or else the next
        owner is asked once.
        """
        if not request.usable:
            return None
        asked_at = monotonic()
        place = await self._take_from_first(request, terms)
        if place is None or not place.is_unled:
            return place
        if terms is not None:
            left = max(asked_at + terms.max_wait - monotonic(), 0.0)
            terms = msgspec.structs.replace(terms, max_wait=left)
        try:
            return await self._take(request, terms, refused_by=place.owner) or place
        except _OwnerChangedError:
            return await self._take_from_first(request, terms)
        except _OwnerLostError:
            return place

    async def _take_from_first(
        self, request: PlaceRequest, terms: QueueTerms | None
    ) -> Place | None:
        """Return the answer of the first owner that gives one, None if there is none."""
        if terms is None:
            return await self._take(request, None)
        due = monotonic() + terms.max_wait
        while True:
            left = max(due - monotonic(), 0.0)
            try:
                return await self._take(request, msgspec.structs.replace(terms, max_wait=left))
            except _OwnerLostError:
                # Each owner is asked once, because one that fails is skipped for a time.
                if monotonic() >= due:
                    return None

    async def count(self, request: PlaceRequest, kind: str) -> Place | None:
        """Return a place at the target with the least expected work, for a plain service.

        The owner refuses nothing. Return None if it does not answer at once; it is skipped for a
        time then, but only for such requests.
        """
        now = monotonic()
        owners = self._client.addresses[:OWNER_COUNT]
        owner = self._counting_owners.choose(now, request.subject, owners)
        if owner is None or not request.usable:
            return None
        place = Place(self, request.subject, owner, f"{request.attempt}/{now}")
        first = first_owner(request.subject, owners)
        message = self._write(now, request, None, place.permit, owner, first)
        answer: Body | None = None
        try:
            async with time_limit(COUNT_TIMEOUT):
                counted = msgspec.structs.replace(message, kind=kind)
                answer = await self._client.ask(owner, counted, ANSWER_TIMEOUT)
        except TimeoutError:
            pass
        finally:
            if not isinstance(answer, PlaceTaken):
                place.release()
        if isinstance(answer, PlaceTaken):
            place.target = next(item for item in request.usable if item.instance == answer.instance)
            place.load = answer.load
            return place
        self._counting_owners.record_failure(now, owner)
        return None

    def handle(self, connection: StreamConnection, body: Body) -> bool:
        """Handle the outcome of a wait; returns False if the body is not one."""
        match body:
            case PlaceGranted(permit) | PlaceDenied(permit):
                wait = self._waits.pop(permit, None)
                if wait is not None and not wait.outcome.done():
                    wait.outcome.set_result(body)
                elif isinstance(body, PlaceGranted):
                    # It comes after the request has ceased to wait.
                    connection.send(GiveBackPlace(permit))
                return True
        return False

    def give_back(self, place: Place) -> None:
        """Notify the owners that count a place that it is free."""
        held = self._held.get(place.subject)
        if held is not None:
            held.pop(place.permit, None)
        for owner in place.owners:
            self._client.notify(owner, GiveBackPlace(place.permit, place.is_answered))

    async def _take(
        self, request: PlaceRequest, terms: QueueTerms | None, refused_by: str = ""
    ) -> Place | None:
        """Ask one owner, another than ``refused_by``.

        Raises _OwnerLostError if a request with terms gets no answer, or its owner is lost while it
        waits.
        """
        now = monotonic()
        owners = self._client.addresses[:OWNER_COUNT]
        if request.cold_rate:
            self._cold_subjects.add(request.subject)
        else:
            self._cold_subjects.discard(request.subject)
        leader = self._leader_of(request.subject)
        preferred = leader if leader != refused_by else None
        others = [item for item in owners if item != refused_by]
        owner = self._owners.choose(now, request.subject, others, preferred)
        if owner is None:
            self._conditions.record_owner(now, has_answered=False)
            return None
        place = Place(self, request.subject, owner, f"{request.attempt}/{now}")
        first = leader or first_owner(request.subject, owners)
        message = self._write(now, request, terms, place.permit, owner, first)
        if terms is not None:
            self._inform(now, request.subject, owner)
        answer: Body | None = None
        has_answer = False
        try:
            answer = await self._ask(owner, request.subject, place, message)
            has_answer = isinstance(answer, _Answer)
        finally:
            if not has_answer:
                # The owner may have granted it nevertheless.
                place.release()
        ended_at = now if terms is None else monotonic()
        # While no owner grants for cold targets, this process may use its own part of their bounds.
        is_unled = isinstance(answer, PlacesFull) and answer.is_unled
        self._conditions.record_owner(ended_at, has_answer and not is_unled)
        match answer:
            case PlaceTaken(instance, load) | PlaceGranted(_, instance, load):
                place.target = next(item for item in request.usable if item.instance == instance)
                place.load = load
                if request.cold_rate:
                    # The owner counted the request when it granted the place.
                    waited = answer.waited if isinstance(answer, PlaceGranted) else 0.0
                    place.send_until = now + waited + GRANT_VALIDITY
                if terms is not None:
                    self._hold(place, message, terms)
                return place
            case PlacesFull(load, wait, reason, retry_after):
                place.load, place.wait, place.is_unled = load, wait, is_unled
                place.reason, place.retry_after = reason, retry_after
                return place
            case PlaceDenied(_, load, reason, retry_after):
                place.load, place.reason, place.retry_after = load, reason, retry_after
                return place
            case _:
                self._fail_owner(ended_at, owner)
                if terms is not None:
                    raise _OwnerLostError
                return None

    def _write(
        self,
        now: float,
        request: PlaceRequest,
        terms: QueueTerms | None,
        permit: str,
        owner: str,
        first: str | None,
    ) -> TakePlace:
        cold_rate = request.cold_rate
        return TakePlace(
            permit,
            tuple(
                PlaceCandidate(
                    item.instance,
                    max(item.slots, 1) if request.counts_places else 0,
                    self._conditions.stated_limit(now, item.instance),
                    cold_rate,
                    bool(cold_rate) and self._is_cold(now, item),
                )
                for item in request.usable
            ),
            request.deadline - now + EXPIRY_MARGIN,
            request.digest,
            request.is_resumed,
            first if first is not None and first != owner else "",
            terms,
            request.subject if request.is_metered else "",
        )

    async def _ask(self, owner: str, subject: str, place: Place, message: TakePlace) -> Body | None:
        """Return the owner's answer, or the outcome of the wait.

        Return None if there is no answer in time, or the owner is lost during the wait. A request
        that hears nothing until it can no longer be in time is refused; the owner is not skipped
        for that, because all that wait there would ask another one at the same moment.
        Raises _OwnerChangedError if another owner must be asked now.
        """
        if message.queueing is None:
            return await self._client.ask(owner, message, ANSWER_TIMEOUT)
        self._watch(owner)
        outcome: Future[_Outcome] = get_running_loop().create_future()
        # The outcome may arrive together with the answer to the call.
        self._waits[message.permit] = _Wait(owner, subject, outcome)
        try:
            answer = await self._client.ask(owner, message, ANSWER_TIMEOUT)
            if not isinstance(answer, PlaceQueued):
                return answer
            async with time_limit(message.queueing.max_wait + ANSWER_TIMEOUT):
                ended = await outcome
            if isinstance(ended, _OwnerChanged):
                raise _OwnerChangedError
            return ended
        except TimeoutError:
            place.release()
            return PlaceDenied(place.permit, 0.0, DropReason.TOO_LATE.value, 0.0)
        finally:
            self._waits.pop(message.permit, None)

    def _hold(self, place: Place, message: TakePlace, terms: QueueTerms) -> None:
        now = monotonic()
        place.expires_at = now + message.duration
        place.ends_at = now + terms.service_time
        self._held[place.subject][place.permit] = place

    def _inform(self, now: float, subject: str, owner: str) -> None:
        """Report the places that are held to an owner that may not know them.

        It may have begun anew, or another one may have granted them.
        """
        state = (owner, self._client.peer(owner).connected_at)
        if self._informed.get(subject) != state:
            self._informed[subject] = state
            self._report_places(now, subject, owner)

    def _report_places(self, now: float, subject: str, owner: str) -> None:
        held = [item for item in self._held[subject].values() if item.expires_at > now]
        if not held:
            return
        for place in held:
            place.owners.add(owner)
        # Not as a notice: it must not be sent again once some of the places have been given back.
        self._client.peer(owner).send(PlacesHeld(tuple(item.describe(now) for item in held)))

    def _watch(self, owner: str) -> None:
        """Get to know of the loss and of the return of an owner."""
        peer = self._client.peer(owner)
        if self._watched.get(owner) is not peer:
            self._watched[owner] = peer
            peer.on_disconnect(self._on_owner_lost)
            peer.on_connect(self._on_owner_back)

    def _on_owner_lost(self, peer: Peer) -> None:
        """End all waiting there, and report the places to the next owner without delay."""
        now = monotonic()
        self._fail_owner(now, peer.address)
        for subject, (owner, _) in list(self._informed.items()):
            if owner == peer.address:
                owners = self._client.addresses[:OWNER_COUNT]
                successor = self._owners.choose(now, subject, owners, self._leader_of(subject))
                if successor is not None:
                    self._inform(now, subject, successor)

    def _on_owner_back(self, peer: Peer) -> None:
        """Report what it may not know: it may have begun anew."""
        now = monotonic()
        owners = self._client.addresses[:OWNER_COUNT]
        for subject in list(self._held):
            if (self._leader_of(subject) or first_owner(subject, owners)) == peer.address:
                self._report_places(now, subject, peer.address)

    def _on_new_leader(self, leader: str) -> None:
        """Report the places of services with a cold rate, and end their waits at other owners.

        The requests that waited ask the leader.
        """
        now = monotonic()
        self._watch(leader)
        for subject in self._cold_subjects:
            self._inform(now, subject, leader)
        for wait in list(self._waits.values()):
            is_elsewhere = wait.owner != leader and wait.subject in self._cold_subjects
            if is_elsewhere and not wait.outcome.done():
                wait.outcome.set_result(_OwnerChanged())

    def _leader_of(self, subject: str) -> str | None:
        """Return the confirmed leader if it is the first owner of the subject, or else None."""
        return self._client.confirmed_leader if subject in self._cold_subjects else None

    def _fail_owner(self, now: float, owner: str) -> None:
        """Skip the owner for a time, and end all waiting there."""
        self._owners.record_failure(now, owner)
        for wait in list(self._waits.values()):
            if wait.owner == owner and not wait.outcome.done():
                wait.outcome.set_result(None)

    def _is_cold(self, now: float, target: TargetLoad) -> bool:
        return target.is_cold or self._conditions.is_cold(now, target.instance)


class _OwnerLostError(Exception):
    """The owner at which a request waited is lost or slow."""


class _OwnerChangedError(_OwnerLostError):
    """Another control instance has become the first owner during a wait."""
