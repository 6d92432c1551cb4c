"""Reservation of the target at which a request goes on if its present target is unresponsive."""

from collections.abc import Awaitable, Callable

from jaylatch_decisions.retry import RetryBudget
from jaylatch_node.gateway.placement import NoPlacement, Placement

TargetChoice = Callable[[], Awaitable[Placement | NoPlacement]]
"""Chooses the target to which the request would be sent next."""


class SuccessorReservation:
    """A place at another target for one request, together with the retry that it costs."""

    def __init__(self, choose: TargetChoice, budget: RetryBudget) -> None:
        self._choose = choose
        self._budget = budget
        self._placement: Placement | None = None

    @property
    def is_reserved(self) -> bool:
        """Return whether a target waits for the request."""
        return self._placement is not None

    async def reserve(self) -> bool:
        """Reserve a successor; return False if no target or no retry is available now."""
        if self._budget.available < 1.0:
            return False
        placement = await self._choose()
        if isinstance(placement, NoPlacement):
            return False
        if not self._budget.spend():
            placement.release()
            return False
        self._placement = placement
        return True

    def take(self) -> Placement | None:
        """Return the reserved placement, which the caller then releases, or None."""
        placement, self._placement = self._placement, None
        return placement

    def release(self) -> None:
        """Give back a reservation that is not used."""
        placement = self.take()
        if placement is not None:
            placement.release()
            self._budget.give_back()
