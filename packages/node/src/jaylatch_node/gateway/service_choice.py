"""Choice of the service of a request, and of what a target of that service must run."""

from random import Random

from jaylatch_core.deployment import RequestKind
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.gateway.job import Job

NO_MODEL = ""
"""Model of a request that states none, at a service whose targets run models."""


class ServiceChoice:
    """Chooses among the services of a route by their weights."""

    def __init__(self, board: Blackboard, random: Random) -> None:
        self._board = board
        self._random = random

    def choose(self, job: Job) -> str:
        """Return the service to which the request is sent next.

        A stream goes on at the service that it was first sent to.
        """
        if job.service is not None:
            return job.service
        shares = job.route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self._random.choices(shares, weights)[0].service

    def record(self, job: Job, service: str) -> None:
        """Record to which service the request is sent."""
        if job.route.kind is RequestKind.STREAM:
            job.service = service

    def model_at(self, service: str, job: Job) -> str | None:
        """Return the model that a target of ``service`` must run, None if it is a plain service.

        A request may state a model on any route, and a route may lead to services of both kinds.
        """
        profile = self._board.grant.deployment.service(service)
        if profile is None or profile.engine is None:
            return None
        return job.request.model or NO_MODEL
