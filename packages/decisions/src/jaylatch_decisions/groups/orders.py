"""When an agent may give its engine an order, and when it may trust the engine's state.

Times are seconds of the agent's monotonic clock.
"""

import msgspec

from jaylatch_core.ids import InstanceId


class OrderTiming(msgspec.Struct, frozen=True):
    """Bounds that the gate relies on.

    ``order_timeout`` is the longest time for which an order travels. ``member_timeout`` is the time
    for which a head relies on a member's answer. ``drift`` is the relative error of two clocks.
    """

    order_timeout: float
    member_timeout: float
    drift: float


class OrderGate:
    """Serialises the orders to one engine.

    An engine that ignores fencing numbers obeys whichever order comes last. After an order whose
    fate is unknown, and after the agent's own start (its predecessor may have given one), the agent
    therefore waits until the order has surely arrived or is lost. A member also waits, before its
    engine joins another head, until the head that it last answered no longer relies on the answer.
    """

    def __init__(self, timing: OrderTiming, started_at: float) -> None:
        self._timing = timing
        self._settled_at = started_at + timing.order_timeout
        self._answered_at = started_at
        self._answered_head: InstanceId | None = None

    def record_unknown_order(self, now: float) -> None:
        """Record that the fate of an order is unknown at ``now``."""
        self._settled_at = max(self._settled_at, now + self._timing.order_timeout)

    def record_ready_answer(self, now: float, head: InstanceId) -> None:
        """Record that this member told ``head`` that it is ready."""
        self._answered_at = now
        self._answered_head = head

    def is_settled(self, now: float, checks_fencing: bool) -> bool:
        """Return whether the engine's state can change only by this agent's next order."""
        return checks_fencing or now >= self._settled_at

    def may_order(
        self, now: float, checks_fencing: bool, next_head: InstanceId | None, is_in_group: bool
    ) -> bool:
        """Return whether an order may be given now.

        ``next_head`` is the head under which the engine is to act (None: it is to be released) and
        ``is_in_group`` tells whether the engine acts for a group at present.
        """
        if not self.is_settled(now, checks_fencing):
            return False
        if not is_in_group:
            return True
        if next_head is not None and next_head == self._answered_head:
            return True
        wait = self._timing.member_timeout * (1 + self._timing.drift)
        return now >= self._answered_at + wait
