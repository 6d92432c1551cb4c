"""Heartbeats between the head of a group and its other members."""

from asyncio import Task, create_task

from tornado.ioloop import PeriodicCallback

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, monotonic
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.membership import Assignment, MemberPing, MemberPong
from jaylatch_core.settings import AgentSettings
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.streams import PeerPool


class HeartbeatController:
    """Pings each other member of the group that this agent heads, one ping at a time for each."""

    def __init__(self, board: Blackboard, settings: AgentSettings, peers: PeerPool) -> None:
        self._board = board
        self._timeout = settings.member_timeout
        self._peers = peers
        self._addresses: dict[InstanceId, str] = {}
        self._pings: dict[InstanceId, Task[None]] = {}
        self._timer = PeriodicCallback(
            self._tick, settings.probe_interval * MILLISECONDS_PER_SECOND
        )

    def start(self) -> None:
        """Start the pings."""
        self._timer.start()

    def stop(self) -> None:
        """Stop the pings."""
        self._timer.stop()
        for task in self._pings.values():
            task.cancel()

    def _tick(self) -> None:
        assignment = self._board.grant.assignment
        if assignment is None or assignment.members[0] != self._board.identity.instance:
            self._board.member.member_last_contact_at.clear()
            return
        others = zip(assignment.members[1:], assignment.addresses[1:], strict=True)
        for member, granted in others:
            # A new control leader does not know the addresses of all members at once.
            address = granted or self._addresses.get(member, "")
            self._addresses[member] = address
            task = self._pings.get(member)
            if address and (task is None or task.done()):
                self._pings[member] = create_task(self._ping(assignment, member, address))

    async def _ping(self, assignment: Assignment, member: InstanceId, address: str) -> None:
        sent_at = monotonic()
        result = await self._peers.get(address).call(
            MemberPing(assignment.group, assignment.epoch), self._timeout / 2
        )
        current = self._board.grant.assignment
        if current is None or (current.group, current.epoch) != (
            assignment.group,
            assignment.epoch,
        ):
            return
        match result.value_or(None):
            case MemberPong(is_ready=True, age=age):
                # The age counts from the member's answer, which came after the ping was sent.
                self._board.member.member_last_contact_at[member] = sent_at - age
            case MemberPong():
                self._board.member.member_last_contact_at.pop(member, None)
            case _:
                pass
