"""Choice of the target of a request, with the owner of the places where there is one."""

from asyncio import sleep
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from jaylatch_core.clock import monotonic
from jaylatch_core.deployment import Deployment, EngineProfile
from jaylatch_core.ids import AccountId
from jaylatch_core.messages.places import QueueTerms
from jaylatch_core.settings import ColdSettings
from jaylatch_decisions.places import (
    EVIDENCE_VALIDITY,
    GRANT_VALIDITY,
    ServiceTimes,
    unshared_bound,
)
from jaylatch_decisions.places.service_times import ExpectedTimes, longest_wait
from jaylatch_decisions.targets import (
    TargetConditions,
    TargetLoad,
    list_unattempted,
    may_admit,
)
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.gateway.balancing import SentRequest, TargetBalancer
from jaylatch_node.gateway.directory import TargetDirectory
from jaylatch_node.gateway.job import Job
from jaylatch_node.gateway.places import OWNER_COUNT, Place, PlaceClient, PlaceRequest
from jaylatch_node.gateway.service_choice import NO_MODEL, ServiceChoice

_Found = tuple[TargetLoad, Place | None]

RESUME_WAIT = 1.5
"""Seconds for which an interrupted stream waits for a target: a group with a spare is repaired in
0.7 s, and callers disconnect after a gap of two."""
RESUME_POLL = 0.1
"""Least seconds between two searches for such a target."""


class Obstacle(Enum):
    """Reason why no target takes a request now."""

    NO_TARGET = "no target"
    FULL = "full"
    AT_LIMIT = "at limit"
    RESTING = "resting"
    NO_LEASE = "no valid lease"


@dataclass(frozen=True)
class Placement:
    """The target of a request; ``place`` is set if the owner of the places granted it.

    ``sent`` is set where this process counts the request as work of the target. After
    ``send_until`` the request must not be sent any more.
    """

    target: TargetLoad
    address: str
    place: Place | None
    candidates: int
    sent: SentRequest | None = None
    send_until: float = inf

    def release(self, is_answered: bool = False) -> None:
        """Notify the owner of the place, if there is one, that the request has ended.

        ``is_answered``: this target alone answered it completely.
        """
        if self.sent is not None:
            self.sent.end(is_answered)
        if self.place is not None:
            self.place.is_answered = is_answered
            self.place.release()


@dataclass(frozen=True)
class NoPlacement:
    """No target takes the request; ``load`` is that of the least loaded of the candidates.

    ``wait`` is the number of seconds after which one certainly takes requests, 0 if not known.
    ``rank`` is set if the request could wait by rank. The owner's ``reason`` and the seconds after
    which it has room (``retry_after``) are set if it refused the request.
    """

    obstacle: Obstacle
    load: float = 0.0
    candidates: int = 0
    wait: float = 0.0
    rank: int | None = None
    reason: str = ""
    retry_after: float = 0.0

    @property
    def cause(self) -> str:
        """Return why no target takes the request: the owner's reason if there is one."""
        return self.reason or self.obstacle.value


