"""Membership of the target in its group: admission of new work and the member report."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable

from tornado.httpclient import AsyncHTTPClient
from tornado.ioloop import PeriodicCallback

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, monotonic, wall
from jaylatch_core.enums import TargetKind
from jaylatch_core.event_names import EventName
from jaylatch_core.ids import Epoch
from jaylatch_core.messages.membership import (
    Assignment,
    MemberPing,
    MemberPong,
    MemberReport,
    TargetAnnouncement,
)
from jaylatch_core.settings import AgentSettings, LeaseSettings
from jaylatch_node.adapters import EngineClient, ServiceClient
from jaylatch_node.agent.engine_controller import EngineController
from jaylatch_node.agent.heartbeats import HeartbeatController
from jaylatch_node.blackboard import NO_EPOCH, NO_GROUP, Blackboard
from jaylatch_node.streams import PeerPool

COMPLETENESS_CHECK_INTERVAL = 0.05
"""Seconds between two checks whether the group is complete."""
OWN_PAUSE = 0.1
"""Seconds by which a check is late if this process was paused or busy, beyond the usual jitter."""

LossHandler = Callable[[], None]


class MembershipController:
    """Admits new work only while the target is healthy and its group is complete."""

    def __init__(
        self,
        board: Blackboard,
        settings: AgentSettings,
        lease: LeaseSettings,
        peers: PeerPool,
        client: AsyncHTTPClient,
        on_loss: LossHandler,
        on_change: Callable[[], None],
    ) -> None:
        self._board = board
        self._settings = settings
        self._client = client
        self._on_loss = on_loss
        self._on_change = on_change
        self._engine = EngineController(board, settings, lease, on_loss)
        self._heartbeats = HeartbeatController(board, settings, peers)
        self._completeness_timer = PeriodicCallback(
            self._check_completeness, COMPLETENESS_CHECK_INTERVAL * MILLISECONDS_PER_SECOND
        )
        self._probe: Task[None] | None = None
        self._was_complete = False
        self._checked_at = 0.0

    def start(self) -> None:
        """Start to probe the target and the other members."""
        self._checked_at = monotonic()
        self._probe = create_task(self._run_probe())
        self._heartbeats.start()
        self._completeness_timer.start()

    def stop(self) -> None:
        """Stop all probes."""
        if self._probe is not None:
            self._probe.cancel()
        self._engine.stop()
        self._heartbeats.stop()
        self._completeness_timer.stop()

    def announce(self, announcement: TargetAnnouncement) -> None:
        """Record a target's announcement; a repeated one changes nothing."""
        if announcement != self._board.member.announcement:
            self._board.member.announcement = announcement
            self._board.events.record(wall(), EventName.TARGET_ANNOUNCED, announcement.target)

    def report(self, now: float) -> MemberReport:
        """Return the report on this instance for the lease renewal."""
        member = self._board.member
        return MemberReport(
            member.announcement,
            self._is_target_healthy(now),
            member.group,
            member.epoch,
            member.is_loaded,
            self.is_admitting(now),
            member.in_flight,
            self._board.grant.lease.is_valid(now),
            self._engine.is_settled(now),
            self._draining_epoch(),
        )

    def is_admitting(self, now: float) -> bool:
        """Return whether this agent may start new work at ``now``."""
        grant = self._board.grant
        announcement = self._board.member.announcement
        if announcement is None or self._is_draining() or not grant.lease.is_valid(now):
            return False
        if announcement.kind is TargetKind.SERVICE:
            return self._is_target_healthy(now)
        return self.is_complete(now)

    def is_complete(self, now: float) -> bool:
        """Return whether this is a head whose group has all members ready under its epoch."""
        assignment = self._board.grant.assignment
        if assignment is None or assignment.members[0] != self._board.identity.instance:
            return False
        if not self._is_ready(now, assignment):
            return False
        last_contact_at = self._board.member.member_last_contact_at
        oldest = now - self._settings.member_timeout
        return all(last_contact_at.get(member, 0.0) > oldest for member in assignment.members[1:])

    def answer_ping(self, now: float, ping: MemberPing) -> MemberPong:
        """Return the reply to a head: whether this member is ready under the head's epoch."""
        assignment = self._board.grant.assignment
        is_ready = (
            assignment is not None
            and (assignment.group, assignment.epoch) == (ping.group, ping.epoch)
            and self._board.grant.lease.is_valid(now)
            and self._is_ready(now, assignment)
        )
        if assignment is not None and is_ready:
            self._engine.record_ready_answer(now, assignment.members[0])
        age = now - self._board.member.healthy_at
        return MemberPong(ping.group, ping.epoch, is_ready, age)

    async def _run_probe(self) -> None:
        while True:
            announcement = self._board.member.announcement
            if announcement is not None:
                match announcement.kind:
                    case TargetKind.ENGINE:
                        await self._engine.probe(EngineClient(announcement.address, self._client))
                    case TargetKind.SERVICE:
                        await self._probe_service(ServiceClient(announcement.address, self._client))
            await sleep(self._settings.probe_interval)

    async def _probe_service(self, service: ServiceClient) -> None:
        sent_at = monotonic()
        if await service.is_healthy():
            self._board.member.healthy_at = sent_at

    def _draining_epoch(self) -> Epoch:
        assignment = self._board.grant.assignment
        is_draining = assignment is not None and assignment.is_draining
        return assignment.epoch if assignment is not None and is_draining else NO_EPOCH

    def _is_draining(self) -> bool:
        grant = self._board.grant
        assignment = grant.assignment
        return grant.is_drained or (assignment is not None and assignment.is_draining)

    def _is_target_healthy(self, now: float) -> bool:
        return self._board.member.healthy_at > now - self._settings.member_timeout

    def _is_ready(self, now: float, assignment: Assignment) -> bool:
        member = self._board.member
        is_current = (member.group, member.epoch) == (assignment.group, assignment.epoch)
        is_trusted = self._engine.is_settled(now) and self._is_target_healthy(now)
        return is_current and member.is_loaded and is_trusted

    def _check_completeness(self) -> None:
        now = monotonic()
        late = now - self._checked_at - COMPLETENESS_CHECK_INTERVAL
        if late > OWN_PAUSE:
            self._board.member.record_own_pause(now, late, self._settings.member_timeout)
        self._checked_at = now
        is_complete = self.is_complete(now)
        if is_complete == self._was_complete:
            return
        self._was_complete = is_complete
        assignment = self._board.grant.assignment
        subject = assignment.group if assignment is not None else NO_GROUP
        name = EventName.GROUP_COMPLETE if is_complete else EventName.GROUP_BROKEN
        epoch = assignment.epoch if assignment is not None else NO_EPOCH
        detail = "" if is_complete else self._describe_loss(now)
        self._board.events.record(wall(), name, subject, detail=detail, group=subject, epoch=epoch)
        if not is_complete:
            self._on_loss()
        self._on_change()

    def _describe_loss(self, now: float) -> str:
        """Return what an operator needs to find out why the group is incomplete."""
        member = self._board.member
        contacts = (
            f"{name} {now - at:.2f} s" for name, at in member.member_last_contact_at.items()
        )
        return (
            f"engine healthy {now - member.healthy_at:.2f} s ago at epoch {member.epoch}, "
            f"loaded {member.is_loaded}, settled {self._engine.is_settled(now)}, "
            f"members answered: {', '.join(contacts) or 'none'}"
        )
