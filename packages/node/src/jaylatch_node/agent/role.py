"""The agent role of a process."""

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.web import Application

from jaylatch_core.clock import monotonic
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import MemberPing, MemberReport
from jaylatch_core.settings import NodeSettings
from jaylatch_node.agent.attempts import AttemptsController
from jaylatch_node.agent.handlers import AnnounceHandler
from jaylatch_node.agent.membership import MembershipController
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.listening import listen_at
from jaylatch_node.planned_stop import PlannedStop
from jaylatch_node.role import NodeRole
from jaylatch_node.streams import PeerPool, StreamConnection, StreamServer

MAX_PROBE_REQUESTS = 8
"""Concurrent probes and orders to the target."""
MAX_ANSWER_REQUESTS = 512
"""Concurrent attempts on the target."""


class AgentRole(NodeRole):
    """Connects the controllers of the agent."""

    def __init__(
        self, settings: NodeSettings, board: Blackboard, peers: PeerPool, server: StreamServer
    ) -> None:
        # Probes and orders use a separate client: they must not wait behind long answers.
        probe_client = AsyncHTTPClient(force_instance=True, max_clients=MAX_PROBE_REQUESTS)
        answer_client = AsyncHTTPClient(force_instance=True, max_clients=MAX_ANSWER_REQUESTS)
        self._settings = settings
        self._membership = MembershipController(
            board,
            settings.agent,
            settings.lease,
            peers,
            probe_client,
            self._abort_attempts,
            self._report,
        )
        self._attempts = AttemptsController(board, settings.agent, self._membership, answer_client)
        server.on_open(self._attempts.open_connection)
        server.on_close(self._attempts.close_connection)
        self._http = HTTPServer(
            Application(
                [("/announce", AnnounceHandler, {"announce": self._membership.announce})],
                log_function=lambda handler: None,
            )
        )

    def start(self) -> None:
        """Listen for the target's announcements and start to probe the target."""
        listen_at(self._http, self._settings.agent.http, "agent.http")
        self._membership.start()
        self._attempts.start()

    async def drain(self) -> None:
        """Finish the attempts in flight."""
        await self._attempts.drain(PlannedStop(monotonic(), self._settings.agent.grace))

    def stop(self) -> None:
        """Stop probing and listening."""
        self._http.stop()
        self._membership.stop()
        self._attempts.stop()

    def report_member(self, now: float) -> MemberReport:
        """Return the instance's part of a lease renewal."""
        return self._membership.report(now)

    def handle_call(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Answer a message of the agent role; returns False if the body is not one."""
        match body:
            case MemberPing():
                connection.reply(call, self._membership.answer_ping(monotonic(), body))
                return True
            case _:
                return self._attempts.handle(connection, call, body)

    def on_grant(self) -> None:
        """Report the effect of a new grant to the entries at once."""
        self._report()

    def _abort_attempts(self) -> None:
        self._attempts.abort_all()

    def _report(self) -> None:
        self._attempts.report()
