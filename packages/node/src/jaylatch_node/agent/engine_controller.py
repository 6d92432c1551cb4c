"""Control of the engine: the only sender of its orders, one at a time."""

from asyncio import Task, create_task
from collections.abc import Callable, Coroutine

from returns.pipeline import is_successful

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.event_names import EventName
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.membership import Assignment
from jaylatch_core.settings import AgentSettings, LeaseSettings
from jaylatch_decisions.groups import OrderGate, OrderTiming
from jaylatch_node.adapters import EngineClient, EngineState
from jaylatch_node.adapters.engine import ORDER_TIMEOUT
from jaylatch_node.blackboard import NO_EPOCH, Blackboard


class EngineController:
    """Sends the engine the orders that the assignment on the blackboard requires.

    ``on_membership_end`` is called before each order, which ends the engine's current membership.
    """

    def __init__(
        self,
        board: Blackboard,
        settings: AgentSettings,
        lease: LeaseSettings,
        on_membership_end: Callable[[], None],
    ) -> None:
        self._board = board
        self._on_membership_end = on_membership_end
        timing = OrderTiming(ORDER_TIMEOUT, settings.member_timeout, lease.drift)
        self._gate = OrderGate(timing, monotonic())
        self._order: Task[None] | None = None
        self._ordered_at = 0.0

    @property
    def _is_ordering(self) -> bool:
        return self._order is not None and not self._order.done()

    def is_settled(self, now: float) -> bool:
        """Return whether no earlier order can still change the engine's state."""
        if self._is_ordering:
            return False
        announcement = self._board.member.announcement
        checks_fencing = announcement is not None and announcement.checks_fencing
        return self._gate.is_settled(now, checks_fencing)

    def record_ready_answer(self, now: float, head: InstanceId) -> None:
        """Record that this member has reported to ``head`` that it is ready."""
        self._gate.record_ready_answer(now, head)

    async def probe(self, engine: EngineClient) -> None:
        """Read the engine's state and send the order that it requires, if any."""
        sent_at = monotonic()
        state = await engine.read_state()
        if not is_successful(state):
            return
        self._record_state(sent_at, state.unwrap())
        # A state that was requested before the last order ended may not show its effect.
        is_current = sent_at > self._ordered_at and not self._is_ordering
        if is_current and not state.unwrap().is_busy:
            self._order_if_needed(engine, state.unwrap())

    def stop(self) -> None:
        """Stop waiting for the answer to an order."""
        if self._order is not None:
            self._order.cancel()

    def _record_state(self, sent_at: float, state: EngineState) -> None:
        member = self._board.member
        member.healthy_at = max(member.healthy_at, sent_at)
        member.group = state.group
        member.epoch = state.epoch
        member.is_loaded = state.is_loaded

    def _order_if_needed(self, engine: EngineClient, state: EngineState) -> None:
        assignment = self._board.grant.assignment
        is_in_group = state.epoch != NO_EPOCH
        if not self._may_order(assignment, is_in_group):
            return
        if assignment is None:
            if is_in_group:
                self._begin(self._release(engine, state))
            return
        is_current = (state.group, state.epoch) == (assignment.group, assignment.epoch)
        if assignment.may_load and not (is_current and state.is_loaded):
            self._begin(self._load(engine, assignment))

    def _begin(self, order: Coroutine[None, None, None]) -> None:
        """Send an order in a separate task, so that probes continue meanwhile."""
        self._on_membership_end()
        self._order = create_task(order)

    def _may_order(self, assignment: Assignment | None, is_in_group: bool) -> bool:
        now = monotonic()
        announcement = self._board.member.announcement
        if announcement is None or not self._board.grant.lease.is_valid(now):
            return False
        head = assignment.members[0] if assignment is not None else None
        return self._gate.may_order(now, announcement.checks_fencing, head, is_in_group)

    async def _release(self, engine: EngineClient, state: EngineState) -> None:
        if not is_successful(await engine.order_release(state.group, state.epoch)):
            self._gate.record_unknown_order(monotonic())
        self._ordered_at = monotonic()

    async def _load(self, engine: EngineClient, assignment: Assignment) -> None:
        rank = assignment.members.index(self._board.identity.instance)
        if not is_successful(await engine.order_load(assignment, rank)):
            self._gate.record_unknown_order(monotonic())
        self._ordered_at = monotonic()
        self._board.events.record(
            wall(),
            EventName.ENGINE_LOAD_ORDERED,
            assignment.group,
            detail=str(assignment.epoch),
            group=assignment.group,
            epoch=assignment.epoch,
        )