class Placer:
    """Chooses the targets of one gateway's requests."""

    def __init__(
        self,
        board: Blackboard,
        directory: TargetDirectory,
        places: PlaceClient,
        conditions: TargetConditions,
        random: Random,
        balancer: TargetBalancer,
        cold: ColdSettings,
        queues_by_rank: bool,
    ) -> None:
        self._cold = cold
        self._queues_by_rank = queues_by_rank
        self._balancer = balancer
        self._board = board
        self._directory = directory
        self._places = places
        self._conditions = conditions
        self._random = random
        self._services = ServiceChoice(board, random)
        self._times = ServiceTimes()
        self._ranked: tuple[Deployment | None, frozenset[str]] = (None, frozenset())

    async def place(self, job: Job) -> Placement | NoPlacement:
        """Return the target to which the request is sent next."""
        while True:
            if not self._board.grant.lease.is_valid(monotonic()):
                return NoPlacement(Obstacle.NO_LEASE)
            service = self._services.choose(job)
            model = self._services.model_at(service, job)
            if model == NO_MODEL:
                return NoPlacement(Obstacle.NO_TARGET)
            listed = self._list_staying(service, model)
            rest = min((self._rest_left(item) for item in listed), default=0.0)
            if rest > 0:
                return NoPlacement(Obstacle.RESTING, candidates=len(listed), wait=rest)
            candidates = self._awake_unattempted(job, listed)
            if model is None:
                found = await self._choose_plain(job, service, candidates)
            else:
                found = await self._choose_engine(job, service, model, candidates)
            if isinstance(found, NoPlacement):
                return found
            target, place = found
            send_until = place.send_until if place is not None else self._own_send_until(service)
            address = self._directory.address(target.instance)
            if address is not None:
                self._services.record(job, service)
                sent = self._balancer.start(
                    monotonic(), model or service, job.route.name, target, job.deadline
                )
                return Placement(target, address, place, len(candidates), sent, send_until)
            # The view has changed since the candidates were chosen.
            if place is not None:
                place.release()

    def may_send(self, target: TargetLoad) -> bool:
        """Return whether a request may still be sent to a target that was chosen before.

        Its failure domain may have been evacuated since, or this process may have lost its lease
        without noticing, because it was paused.
        """
        has_lease = self._board.grant.lease.is_valid(monotonic())
        return has_lease and self._directory.takes_requests(target.instance)

    async def wait_for_target(self, job: Job, found: NoPlacement) -> bool:
        """Wait for a target, if a stream has started; return whether there may be one now.

        A request whose answer has not started is refused at once with a retry delay.
        """
        if not job.caller.has_started:
            return False
        now = monotonic()
        if job.waits_since is None:
            job.waits_since = now
        wait = max(found.wait, RESUME_POLL)
        if now + wait > job.waits_since + RESUME_WAIT:
            return False
        await sleep(wait)
        return True

    def record_times(self, job: Job, target: TargetLoad, first_token: float, took: float) -> None:
        """Record how long the target of a request that it alone answered took."""
        model = job.request.model
        engine = self._ranked_engine(self._directory.service(target.instance))
        if model is None or engine is None:
            return
        request = job.request
        measured = ExpectedTimes(first_token, took)
        self._times.record(engine, model, request.prompt_tokens, request.answer_tokens, measured)

    def _ranked_engine(self, service: str) -> EngineProfile | None:
        """Return the engine's profile if requests of the service wait by rank."""
        deployment = self._board.grant.deployment
        if self._ranked[0] is not deployment:
            self._ranked = (deployment, deployment.ranked_services())
        if not self._queues_by_rank or service not in self._ranked[1]:
            return None
        profile = deployment.service(service)
        return profile.engine if profile is not None else None

    def _queue_terms(self, job: Job, service: str, model: str) -> QueueTerms | None:
        """Return how the request may wait for a place, None where ranks are not in force."""
        engine = self._ranked_engine(service)
        if engine is None:
            return None
        request, account = job.request, job.account
        times = self._times.expect(engine, model, request.prompt_tokens, request.answer_tokens)
        elapsed = monotonic() - job.arrived_at
        wait = longest_wait(job.route.objective, elapsed, times)
        priority = account.priority if account is not None else None
        return QueueTerms(
            priority if priority is not None else job.route.priority,
            account.name if account is not None else AccountId(""),
            max(wait, 0.0),
            times.service,
            model,
        )

    def _list_staying(self, service: str, model: str | None) -> list[TargetLoad]:
        """Return the targets of the service or model that have not said that they leave."""
        now = monotonic()
        listed = self._directory.candidates(service, model)
        return [item for item in listed if not self._conditions.is_leaving(now, item.instance)]

    def _awake_unattempted(self, job: Job, listed: Sequence[TargetLoad]) -> list[TargetLoad]:
        """Return the targets that do not rest and to which the request was not sent."""
        unattempted = list_unattempted(listed, job.attempted)
        return [item for item in unattempted if not self._rest_left(item)]

    def _rest_left(self, target: TargetLoad) -> float:
        return self._conditions.rest_left(monotonic(), target.instance)

    async def _choose_engine(
        self, job: Job, service: str, model: str, candidates: Sequence[TargetLoad]
    ) -> _Found | NoPlacement:
        """Return the head of a group that the owner of the model's places grants.

        Where ranks are in force, the request may wait for a place that becomes free.
        Without an answer of an owner the choice is this process's own, and limits are kept to by
        its part of them.
        """
        now = monotonic()
        usable = [item for item in candidates if item.usable_from <= now]
        terms = self._queue_terms(job, service, model)
        rank = terms.rank if terms is not None else None
        cold_rate = self._cold_rate(service)
        if cold_rate and candidates and not usable:
            # As without a cold rate: the request would certainly be refused otherwise.
            usable = [min(candidates, key=lambda item: item.usable_from)]
        place = await self._take_place(job, model, usable, cold_rate, True, terms)
        if place is not None:
            if place.target is not None:
                return place.target, place
            if place.is_unled:
                part = self._choose_unshared(monotonic(), candidates, cold_rate)
                if part is not None:
                    return part, None
            obstacle = Obstacle.AT_LIMIT if place.wait else Obstacle.FULL
            return NoPlacement(
                obstacle,
                place.load,
                len(candidates),
                place.wait,
                rank,
                place.reason,
                place.retry_after,
            )
        now = monotonic()
        unlimited = [item for item in candidates if not self._has_limit(now, item, cold_rate)]
        target = self._balancer.choose(now, model, unlimited)
        if target is not None and may_admit(now, target, job.caller.has_started):
            return target, None
        part = self._choose_unshared(now, candidates, cold_rate)
        if part is not None:
            return part, None
        if target is not None:
            load = target.expected_load(now)
            return NoPlacement(Obstacle.FULL, load, len(candidates), rank=rank)
        obstacle = Obstacle.AT_LIMIT if candidates else Obstacle.NO_TARGET
        return NoPlacement(obstacle, candidates=len(candidates), rank=rank)

    async def _choose_plain(
        self, job: Job, service: str, candidates: Sequence[TargetLoad]
    ) -> _Found | NoPlacement:
        """Return the least loaded target of a plain service that has not reached its limit.

        Where expected work is in force, the owner chooses among targets without limits. Otherwise
        only requests to targets with limits, or of a service with a cold rate, are granted by an
        owner.
        """
        cold_rate = self._cold_rate(service)
        place = await self._count_plain(job, service, candidates) if not cold_rate else None
        if place is not None and place.target is not None:
            return place.target, place
        left = list(candidates)
        waits = []
        while (target := self._balancer.choose(monotonic(), service, left)) is not None:
            if not self._has_limit(monotonic(), target, cold_rate):
                return target, None
            place = await self._take_place(job, service, [target], cold_rate, counts_places=False)
            if place is not None and place.target is not None:
                return target, place
            may_use_part = place is None or place.is_unled
            if may_use_part and self._choose_unshared(monotonic(), [target], cold_rate):
                return target, None
            waits.append(place.wait if place is not None else 0.0)
            left.remove(target)
        if not waits:
            return NoPlacement(Obstacle.NO_TARGET)
        return NoPlacement(Obstacle.AT_LIMIT, 0.0, len(candidates), min(waits))

    async def _count_plain(
        self, job: Job, service: str, candidates: Sequence[TargetLoad]
    ) -> Place | None:
        """Return the place that the owner chooses, None if it may not or does not answer."""
        now = monotonic()
        usable = [item for item in candidates if item.usable_from <= now]
        if len(usable) < 2 or not self._balancer.is_in_force:
            return None
        if any(self._conditions.limit(now, item.instance) is not None for item in usable):
            return None
        # Of equal targets the owner chooses the first one.
        domain = self._board.identity.failure_domain
        self._random.shuffle(usable)
        usable.sort(key=lambda item: item.failure_domain != domain)
        request = self._place_request(job, service, usable, counts_places=True)
        return await self._places.count(request, job.route.name)

    async def _take_place(
        self,
        job: Job,
        subject: str,
        usable: Sequence[TargetLoad],
        cold_rate: float,
        counts_places: bool,
        terms: QueueTerms | None = None,
    ) -> Place | None:
        """Ask the owner, and the next ones if there is a cold rate: few may be sent without one."""
        request = self._place_request(job, subject, usable, counts_places, cold_rate)
        for _ in range(OWNER_COUNT if cold_rate and terms is None else 1):
            place = await self._places.take(request, terms)
            if place is not None:
                return place
        return None

    def _place_request(
        self,
        job: Job,
        subject: str,
        usable: Sequence[TargetLoad],
        counts_places: bool,
        cold_rate: float = 0.0,
    ) -> PlaceRequest:
        return PlaceRequest(
            subject,
            job.request.attempt,
            usable,
            job.deadline,
            job.digest,
            job.caller.has_started,
            counts_places,
            counts_places and self._balancer.is_in_force,
            cold_rate,
        )

    def _cold_rate(self, service: str) -> float:
        """Return the cold rate of a service, 0 if its targets are never cold."""
        profile = self._board.grant.deployment.service(service)
        return profile.cold_rate if profile is not None and profile.may_be_cold else 0.0

    def _own_send_until(self, service: str) -> float:
        """Return until when a request that this process allows now, without an owner, may be sent.

        A later send would fall into a second whose part of the bound is used by others.
        """
        return monotonic() + GRANT_VALIDITY if self._cold_rate(service) else inf

    def _has_limit(self, now: float, target: TargetLoad, cold_rate: float) -> bool:
        return cold_rate > 0 or self._conditions.limit(now, target.instance) is not None

    def _own_bound(self, now: float, target: TargetLoad, cold_rate: float) -> float | None:
        """Return the bound of which this process may use its part without an owner.

        It is None without a cold rate. A target that has not answered for some time, or to which
        an exchange has failed, may have started anew.
        """
        if not cold_rate:
            return None
        is_cold = target.is_cold or self._conditions.is_cold(now, target.instance)
        is_known_warm = not (
            is_cold or target.failures or now > target.proven_at + EVIDENCE_VALIDITY
        )
        return unshared_bound(self._cold, cold_rate, is_known_warm)

    def _choose_unshared(
        self, now: float, candidates: Sequence[TargetLoad], cold_rate: float
    ) -> TargetLoad | None:
        """Return a target of whose limit this process's own part is not used up, or None."""
        gateways = self._board.grant.gateways
        return next(
            (
                item
                for item in candidates
                if item.usable_from <= now
                and self._has_limit(now, item, cold_rate)
                and self._conditions.take_unshared(
                    now, item.instance, gateways, self._own_bound(now, item, cold_rate)
                )
            ),
            None,
        )
