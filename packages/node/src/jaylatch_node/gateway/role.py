"""The gateway role of a process."""

from asyncio import create_task, sleep
from collections.abc import Callable
from random import Random

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.deployment import Deployment
from jaylatch_core.event_names import EventName
from jaylatch_core.ids import InstanceId, PromptPartId
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import GroupProgress
from jaylatch_core.messages.targets import SuspectTarget
from jaylatch_core.settings import NodeSettings
from jaylatch_decisions.quarantine import AnsweredParts
from jaylatch_decisions.readers import process_bound
from jaylatch_decisions.retry import RetryBudget
from jaylatch_decisions.targets import TargetConditions, TargetLoad
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.control.client import CONTROL_LOG, ControlClient
from jaylatch_node.gateway.balancing import TargetBalancer
from jaylatch_node.gateway.directory import TargetDirectory
from jaylatch_node.gateway.forwarder import Forwarder
from jaylatch_node.gateway.held import HeldMemory
from jaylatch_node.gateway.metrics import GatewayMetrics, HeldMetrics
from jaylatch_node.gateway.placement import Placer
from jaylatch_node.gateway.places import PlaceClient
from jaylatch_node.gateway.refusals import Refusals
from jaylatch_node.gateway.server import GatewayServer
from jaylatch_node.listening import listen_at
from jaylatch_node.planned_stop import PlannedStop
from jaylatch_node.role import NodeRole
from jaylatch_node.streams import StreamConnection
from jaylatch_node.targets import TargetDialect, TargetPool

SUSPICION_INTERVAL = 0.4
"""Seconds between two reports of one target by this process."""
SUSPICION_TIMEOUT = 1.0
"""Seconds after which a report of a target is no longer worth sending."""

READY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
NOT_READY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class GatewayRole(NodeRole):
    """Wires the gateway together and drains it."""

    def __init__(
        self,
        settings: NodeSettings,
        board: Blackboard,
        client: ControlClient,
        dialect: TargetDialect,
        renew_now: Callable[[], None],
    ) -> None:
        self._renew_now = renew_now
        self._client = client
        self._suspected_at: dict[InstanceId, float] = {}
        self._settings = settings.gateway
        self._board = board
        self._directory = TargetDirectory()
        self._pool = TargetPool()
        self._answered_parts = AnsweredParts(monotonic() + self._settings.evidence_warm_up)
        random = Random(board.identity.incarnation)
        conditions = TargetConditions(random)
        self._places = PlaceClient(client, conditions)
        self._balancer = TargetBalancer(board, self._settings.balancing, random)
        placer = Placer(
            board,
            self._directory,
            self._places,
            conditions,
            random,
            self._balancer,
            settings.cold,
            self._settings.queues_by_rank,
        )
        budget = RetryBudget(self._settings.repeat_burst)
        metrics = GatewayMetrics(board.metrics)
        refusals = Refusals(board, dialect, metrics, random)
        self._forwarder = Forwarder(
            board,
            dialect,
            placer,
            self._balancer,
            conditions,
            self._pool,
            budget,
            self._settings.repeat_ratio,
            metrics,
            refusals,
            self._suspect,
            self._report_recovery,
            self._settings.apply_bound,
            self._answered_parts,
        )
        self._deployment: Deployment = board.grant.deployment
        self._memory = HeldMemory(
            process_bound(self._settings.memory_limit), HeldMetrics(board.metrics)
        )
        self._server = GatewayServer(
            self._forwarder.handle,
            self._deployment.limits,
            self._memory,
            refusals,
        )
        self._readiness = HTTPServer(self._answer_readiness)
        self._is_stopping = False
        self._progress_reported_at = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose answer has not been written to its connection."""
        return self._server.in_flight

    def start(self) -> None:
        """Listen for callers and for the platform's health checks."""
        listen_at(self._readiness, self._settings.readiness, "gateway.readiness")
        listen_at(self._server, self._settings.http, "gateway.http")

    def stop(self) -> None:
        """Close the listeners and the idle connections to targets."""
        self._server.stop()
        self._readiness.stop()
        self._memory.stop()
        self._pool.close()

    async def drain(self) -> None:
        """Finish the requests in flight while the platform routes new callers elsewhere."""
        stop = PlannedStop(monotonic(), self._settings.grace)
        self._is_stopping = True
        self._server.drain()
        await sleep(self._settings.rotation)
        self._server.stop()
        # A request sent from now on may take longer than the rest of the grace period.
        self._forwarder.stop_admitting()
        self._server.close_idle()
        await stop.wait_while(lambda: bool(self._server.in_flight))
        self._board.events.record(
            wall(),
            EventName.GATEWAY_DRAINED,
            detail=f"{self._server.in_flight} requests cut",
        )
        self._server.interrupt()
        await stop.flush()

    def handle_call(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Handle what an owner tells a waiting request; returns False for other bodies."""
        return self._places.handle(connection, body)

    def report_progress(self, now: float) -> tuple[GroupProgress, ...]:
        """Return the groups that have served this gateway since the last report."""
        since, self._progress_reported_at = self._progress_reported_at, now
        return self._directory.progress_since(since, now)

    def report_answered_parts(self, now: float) -> tuple[PromptPartId, ...]:
        """Return the suspected parts of prompts to which this gateway has received answers."""
        return self._answered_parts.proven(now, self._board.grant.view.suspected_parts)

    def on_grant(self) -> None:
        """Apply a new deployment and a new view."""
        grant = self._board.grant
        if grant.deployment is not self._deployment:
            self._deployment = grant.deployment
            self._forwarder.update_routes()
            self._server.apply_limits(grant.deployment.limits)
        if grant.view.deaths:
            self._forwarder.record_deaths(monotonic(), grant.view.deaths)
        lost = self._directory.update(grant.view)
        if lost:
            self._forwarder.mark_lost(lost)
        self._pool.retain(self._directory.addresses)
        self._balancer.retain(self._directory.instances)

    def _suspect(self, suspicion: SuspectTarget) -> None:
        """Report an unresponsive target to the control leader, no more often than it probes.

        A request whose connection the target ended is always reported.
        """
        now = monotonic()
        instance = suspicion.instance
        if suspicion.digest or now >= self._suspected_at.get(instance, 0.0) + SUSPICION_INTERVAL:
            self._suspected_at[instance] = now
            parts = self._answered_parts.unproven(now, suspicion.parts)
            report = SuspectTarget(instance, suspicion.digest, parts)
            create_task(self._client.call(CONTROL_LOG, report, SUSPICION_TIMEOUT))

    def _report_recovery(self, target: TargetLoad) -> None:
        """Tell control at once that a target goes on which the view no longer contains."""
        self._directory.note_unlisted(target)
        self._renew_now()

    def _answer_readiness(self, request: HTTPServerRequest) -> None:
        connection = request.connection
        assert connection is not None
        connection.write(READY if self._is_ready() else NOT_READY)
        connection.finish()

    def _is_ready(self) -> bool:
        grant = self._board.grant
        now = monotonic()
        is_outdated = grant.announced.is_overdue(now, self._settings.apply_bound)
        is_acting = grant.lease.is_valid(now) and bool(grant.deployment.number) and not is_outdated
        return is_acting and not self._is_stopping
