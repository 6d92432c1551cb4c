"""One jaylatch process: its blackboard, its streams and its roles."""

from asyncio import gather
from collections.abc import Callable
from secrets import token_hex

from jaylatch_core.clock import wall
from jaylatch_core.event_names import EventName
from jaylatch_core.events import EventLog
from jaylatch_core.ids import Incarnation, PromptPartId
from jaylatch_core.messages.administration import (
    EventReport,
    MetricsReport,
    ReadEvents,
    ReadMetrics,
)
from jaylatch_core.messages.consensus import ConsensusBatch
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import GroupProgress, MemberReport, ViewChanged
from jaylatch_core.settings import NodeSettings
from jaylatch_decisions.leases import HeldLease
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.control.client import ControlClient
from jaylatch_node.leases import LeaseController
from jaylatch_node.listening import listen_at
from jaylatch_node.observability import log_event
from jaylatch_node.observability.metrics_server import MetricsServer
from jaylatch_node.role import NodeRole
from jaylatch_node.streams import PeerPool, StreamConnection, StreamServer, Traffic

INCARNATION_BYTES = 8


RoleFactory = Callable[["Process"], NodeRole]


class Process:
    """Dispatches each message to its role and renews the lease.

    ``factories`` create the roles, which start in that order; a role may use the public attributes
    of the process.
    """

    def __init__(self, settings: NodeSettings, factories: list[RoleFactory]) -> None:
        """Create the roles. Raises JaylatchError if the log files of a role cannot be used."""
        incarnation = Incarnation(token_hex(INCARNATION_BYTES))
        self.settings = settings
        sink = log_event if settings.log.events else None
        self._events = EventLog(settings.instance, sink=sink)
        self.board = Blackboard(
            Identity(settings.instance, incarnation, settings.failure_domain, settings.stream),
            self._events,
            GrantBoard(HeldLease(settings.lease.drift)),
        )
        self._metrics_server = MetricsServer(self.board.metrics) if settings.metrics else None
        traffic = Traffic(self.board.metrics)
        self.peers = PeerPool(self._events, traffic, self._handle_body)
        self.server = StreamServer(self._events, traffic, self._handle_body)
        self.client = ControlClient(settings.control, self.peers)
        self._roles = [factory(self) for factory in factories]
        self._leases = LeaseController(
            self.board,
            settings.lease,
            settings.roles,
            self.client,
            self._report_member,
            self._report_progress,
            self._report_answered_parts,
        )
        for role in self._roles:
            self._leases.on_grant(role.on_grant)

    def start(self) -> None:
        """Listen and start all roles; call on the running loop."""
        roles = ", ".join(role.value for role in self.settings.roles)
        self._events.record(
            wall(), EventName.PROCESS_STARTED, self.board.identity.incarnation, detail=roles
        )
        listen_at(self.server, self.settings.stream_listen or self.settings.stream, "stream")
        if self._metrics_server is not None:
            self._metrics_server.listen(self.settings.metrics)
        self.client.connect()
        for role in self._roles:
            role.start()
        self._leases.start()

    def renew_now(self) -> None:
        """Renew the lease without waiting for the next interval."""
        self._leases.renew_now()

    async def drain(self) -> None:
        """Finish the work in flight of all roles; call before ``stop``."""
        await gather(*(role.drain() for role in self._roles))

    def stop(self) -> None:
        """Stop all roles and close all streams."""
        self._events.record(wall(), EventName.PROCESS_STOPPED, self.board.identity.incarnation)
        self._leases.stop()
        for role in reversed(self._roles):
            role.stop()
        if self._metrics_server is not None:
            self._metrics_server.stop()
        self.server.stop()
        self.peers.close()

    def _report_member(self, now: float) -> MemberReport | None:
        reports = (role.report_member(now) for role in self._roles)
        return next((report for report in reports if report is not None), None)

    def _report_progress(self, now: float) -> tuple[GroupProgress, ...]:
        return tuple(item for role in self._roles for item in role.report_progress(now))

    def _report_answered_parts(self, now: float) -> tuple[PromptPartId, ...]:
        return tuple(item for role in self._roles for item in role.report_answered_parts(now))

    def _handle_body(self, connection: StreamConnection, call: int, body: Body) -> None:
        match body:
            case ConsensusBatch():
                for role in self._roles:
                    role.handle_consensus(body)
            case ViewChanged(_, deployment):
                self._leases.note_deployment(deployment)
            case ReadMetrics():
                connection.reply(call, MetricsReport(self.board.metrics.text()))
            case ReadEvents(event_filter):
                report = EventReport(self._events.recent(event_filter), self._events.dropped)
                connection.reply(call, report)
            case _:
                any(role.handle_call(connection, call, body) for role in self._roles)
