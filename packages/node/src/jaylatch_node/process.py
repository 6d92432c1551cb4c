"""One jaylatch process: its blackboard, its streams and its roles."""

from random import Random
from secrets import token_hex

from tornado.httpclient import AsyncHTTPClient

from jaylatch_core.clock import wall
from jaylatch_core.enums import Role
from jaylatch_core.event_names import EventName
from jaylatch_core.events import EventLog
from jaylatch_core.ids import Incarnation
from jaylatch_core.messages.administration import (
    EventReport,
    MetricsReport,
    ReadEvents,
    ReadMetrics,
)
from jaylatch_core.messages.consensus import ConsensusBatch
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import MemberReport, ViewChanged
from jaylatch_core.settings import NodeSettings, split_address
from jaylatch_decisions.leases import HeldLease
from jaylatch_node.agent.role import AgentRole
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.control.client import ControlClient
from jaylatch_node.control.role import ControlRole
from jaylatch_node.entry.role import EntryRole
from jaylatch_node.leases import LeaseController
from jaylatch_node.streams import PeerPool, StreamConnection, StreamServer, Traffic

INCARNATION_BYTES = 8
HTTP_CLIENTS = 128


class Process:
    """Builds the roles that the settings ask for and hands each message to its role."""

    def __init__(self, settings: NodeSettings) -> None:
        """Build everything. Raises JaylatchError if the files of the logs cannot be used."""
        AsyncHTTPClient.configure(
            "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=HTTP_CLIENTS
        )
        incarnation = Incarnation(token_hex(INCARNATION_BYTES))
        self._settings = settings
        self._events = EventLog(settings.instance)
        self._board = Blackboard(
            Identity(settings.instance, incarnation, settings.failure_domain, settings.stream),
            self._events,
            GrantBoard(HeldLease(settings.lease.drift)),
        )
        traffic = Traffic(self._board.metrics)
        self._peers = PeerPool(self._events, traffic, self._handle_body)
        self._server = StreamServer(self._events, traffic, self._handle_body)
        self._client = ControlClient(settings.control, self._peers)
        self._control: ControlRole | None = None
        self._entry: EntryRole | None = None
        self._agent: AgentRole | None = None
        if Role.CONTROL in settings.roles:
            self._control = ControlRole(settings, self._board, self._peers)
        if Role.ENTRY in settings.roles:
            random = Random(incarnation)
            self._entry = EntryRole(settings, self._board, self._peers, self._client, random)
        if Role.AGENT in settings.roles:
            self._agent = AgentRole(settings, self._board, self._peers, self._server)
        self._leases = LeaseController(
            self._board, settings.lease, settings.roles, self._client, self._report_member
        )
        for role in (self._entry, self._agent):
            if role is not None:
                self._leases.on_grant(role.on_grant)

    def start(self) -> None:
        """Listen and start all roles; call on the running loop."""
        roles = ", ".join(role.value for role in self._settings.roles)
        self._events.record(
            wall(), EventName.PROCESS_STARTED, self._board.identity.incarnation, detail=roles
        )
        host, port = split_address(self._settings.stream_listen or self._settings.stream)
        self._server.listen(port, host)
        self._client.connect()
        for role in (self._control, self._agent, self._entry):
            if role is not None:
                role.start()
        self._leases.start()

    def stop(self) -> None:
        """Stop all roles and close all streams."""
        self._events.record(wall(), EventName.PROCESS_STOPPED, self._board.identity.incarnation)
        self._leases.stop()
        for role in (self._entry, self._agent, self._control):
            if role is not None:
                role.stop()
        self._server.stop()
        self._peers.close()

    def _report_member(self, now: float) -> MemberReport | None:
        return self._agent.report_member(now) if self._agent is not None else None

    def _handle_body(self, connection: StreamConnection, call: int, body: Body) -> None:
        match body:
            case ConsensusBatch():
                if self._control is not None:
                    self._control.handle_consensus(body)
            case ViewChanged():
                self._leases.renew_now()
            case ReadMetrics():
                connection.reply(call, MetricsReport(self._board.metrics.text()))
            case ReadEvents(wanted):
                report = EventReport(self._events.recent(wanted), self._events.dropped)
                connection.reply(call, report)
            case _:
                self._handle_role_body(connection, call, body)

    def _handle_role_body(self, connection: StreamConnection, call: int, body: Body) -> None:
        if self._control is not None and self._control.handle_call(connection, call, body):
            return
        if self._agent is not None and self._agent.handle_call(connection, call, body):
            return
        if self._entry is not None:
            self._entry.handle_body(connection, body, connection.address)
