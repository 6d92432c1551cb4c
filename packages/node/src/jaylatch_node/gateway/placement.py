"""Choice of the target of a request, with the owner of the places where there is one."""

from asyncio import sleep
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from jaylatch_core.clock import monotonic
from jaylatch_core.ids import FailureDomainId
from jaylatch_decisions.targets import TargetLoad, choose_target, may_admit
from jaylatch_node.gateway.directory import TargetDirectory
from jaylatch_node.gateway.job import Job
from jaylatch_node.gateway.places import Place, PlaceClient

RESUME_WAIT = 1.5
"""Seconds for which an interrupted stream waits for a target: a group with a spare is repaired in
0.7 s, and callers disconnect after a gap of two."""
RESUME_POLL = 0.1
"""Seconds between two checks for such a target."""


class Obstacle(Enum):
    """Reason why no target takes a request now."""

    NO_TARGET = "no target"
    FULL = "full"


@dataclass(frozen=True)
class Placement:
    """The target of a request; ``place`` is set if the owner of the places granted it."""

    target: TargetLoad
    address: str
    place: Place | None
    candidates: int

    def release(self) -> None:
        """Notify the owner of the place, if there is one, that the request has ended."""
        if self.place is not None:
            self.place.release()


@dataclass(frozen=True)
class NoPlacement:
    """No target takes the request; ``load`` is that of the least loaded of the candidates."""

    obstacle: Obstacle
    load: float = 0.0
    candidates: int = 0


class Placer:
    """Chooses the targets of one gateway's requests."""

    def __init__(
        self,
        directory: TargetDirectory,
        places: PlaceClient,
        local_domain: FailureDomainId,
        random: Random,
    ) -> None:
        self._directory = directory
        self._places = places
        self._local_domain = local_domain
        self._random = random

    async def place(self, job: Job) -> Placement | NoPlacement:
        """Return the target to which the request is sent next."""
        while True:
            candidates = self._candidates(job)
            place = await self._take_place(job, candidates)
            if place is not None and place.target is None:
                return NoPlacement(Obstacle.FULL, place.load, len(candidates))
            target = self._choose(job, candidates) if place is None else place.target
            if target is None:
                return NoPlacement(Obstacle.NO_TARGET)
            if place is None and not self._may_admit(job, target):
                load = target.expected_load(monotonic())
                return NoPlacement(Obstacle.FULL, load, len(candidates))
            address = self._directory.address(target.instance)
            if address is not None:
                return Placement(target, address, place, len(candidates))
            # The view has changed since the candidates were chosen.
            if place is not None:
                place.release()

    async def wait_for_target(self, job: Job) -> bool:
        """Wait for a repaired group, if a stream has started; return whether there is one.

        A request whose answer has not started is refused at once with a retry delay.
        """
        until = monotonic() + RESUME_WAIT
        while job.caller.has_started and monotonic() < until:
            await sleep(RESUME_POLL)
            # A repaired group often keeps its head, with a new load record since it was lost.
            if any(not job.was_attempted(item) for item in self._candidates(job)):
                return True
        return False

    async def _take_place(self, job: Job, candidates: Sequence[TargetLoad]) -> Place | None:
        """Take a place for a request of a model.

        Return None for a request of a plain service, or if no target is usable or no owner answers.
        """
        now = monotonic()
        if job.request.model is None:
            return None
        return await self._places.take(
            job.request.model,
            job.request.attempt,
            [
                item
                for item in candidates
                if not job.was_attempted(item) and item.usable_from <= now
            ],
            job.deadline - now,
            job.digest,
            job.caller.has_started,
        )

    def _may_admit(self, job: Job, target: TargetLoad) -> bool:
        """Return whether the target has a free place as far as this process knows."""
        if job.request.model is None:
            return True
        return may_admit(monotonic(), target, job.caller.has_started)

    def _candidates(self, job: Job) -> Sequence[TargetLoad]:
        return self._directory.candidates(self._choose_service(job), job.request.model)

    def _choose(self, job: Job, candidates: Sequence[TargetLoad]) -> TargetLoad | None:
        attempted = frozenset(item.instance for item in candidates if job.was_attempted(item))
        return choose_target(monotonic(), candidates, self._local_domain, self._random, attempted)

    def _choose_service(self, job: Job) -> str:
        shares = job.route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self._random.choices(shares, weights)[0].service
