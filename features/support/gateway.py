"""A gateway on the test's event loop, with scripted targets and raw HTTP callers."""

from asyncio import (
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    open_connection,
    start_server,
)
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from tornado.httputil import HTTPHeaders, RequestStartLine

from jaylatch_core.clock import monotonic
from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.deployment import (
    Deployment,
    DeploymentNumber,
    EngineProfile,
    RequestKind,
    RouteSpecification,
    ServiceProfile,
    ServiceShare,
)
from jaylatch_core.events import EventLog
from jaylatch_core.ids import (
    AccountId,
    AttemptId,
    Epoch,
    FailureDomainId,
    GroupId,
    Incarnation,
    InstanceId,
    PromptPartId,
)
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import GroupRoute, ServiceRoute, View
from jaylatch_core.settings import ControlSettings, GatewaySettings, NodeSettings
from jaylatch_decisions.leases import HeldLease
from jaylatch_decisions.targets import EngineOrder
from jaylatch_node.blackboard import Blackboard, GrantBoard, Identity
from jaylatch_node.control.client import ControlClient
from jaylatch_node.deadlines import time_limit
from jaylatch_node.gateway import GatewayRole
from jaylatch_node.observability import Metrics
from jaylatch_node.streams import PeerPool, StreamConnection, Traffic
from jaylatch_node.targets import (
    InboundRequest,
    OrderOutcome,
    OutboundRequest,
    Refusal,
    RefusalKind,
    ResponseFacts,
    ResponseHead,
)
from jaylatch_standins.ports import free_addresses

STATUS = {
    RefusalKind.NOT_RUN: 503,
    RefusalKind.FAILED: 502,
    RefusalKind.TIMED_OUT: 504,
    RefusalKind.NO_ROUTE: 404,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.HEAD_TOO_LARGE: 431,
    RefusalKind.HEAD_TIMED_OUT: 408,
    RefusalKind.BODY_TOO_LARGE: 413,
}
DOMAIN = FailureDomainId("domain-1")
HOST = "gateway.test"
ANSWER_TIMEOUT_SECONDS = 15.0
MODEL = "model"


class PlainDialect:
    """A minimal dialect with header names that only the tests use."""

    def read_request(
        self, start_line: RequestStartLine, headers: HTTPHeaders, body: bytes
    ) -> InboundRequest | Refusal:
        """Return the parsed request, or a refusal if it has no id."""
        if "X-Id" not in headers:
            return Refusal(RefusalKind.BAD_REQUEST, "no id")
        last = headers.get("X-Last")
        time_left = headers.get("X-Time-Left")
        return InboundRequest(
            AttemptId(headers["X-Id"]),
            start_line.method,
            start_line.path,
            headers["Host"],
            headers,
            body,
            float(time_left) if time_left else None,
            headers.get("X-Key"),
            headers.get("X-Model"),
            int(last) if last else None,
            tuple(PromptPartId(part) for part in headers.get("X-Parts", "").split()),
        )

    def write_request(
        self,
        request: InboundRequest,
        instance: InstanceId,
        account: AccountId | None,
        time_left: float,
        resume_after: int | None,
    ) -> OutboundRequest:
        """Return the request to send to a target."""
        headers = HTTPHeaders({"X-Id": request.attempt, "X-Instance": instance})
        headers["X-Time-Left"] = f"{time_left:.3f}"
        if resume_after is not None:
            headers["X-Last"] = str(resume_after)
        return OutboundRequest(request.method, request.target, headers, request.body)

    def read_response(self, head: ResponseHead) -> ResponseFacts:
        """Return the facts that the head of a response carries."""
        attempt = head.headers.get("X-Id")
        rest = head.headers.get("X-Rest")
        return ResponseFacts(
            AttemptId(attempt) if attempt else None,
            "X-Proof" in head.headers,
            "X-Not-Run" in head.headers,
            None,
            "Content-Encoding" in head.headers,
            None,
            rest=float(rest) if rest else None,
            is_leaving="X-Leaving" in head.headers,
        )

    def write_refusal(
        self, refusal: Refusal, attempt: AttemptId | None
    ) -> tuple[int, str, HTTPHeaders, bytes]:
        """Return the status, reason, headers and body of a refusal."""
        headers = HTTPHeaders()
        if refusal.retry_after:
            headers["X-Retry-After"] = f"{refusal.retry_after:.3f}"
        return STATUS[refusal.kind], refusal.kind.value, headers, refusal.reason.encode()

    def write_answer_headers(self, head: ResponseHead) -> HTTPHeaders:
        """Return the id, signature and content type of a target's answer."""
        names = ("X-Id", "X-Proof", "Content-Type")
        return HTTPHeaders({name: head.headers[name] for name in names if name in head.headers})

    def write_order(self, order: EngineOrder, instance: InstanceId, fence: int) -> OutboundRequest:
        """Return the request that sends an order to an engine."""
        return OutboundRequest("POST", "/order", HTTPHeaders(), repr(order).encode())

    def write_probe(self, instance: InstanceId) -> OutboundRequest:
        """Return the request of a health check."""
        return OutboundRequest("GET", "/alive", HTTPHeaders())

    def read_order_outcome(self, head: ResponseHead) -> OrderOutcome:
        """Return the outcome of an order: always accepted."""
        return OrderOutcome.ACCEPTED


