"""Deployments that the leader has announced and that a node does not have yet.

Load pattern: documents follow each other faster than a node on a slow or busy link receives them.
An announcement is small and arrives first. A node that has lacked an announced deployment for too
long refuses requests rather than applying routes and keys that are out of force.
"""

from collections import deque

from jaylatch_core.deployment import DeploymentNumber

MAX_ANNOUNCEMENTS = 256
"""Announcements that are remembered; further ones are younger and become due later."""


class AnnouncedDeployments:
    """Announced deployments in the order of their numbers. Times are seconds."""

    def __init__(self) -> None:
        self._announced: deque[tuple[DeploymentNumber, float]] = deque()

    def note(self, now: float, number: DeploymentNumber, in_force: DeploymentNumber) -> None:
        """Record that ``number`` was announced while this node applies ``in_force``."""
        newest = self._announced[-1][0] if self._announced else in_force
        if number > newest and len(self._announced) < MAX_ANNOUNCEMENTS:
            self._announced.append((number, now))

    def apply(self, in_force: DeploymentNumber) -> None:
        """Record that this node applies ``in_force`` from now on."""
        while self._announced and self._announced[0][0] <= in_force:
            self._announced.popleft()

    def is_overdue(self, now: float, bound: float) -> bool:
        """Return whether a deployment announced ``bound`` seconds ago is still missing."""
        return bool(self._announced) and now >= self._announced[0][1] + bound
