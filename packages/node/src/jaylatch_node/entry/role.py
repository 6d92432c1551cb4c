"""The entry role of a process."""

from asyncio import sleep
from random import Random

from tornado.web import Application

from jaylatch_core.clock import monotonic
from jaylatch_core.deployment import ConnectionLimits
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.requests import TargetReport
from jaylatch_core.settings import NodeSettings
from jaylatch_core.units import KIBIBYTE
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.caller_stream import CallerHTTPServer
from jaylatch_node.control.client import ControlClient
from jaylatch_node.entry.administration import AdministrationServices
from jaylatch_node.entry.administration_handlers import administration_routes
from jaylatch_node.entry.admission import AdmissionController
from jaylatch_node.entry.agents import AgentConnections
from jaylatch_node.entry.base import EntryServices, UnknownPathHandler
from jaylatch_node.entry.claims import ClaimResolver, JournalClient
from jaylatch_node.entry.completions import ChatCompletionHandler, CompletionHandler
from jaylatch_node.entry.dispatcher import Dispatcher
from jaylatch_node.entry.handlers import (
    HealthHandler,
    MetricsHandler,
    ModelsHandler,
    ServiceHandler,
)
from jaylatch_node.entry.metrics import RequestMetrics
from jaylatch_node.entry.open_requests import OpenRequests
from jaylatch_node.entry.orders import OrderController
from jaylatch_node.entry.quarantine import QuarantineController
from jaylatch_node.entry.refusals import refuse_head
from jaylatch_node.entry.routes import RouteController
from jaylatch_node.listening import listen_at
from jaylatch_node.planned_stop import PlannedStop
from jaylatch_node.role import NodeRole
from jaylatch_node.streams import PeerPool, StreamConnection

CHUNK_SIZE = 64 * KIBIBYTE
"""Largest size in bytes of a piece of a body that is passed to a handler."""
IDLE_CONNECTION_TIMEOUT = 120.0
"""Seconds after which a connection without a request is closed."""
BODY_TIMEOUT = 60.0
"""Seconds within which the complete body of a request must be received."""
HEAD_LIMITS = ConnectionLimits(header_bytes=32 * KIBIBYTE, header_timeout=BODY_TIMEOUT)
"""Limits of the head of a request; those of the body are in the settings."""


class EntryRole(NodeRole):
    """Creates the controllers and handlers of the entry and connects them."""

    def __init__(
        self,
        settings: NodeSettings,
        board: Blackboard,
        peers: PeerPool,
        client: ControlClient,
        random: Random,
    ) -> None:
        self._settings = settings
        self._board = board
        self._connections = AgentConnections(board, peers)
        policy = settings.entry.policy
        self._quarantine = QuarantineController(board)
        routes = RouteController(board, random, policy)
        self._admission = AdmissionController(board, routes, policy)
        dispatcher = Dispatcher(board, self._connections, self._admission, self._quarantine)
        journal = JournalClient(client, board.metrics)
        resolver = ClaimResolver(journal, dispatcher, self._connections)
        orders = OrderController(journal, dispatcher, resolver)
        self._requests = OpenRequests()
        services = EntryServices(
            board,
            dispatcher,
            orders,
            settings.entry,
            RequestMetrics(board.metrics),
            self._requests,
        )
        health = {"board": board, "requests": self._requests}
        callers = {"services": services}
        operators = AdministrationServices(client, peers, settings)
        self._http = CallerHTTPServer(
            Application(
                [
                    ("/v1/completions", CompletionHandler, callers),
                    ("/v1/chat/completions", ChatCompletionHandler, callers),
                    ("/v1/models", ModelsHandler, callers),
                    ("/services/([^/]+)/(.*)", ServiceHandler, callers),
                    ("/healthz", HealthHandler, {**health, "checks_readiness": False}),
                    ("/readyz", HealthHandler, {**health, "checks_readiness": True}),
                    ("/metrics", MetricsHandler, {"board": board}),
                    *administration_routes(operators),
                ],
                default_handler_class=UnknownPathHandler,
                log_function=lambda handler: None,
            ),
            max_body_size=settings.entry.body_limit,
            chunk_size=CHUNK_SIZE,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT,
            body_timeout=BODY_TIMEOUT,
        )
        self._http.bound_heads(lambda: HEAD_LIMITS, refuse_head)

    def start(self) -> None:
        """Listen for HTTP requests and start the controllers."""
        listen_at(self._http, self._settings.entry.http, "entry.http")
        self._connections.start()
        self._admission.start()

    async def drain(self) -> None:
        """Answer the requests in flight while new callers are sent elsewhere."""
        stop = PlannedStop(monotonic(), self._settings.entry.grace)
        self._requests.is_ready = False
        await sleep(self._settings.entry.rotation)
        self._http.stop()
        await self._requests.drain(stop)

    def stop(self) -> None:
        """Stop listening and stop the controllers."""
        self._http.stop()
        self._connections.stop()
        self._admission.stop()

    def on_grant(self) -> None:
        """Connect to the agents of the granted view."""
        self._connections.follow_view(self._board.grant.view)

    def handle_call(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Handle an agent's message; return False for any other body."""
        match body:
            case TargetReport():
                instance = self._connections.instance_at(connection.address)
                self._quarantine.record_report(monotonic(), body)
                if instance is not None:
                    self._connections.record_report(instance, body)
                return True
            case _:
                return self._connections.handle(connection, body)