@dataclass
class Received:
    """A request that a target received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


Script = Callable[[Received, StreamReader, StreamWriter], Awaitable[bool]]
"""Answers one request; returns whether to keep the connection open."""


@dataclass
class ScriptedTarget:
    """A target on its own port that records its requests and answers them with a script."""

    name: str
    script: Script
    address: str = field(default_factory=lambda: free_addresses(1)[0])
    received: list[Received] = field(default_factory=list)
    connections: int = 0
    abandoned: int = 0

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self.server = await start_server(self._serve, host, int(port))

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                request = await read_request(reader)
                self.received.append(request)
                if not await self.script(request, reader, writer):
                    break
        except (IncompleteReadError, ConnectionError):
            self.abandoned += 1
        finally:
            writer.close()


async def read_request(reader: StreamReader) -> Received:
    """Read one request. Raises IncompleteReadError if the connection ends first."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, path, _ = lines[0].split(" ")
    headers = dict(line.split(": ", 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(headers.get("Content-Length", "0")))
    return Received(method, path, headers, body)


def answer_bytes(
    request: Received, body: bytes, status: str = "200 OK", **extra_headers: str
) -> bytes:
    """Return a complete, signed answer to ``request`` with ``extra_headers``."""
    headers = {"X-Id": request.headers["X-Id"], "X-Proof": "proof", **extra_headers}
    headers["Content-Length"] = str(len(body))
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_head(request: Received) -> bytes:
    """Return the head of a stream that answers ``request``."""
    return (
        "HTTP/1.1 200 OK\r\nX-Proof: proof\r\nContent-Type: text/event-stream\r\n"
        f"X-Id: {request.headers['X-Id']}\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def event_bytes(number: int) -> bytes:
    """Return one event without framing."""
    return f"id: {number}\ndata: text {number}\n\n".encode()


def event_chunk(number: int) -> bytes:
    """Return one event as an HTTP chunk."""
    event = event_bytes(number)
    return f"{len(event):x}\r\n".encode() + event + b"\r\n"


END_OF_STREAM = b"0\r\n\r\n"


@dataclass
class Answer:
    """An answer that a caller received; status 0 if the connection ended before an answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    @property
    def closes_connection(self) -> bool:
        """Return whether the gateway announces that it closes the connection."""
        return self.headers.get("Connection", "").lower() == "close"


class RawCaller:
    """An HTTP caller on one connection."""

    def __init__(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str) -> "RawCaller":
        """Return a connected caller."""
        host, _, port = address.rpartition(":")
        return cls(*await open_connection(host, int(port)))

    async def ask(self, request: bytes, timeout: float = ANSWER_TIMEOUT_SECONDS) -> Answer:
        """Send a request and return its answer."""
        self.writer.write(request)
        return await self.read(timeout)

    async def read(self, timeout: float = ANSWER_TIMEOUT_SECONDS) -> Answer:
        """Return the next answer."""
        try:
            async with time_limit(timeout):
                return await self._read()
        except (IncompleteReadError, ConnectionError):
            return Answer(0, {}, b"", False)

    async def _read(self) -> Answer:
        lines = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        if "Content-Length" in headers:
            body = await self._reader.readexactly(int(headers["Content-Length"]))
            return Answer(status, headers, body, True)
        body = b""
        try:
            while size := int((await self._reader.readuntil(b"\r\n")).strip(), 16):
                body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        except (IncompleteReadError, ConnectionError):
            return Answer(status, headers, body, False)
        return Answer(status, headers, body, True)


def request_bytes(
    path: str, request: str = "r1", body: bytes = b"", method: str = "POST", **headers: str
) -> bytes:
    """Return a caller's request; in the names of ``headers`` an underscore stands for a dash."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Id: {request}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_route(kind: RequestKind, **changes: object) -> RouteSpecification:
    """Return a route from ``/KIND/`` to the service of the same name."""
    route = RouteSpecification(
        kind.value,
        HOST,
        f"/{kind.value}/",
        kind,
        8.0,
        0.2,
        (ServiceShare(kind.value, 1.0),),
        attempts=2,
        is_resumable=True,
        event_gap=0.2,
    )
    return msgspec.structs.replace(route, **changes)


class GatewayHarness:
    """A gateway role whose lease, deployment and view the test sets."""

    def __init__(
        self, settings: GatewaySettings | None = None, peers: tuple[ControlPeer, ...] = ()
    ) -> None:
        http, readiness, stream, absent = free_addresses(4)
        # At the default address another test may run a control instance.
        peers = peers or (ControlPeer(InstanceId("absent"), absent),)
        gateway = msgspec.structs.replace(
            settings or GatewaySettings(evidence_warm_up=0.001), http=http, readiness=readiness
        )
        self.address = http
        self.settings = NodeSettings(
            instance=InstanceId("gateway"),
            failure_domain=DOMAIN,
            stream=stream,
            gateway=gateway,
            control=ControlSettings(peers=peers),
        )
        events = EventLog("gateway")
        lease = HeldLease(0.0)
        lease.extend(monotonic(), 3600.0)
        identity = Identity(InstanceId("gateway"), Incarnation("1"), DOMAIN, stream)
        self.board = Blackboard(identity, events, GrantBoard(lease))
        pool = PeerPool(events, Traffic(Metrics()), self._handle_body)
        self.client = ControlClient(self.settings.control, pool)
        self.renewals = 0
        self.role = GatewayRole(
            self.settings, self.board, self.client, PlainDialect(), self._count_renewal
        )

    def grant(
        self, routes: list[RouteSpecification], targets: dict[RequestKind, list[ScriptedTarget]]
    ) -> None:
        """Grant a deployment with ``routes`` and a view with the targets of each kind.

        Each stream target is the head of its own group, and all groups serve one model.
        """
        engine = EngineProfile(4)
        services = tuple(
            ServiceProfile(kind.value, 100, engine if kind is RequestKind.STREAM else None)
            for kind in RequestKind
        )
        self.board.grant.deployment = Deployment(DeploymentNumber(1), tuple(routes), services)
        groups = tuple(
            GroupRoute(
                GroupId(target.name),
                Epoch(1),
                MODEL,
                InstanceId(target.name),
                target.address,
                DOMAIN,
                RequestKind.STREAM.value,
                4,
            )
            for target in targets.get(RequestKind.STREAM, [])
        )
        service_routes = tuple(
            ServiceRoute(kind.value, InstanceId(target.name), target.address, DOMAIN, 4)
            for kind in (RequestKind.IDEMPOTENT, RequestKind.ONCE)
            for target in targets.get(kind, [])
        )
        version = self.board.grant.view.version + 1
        self.board.grant.view = View(version, groups, service_routes)
        self.role.on_grant()

    def _handle_body(self, connection: StreamConnection, call: int, body: Body) -> None:
        self.role.handle_call(connection, call, body)

    def _count_renewal(self) -> None:
        self.renewals += 1

    def start(self) -> None:
        """Start the role on the running loop."""
        self.role.start()


def offer_slots(harness: GatewayHarness, slots: int) -> None:
    """Let each target of the granted view take ``slots`` requests at once."""
    view = harness.board.grant.view
    replace = msgspec.structs.replace
    harness.board.grant.view = replace(
        view,
        version=view.version + 1,
        groups=tuple(replace(group, slots=slots) for group in view.groups),
        services=tuple(replace(service, slots=slots) for service in view.services),
    )
    harness.role.on_grant()
