"""Keeps the target in step with its assignment, and the group's members in sight of its head."""

from asyncio import create_task, gather, sleep
from collections.abc import Callable

from returns.pipeline import is_successful
from tornado.httpclient import AsyncHTTPClient

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.enums import TargetKind
from jaylatch_core.event_names import EventName
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.membership import (
    Assignment,
    MemberPing,
    MemberPong,
    MemberReport,
    TargetAnnouncement,
)
from jaylatch_core.settings import AgentSettings
from jaylatch_node.adapters import EngineClient, EngineState, ServiceClient
from jaylatch_node.blackboard import NO_EPOCH, NO_GROUP, Blackboard
from jaylatch_node.streams import PeerPool

LossHandler = Callable[[], None]


class MembershipController:
    """The only writer of orders to the engine; it gives one order at a time."""

    def __init__(
        self,
        board: Blackboard,
        settings: AgentSettings,
        peers: PeerPool,
        client: AsyncHTTPClient,
        on_loss: LossHandler,
        on_change: Callable[[], None],
    ) -> None:
        self._board = board
        self._settings = settings
        self._peers = peers
        self._client = client
        self._on_loss = on_loss
        self._on_change = on_change
        self._was_whole = False

    def start(self) -> None:
        """Begin to probe the target."""
        self._tasks = [create_task(self._run_probe()), create_task(self._run_pings())]

    def stop(self) -> None:
        """Stop all probes."""
        for task in self._tasks:
            task.cancel()

    def announce(self, announcement: TargetAnnouncement) -> None:
        """Take a target's announcement; a repeated one changes nothing."""
        if announcement != self._board.member.announcement:
            self._board.member.announcement = announcement
            self._board.events.record(wall(), EventName.TARGET_ANNOUNCED, announcement.target)

    def report(self, now: float) -> MemberReport:
        """Return what the lease renewal says of this instance."""
        member = self._board.member
        return MemberReport(
            member.announcement,
            self._is_target_fresh(now),
            member.group,
            member.epoch,
            member.is_loaded,
            self.is_admitting(now),
            member.in_flight,
        )

    def is_admitting(self, now: float) -> bool:
        """Return whether this agent may start new work at ``now``."""
        grant = self._board.grant
        announcement = self._board.member.announcement
        if announcement is None or grant.is_drained or not grant.lease.is_valid(now):
            return False
        if announcement.kind is TargetKind.SERVICE:
            return self._is_target_fresh(now)
        assignment = grant.assignment
        return assignment is not None and not assignment.is_draining and self.is_whole(now)

    def is_whole(self, now: float) -> bool:
        """Return whether this is a head whose group has all members ready under its epoch."""
        assignment = self._board.grant.assignment
        if assignment is None or assignment.members[0] != self._board.identity.instance:
            return False
        if not self._is_ready(now, assignment):
            return False
        heard = self._board.member.member_heard_at
        oldest = now - self._settings.member_timeout
        return all(heard.get(member, 0.0) > oldest for member in assignment.members[1:])

    def answer_ping(self, now: float, ping: MemberPing) -> MemberPong:
        """Tell a head whether this member is ready under the head's epoch."""
        assignment = self._board.grant.assignment
        is_same = (
            assignment is not None
            and assignment.group == ping.group
            and assignment.epoch == ping.epoch
        )
        is_ready = (
            is_same
            and assignment is not None
            and self._board.grant.lease.is_valid(now)
            and self._is_ready(now, assignment)
        )
        return MemberPong(ping.group, ping.epoch, is_ready)

    # The target

    async def _run_probe(self) -> None:
        while True:
            announcement = self._board.member.announcement
            if announcement is not None:
                match announcement.kind:
                    case TargetKind.ENGINE:
                        await self._probe_engine(EngineClient(announcement.address, self._client))
                    case TargetKind.SERVICE:
                        await self._probe_service(ServiceClient(announcement.address, self._client))
            self._watch_wholeness()
            await sleep(self._settings.probe_interval)

    async def _probe_service(self, service: ServiceClient) -> None:
        sent_at = monotonic()
        if await service.is_healthy():
            self._board.member.healthy_at = sent_at

    async def _probe_engine(self, engine: EngineClient) -> None:
        sent_at = monotonic()
        state = await engine.read_state()
        if not is_successful(state):
            return
        self._record_state(sent_at, state.unwrap())
        if not state.unwrap().is_busy:
            await self._order_if_needed(engine, state.unwrap())

    def _record_state(self, sent_at: float, state: EngineState) -> None:
        member = self._board.member
        member.healthy_at = sent_at
        member.group = state.group
        member.epoch = state.epoch
        member.is_loaded = state.is_loaded

    async def _order_if_needed(self, engine: EngineClient, state: EngineState) -> None:
        grant = self._board.grant
        if not grant.lease.is_valid(monotonic()):
            return
        assignment = grant.assignment
        if assignment is None:
            if state.epoch != NO_EPOCH:
                self._on_loss()
                await engine.order_release(state.group, state.epoch)
            return
        is_current = (state.group, state.epoch) == (assignment.group, assignment.epoch)
        if not is_current or not state.is_loaded:
            self._on_loss()
            rank = assignment.members.index(self._board.identity.instance)
            await engine.order_load(assignment, rank)
            self._board.events.record(
                wall(),
                EventName.ENGINE_LOAD_ORDERED,
                assignment.group,
                detail=str(assignment.epoch),
                group=assignment.group,
                epoch=assignment.epoch,
            )

    def _is_target_fresh(self, now: float) -> bool:
        return self._board.member.healthy_at > now - self._settings.member_timeout

    def _is_ready(self, now: float, assignment: Assignment) -> bool:
        member = self._board.member
        is_current = (member.group, member.epoch) == (assignment.group, assignment.epoch)
        return is_current and member.is_loaded and self._is_target_fresh(now)

    # The other members

    async def _run_pings(self) -> None:
        while True:
            assignment = self._board.grant.assignment
            if assignment is None:
                self._board.member.member_heard_at.clear()
            elif assignment.members[0] == self._board.identity.instance:
                others = zip(assignment.members[1:], assignment.addresses[1:], strict=True)
                pings = [self._ping(assignment, *other) for other in others if other[1]]
                await gather(*pings)
            self._watch_wholeness()
            await sleep(self._settings.probe_interval)

    async def _ping(self, assignment: Assignment, member: InstanceId, address: str) -> None:
        sent_at = monotonic()
        result = await self._peers.get(address).call(
            MemberPing(assignment.group, assignment.epoch), self._settings.member_timeout
        )
        pong = result.unwrap() if is_successful(result) else None
        is_same = self._board.grant.assignment == assignment
        if isinstance(pong, MemberPong) and pong.is_ready and is_same:
            self._board.member.member_heard_at[member] = sent_at

    def _watch_wholeness(self) -> None:
        is_whole = self.is_whole(monotonic())
        if is_whole == self._was_whole:
            return
        self._was_whole = is_whole
        assignment = self._board.grant.assignment
        subject = assignment.group if assignment is not None else NO_GROUP
        name = EventName.GROUP_WHOLE if is_whole else EventName.GROUP_BROKEN
        epoch = assignment.epoch if assignment is not None else NO_EPOCH
        self._board.events.record(wall(), name, subject, group=subject, epoch=epoch)
        if not is_whole:
            self._on_loss()
        self._on_change()
