"""Steps on requests that are answered or whose connections are closed, whatever happens."""

import gc
import logging
import os
import socket
import struct
from asyncio import StreamReader, StreamWriter, create_task, sleep
from typing import Any

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import (
    END_OF_STREAM,
    HOST,
    MODEL,
    Answer,
    GatewayHarness,
    RawCaller,
    Received,
    ScriptedTarget,
    answer_bytes,
    event_chunk,
    make_route,
    request_bytes,
    stream_head,
)
from tornado.httputil import HTTPHeaders, RequestStartLine

from jaylatch_core.deployment import (
    AccountProfile,
    ConnectionLimits,
    RequestKind,
    RouteSpecification,
    ServiceShare,
)
from jaylatch_core.ids import AccountId
from jaylatch_core.settings import GatewaySettings
from jaylatch_core.units import KIBIBYTE, MEBIBYTE
from jaylatch_node.gateway import server as gateway_server
from jaylatch_node.gateway.caller import Caller
from jaylatch_node.gateway.server import GatewayServer
from jaylatch_standins.ports import free_addresses

KINDS = (RequestKind.ONCE, RequestKind.STREAM)
ANSWER_BODY = b"worked"
EVENT_COUNT = 5
KEY = "key-1"
IDLE_MARGIN_SECONDS = 0.5
IDLE_SECONDS = 3.0
LONG_WORK_SECONDS = 2.8
SHORT_GRACE = GatewaySettings(grace=1.0, rotation=0.1, evidence_warm_up=0.001)
LOW_LIMITS = ConnectionLimits(
    header_bytes=100, body_bytes=1, header_timeout=0.01, idle_timeout=0.01
)

use_step_matcher("re")


class _Records(logging.Handler):
    """Keeps the log records of errors."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


@given(r"a gateway with a target that answers")
def step_answering(context: Context) -> None:
    context.runner.run(start_gateway(context, lambda path: 0.0))


@given(r"a gateway with a target that works for (?P<work>[\d.]+) s, and a grace period of 1 s")
def step_short_grace(context: Context, work: str) -> None:
    context.runner.run(start_gateway(context, lambda path: float(work), SHORT_GRACE))


@given(r"a gateway with a margin of 0.5 s after the idle timeout")
def step_idle_margin(context: Context) -> None:
    margin = gateway_server.IDLE_MARGIN
    context.add_cleanup(setattr, gateway_server, "IDLE_MARGIN", margin)
    gateway_server.IDLE_MARGIN = IDLE_MARGIN_SECONDS
    context.runner.run(
        start_gateway(context, lambda path: LONG_WORK_SECONDS if "long" in path else 0.0)
    )


async def start_gateway(
    context: Context, work: Any, settings: GatewaySettings | None = None
) -> None:
    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        seconds = work(request.path)
        if not request.path.startswith("/stream/"):
            await sleep(seconds)
            writer.write(answer_bytes(request, ANSWER_BODY))
            return True
        writer.write(stream_head(request))
        for number in range(EVENT_COUNT):
            await sleep(seconds / EVENT_COUNT)
            writer.write(event_chunk(number))
        writer.write(END_OF_STREAM)
        return True

    context.target = ScriptedTarget("target", script)
    await context.target.start()
    context.harness = GatewayHarness(settings)
    context.harness.start()
    grant(context)


def grant(
    context: Context,
    limits: ConnectionLimits | None = None,
    routes: list[RouteSpecification] | None = None,
    has_targets: bool = True,
    keys: tuple[str, ...] = (KEY,),
) -> None:
    """Grant a deployment; its routes need a key."""
    harness = context.harness
    if routes is None:
        routes = [make_route(kind) for kind in KINDS]
    targets = {kind: [context.target] for kind in KINDS} if has_targets else {}
    harness.grant(routes, targets)
    harness.board.grant.deployment = msgspec.structs.replace(
        harness.board.grant.deployment,
        limits=limits or ConnectionLimits(),
        accounts=(AccountProfile(AccountId("account"), keys),),
    )
    harness.role.on_grant()


def request_of(kind: str, path: str = "x", request: str = "r1", **headers: str) -> bytes:
    if kind == "stream":
        headers["X_Model"] = MODEL
    return request_bytes(f"/{kind}/{path}", request, **{"X_Key": KEY, **headers})


async def ask(context: Context, data: bytes) -> Answer | None:
    """Return the answer, or None if there is none within a second."""
    caller = await RawCaller.connect(context.harness.address)
    try:
        return await caller.ask(data, 1.0)
    except TimeoutError:
        return None


@when(r"a request is sent, and there is an error (?P<where>.+)")
def step_error(context: Context, where: str) -> None:
    context.records = _Records()
    logging.getLogger().addHandler(context.records)
    data = request_of("once")
    match where:
        case "when the dialect reads the request":
            data = request_of("once", X_Time_Left="soon")
        case "when the request is admitted":
            context.harness.board.grant.announced = None
        case "when the dialect writes a refusal":
            context.harness.role._forwarder._dialect.write_refusal = raise_error
            grant(context, has_targets=False)
        case _:
            raise AssertionError(where)
    try:
        context.answer = context.runner.run(ask(context, data))
    finally:
        logging.getLogger().removeHandler(context.records)


@then(r"the error is logged")
def step_logged(context: Context) -> None:
    names = {record.name for record in context.records.records}
    assert any(name.startswith("jaylatch.") for name in names), names


@then(
    r"its caller gets (?P<answer>\d+|a closed connection without an answer) within 1 s,"
    r" and the target ran (?P<runs>\d) requests"
)
def step_answer_in_time(context: Context, answer: str, runs: str) -> None:
    assert context.answer is not None, "no answer, and the connection is open"
    expected = int(answer) if answer.isdecimal() else 0
    assert context.answer.status == expected, context.answer
    assert len(context.target.received) == int(runs), context.target.received


@when(r"two requests are sent on one connection, and there is an error after each complete answer")
def step_error_after_answer(context: Context) -> None:
    context.harness.role._forwarder._evidence.clear = raise_error
    context.runner.run(send_twice(context))


def raise_error(*arguments: object) -> None:
    raise ValueError(arguments)


async def send_twice(context: Context) -> None:
    caller = await RawCaller.connect(context.harness.address)
    context.statuses = [(await caller.ask(request_of("once"), 1.0)).status for _ in range(2)]


# Heads and pipelined requests


@when(r"HEAD of a path without a route is sent, and then a request on the same connection")
def step_head(context: Context) -> None:
    context.runner.run(send_head(context))


async def send_head(context: Context) -> None:
    caller = await RawCaller.connect(context.harness.address)
    head = await read_status(caller, request_bytes("/nowhere/", method="HEAD"))
    context.statuses = [head.status, (await caller.ask(request_of("once"), 1.0)).status]


@when(r"two requests are sent at once on one connection, the first one (?P<first>.+)")
def step_pipelined(context: Context, first: str) -> None:
    context.runner.run(send_two(context, first))


async def send_two(context: Context, first: str) -> None:
    caller = await RawCaller.connect(context.harness.address)
    data = request_of("stream" if "stream" in first else "once")
    if "without a route" in first:
        data = request_bytes("/nowhere/")
    caller.writer.write(data + request_of("once", request="r2"))
    context.statuses = [(await caller.read(1.0)).status, (await caller.read(1.0)).status]


@then(r"the callers got the statuses (?P<first>\d+) and (?P<second>\d+)")
def step_statuses(context: Context, first: str, second: str) -> None:
    assert context.statuses == [int(first), int(second)], context.statuses


# Limits of connections


@when(
    r"a deployment sets a (?P<part>body|head) limit of (?P<limit>\d+ (?:MiB|KiB))"
    r"(?:, and then (?P<last>\d+ (?:MiB|KiB)) again)?,"
    r" and a (?P<connection>new|kept) connection carries (?P<request>.+)"
)
def step_limit(
    context: Context, part: str, limit: str, last: str | None, connection: str, request: str
) -> None:
    field = {"body": "body_bytes", "head": "header_bytes"}[part]
    limits = [ConnectionLimits(**{field: parse_size(text)}) for text in (limit, last) if text]
    data = {
        "2 MiB": lambda: request_bytes("/once/x", body=b"x" * 2 * MEBIBYTE, X_Key=KEY),
        "2 MiB of which it asks whether to send it": ask_to_send,
        "6 MiB": lambda: request_bytes("/once/x", body=b"x" * 6 * MEBIBYTE, X_Key=KEY),
        "a head of 8 KiB": lambda: request_of("once", X_Long="x" * 8 * KIBIBYTE),
        "a head of 40 KiB": lambda: request_of("once", X_Long="x" * 40 * KIBIBYTE),
        "a head without an end": lambda: request_of("once", X_Long="x" * MEBIBYTE)[:-4],
        "2 MiB in chunks": chunked_request,
    }[request]()
    context.runner.run(send_under_limits(context, limits, connection == "kept", data))


def parse_size(text: str) -> int:
    number, unit = text.split()
    return int(number) * {"MiB": MEBIBYTE, "KiB": KIBIBYTE}[unit]


def ask_to_send() -> bytes:
    """Return the head of a request with 2 MiB whose caller waits for an answer to it."""
    head = request_bytes("/once/x", body=b"x" * 2 * MEBIBYTE, X_Key=KEY, Expect="100-continue")
    return head[: head.index(b"\r\n\r\n") + 4]


def chunked_request() -> bytes:
    head = (
        f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Id: r1\r\nX-Key: {KEY}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()
    chunk = b"%x\r\n" % (256 * KIBIBYTE) + b"x" * 256 * KIBIBYTE + b"\r\n"
    return head + chunk * 8 + b"0\r\n\r\n"


async def send_under_limits(
    context: Context, limits: list[ConnectionLimits], is_kept: bool, *parts: bytes, pause: float = 0
) -> None:
    """Send a request in ``parts``, ``pause`` seconds apart, once all ``limits`` were in force."""
    if is_kept:
        caller = await RawCaller.connect(context.harness.address)
        assert (await caller.ask(request_of("once", "warm"))).status == 200
        context.target.received.clear()
        await sleep(0.05)
    for item in limits:
        grant(context, item)
        await sleep(0.05)
    if not is_kept:
        caller = await RawCaller.connect(context.harness.address)
    *first, last = parts
    for part in first:
        caller.writer.write(part)
        await sleep(pause)
    context.answer = await read_status(caller, last)


@when(
    r"a deployment sets a header timeout of (?P<timeout>[\d.]+) s, and a (?P<connection>new|kept)"
    r" connection carries a head in two parts, (?P<pause>[\d.]+) s apart"
)
def step_header_timeout(context: Context, timeout: str, connection: str, pause: str) -> None:
    limits = [ConnectionLimits(header_timeout=float(timeout))]
    data = request_of("once")
    sending = send_under_limits(
        context, limits, connection == "kept", data[:20], data[20:], pause=float(pause)
    )
    context.runner.run(sending)


@then(r"its caller gets (?P<answer>\d+), and the target ran (?P<runs>\d) requests")
def step_answer(context: Context, answer: str, runs: str) -> None:
    step_answer_in_time(context, answer, runs)


@when(r"a deployment sets a body limit of 1 MiB, and a caller sends 6 MiB slowly before it reads")
def step_slow_sender(context: Context) -> None:
    data = request_bytes("/once/x", body=b"x" * 6 * MEBIBYTE, X_Key=KEY)
    parts = [data[start : start + MEBIBYTE] for start in range(0, len(data), MEBIBYTE)]
    limits = [ConnectionLimits(body_bytes=MEBIBYTE)]
    context.runner.run(send_under_limits(context, limits, True, *parts, pause=0.1))


async def read_status(caller: RawCaller, data: bytes) -> Answer:
    """Send ``data`` and return the answer; its head alone if it has no length."""
    caller.writer.write(data)
    try:
        head = await caller._reader.readuntil(b"\r\n\r\n")
    except (EOFError, ConnectionError):
        return Answer(0, {}, b"", False)
    return Answer(int(head.split()[1]), {}, b"", True)


@when(
    r"(?P<connection>a kept connection|a connection with a request of 2.8 s)"
    r" is (?P<under>opened under|idle when it gets|idle under 0.5 s when it gets)"
    r" an idle timeout of (?P<timeout>[\d.]+) s"
)
def step_idle_timeout(context: Context, connection: str, under: str, timeout: str) -> None:
    context.runner.run(idle(context, "request" in connection, under, float(timeout)))


async def idle(context: Context, has_request: bool, under: str, timeout: float) -> None:
    new = ConnectionLimits(idle_timeout=timeout)
    if under == "opened under":
        grant(context, new)
    elif "0.5 s" in under:
        grant(context, ConnectionLimits(idle_timeout=0.5))
    context.caller = await RawCaller.connect(context.harness.address)
    if has_request:
        context.caller.writer.write(request_of("once", "long"))
    else:
        assert (await context.caller.ask(request_of("once"))).status == 200
        await sleep(0.1)
    if under != "opened under":
        grant(context, new)
    await sleep(IDLE_SECONDS)


@then(
    r"3 s later it (?P<state>has been closed|carries another request|has got the complete answer)"
)
def step_idle_state(context: Context, state: str) -> None:
    context.runner.run(check_idle_state(context, state))


async def check_idle_state(context: Context, state: str) -> None:
    caller: RawCaller = context.caller
    match state:
        case "has been closed":
            assert caller._reader.at_eof()
        case "carries another request":
            assert (await caller.ask(request_of("once"), 1.0)).status == 200
        case "has got the complete answer":
            answer = await caller.read(0.5)
            assert (answer.status, answer.is_complete) == (200, True), answer


# Idle connections


@given(r"a server of a gateway with a kept connection")
def step_server(context: Context) -> None:
    context.runner.run(start_server_alone(context))


async def start_server_alone(context: Context) -> None:
    context.handled, context.finished = [], []

    async def handle(
        start_line: RequestStartLine, headers: HTTPHeaders, body: bytes, caller: Caller
    ) -> None:
        context.handled.append(headers["X-Id"])
        await sleep(float(headers.get("X-Work", "0")))
        context.finished.append(headers["X-Id"])
        caller.send_answer(200, "OK", HTTPHeaders(), ANSWER_BODY)

    context.address = free_addresses(1)[0]
    host, _, port = context.address.rpartition(":")
    context.server = GatewayServer(handle, ConnectionLimits())
    context.server.listen(int(port), host, backlog=100)
    context.caller = await RawCaller.connect(context.address)
    assert (await context.caller.ask(request_of("once", request="r0"))).status == 200
    await sleep(0.05)


@when(
    r"a request is sent on it, and (?P<turns>\d) turns later"
    r" the idle (?P<what>connections are closed|time is over)"
)
def step_close_idle(context: Context, turns: str, what: str) -> None:
    context.runner.run(send_and_close_idle(context, int(turns), what == "time is over"))


async def send_and_close_idle(context: Context, turns: int, is_time_over: bool) -> None:
    raw: socket.socket = context.caller.writer.get_extra_info("socket")
    data = request_of("once")
    # Written past the event loop, so that the request arrives before the first turn.
    assert os.write(raw.fileno(), data) == len(data)
    for _ in range(turns):
        await sleep(0)
    if is_time_over:
        context.server.apply_limits(ConnectionLimits(idle_timeout=-gateway_server.IDLE_MARGIN))
        context.server._sweep()
    else:
        context.server.close_idle()
    context.answer = await context.caller.read(1.0)


@then(r"the request was (?P<result>handled and answered|neither handled nor answered)")
def step_handled(context: Context, result: str) -> None:
    is_answered = context.answer.status == 200
    is_expected = result == "handled and answered"
    got = ("r1" in context.handled, is_answered)
    assert got == (is_expected, is_expected), got


@when(r"a request that takes 0.5 s is sent on it, and the connection is reset at once")
def step_reset(context: Context) -> None:
    context.runner.run(send_and_reset(context))


async def send_and_reset(context: Context) -> None:
    raw: socket.socket = context.caller.writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    os.write(raw.fileno(), request_of("once", X_Work="0.5"))
    context.caller.writer.transport.abort()
    await sleep(1.0)


@then(r"its handling has not begun, or it was cancelled")
def step_not_finished(context: Context) -> None:
    assert "r1" not in context.finished


@when(r"(?P<count>\d+) callers connect, send a request each and disconnect")
def step_many_callers(context: Context, count: str) -> None:
    context.runner.run(connect_many(context, int(count)))


async def connect_many(context: Context, count: int) -> None:
    for number in range(count):
        caller = await RawCaller.connect(context.address)
        assert (await caller.ask(request_of("once", request=f"c{number}"))).status == 200
        caller.writer.close()
    await sleep(1.5)


@then(r"the server holds the state of 1 connection")
def step_state_of_one(context: Context) -> None:
    gc.collect()
    kind = gateway_server._InboundMessage
    messages = [item for item in gc.get_objects() if type(item) is kind]
    held = [item for item in messages if item._server is context.server]
    assert len(held) <= 1, len(held)


# Changes of the deployment


@given(r"a gateway with a target that works for 1 s")
def step_working(context: Context) -> None:
    context.runner.run(start_gateway(context, lambda path: 1.0))


@when(r"a (?P<kind>once|stream) request is sent, and 0.5 s later a deployment (?P<change>.+)")
def step_change(context: Context, kind: str, change: str) -> None:
    context.runner.run(send_and_change(context, kind, change))


async def send_and_change(context: Context, kind: str, change: str) -> None:
    answer = create_task(send(context, kind))
    await sleep(0.5)
    others = [make_route(item) for item in KINDS if item.value != kind]
    route = make_route(RequestKind(kind))
    match change:
        case "removes its route":
            grant(context, routes=others)
        case "moves its route to another service":
            moved = (ServiceShare(RequestKind.IDEMPOTENT.value, 1.0),)
            grant(context, routes=[*others, msgspec.structs.replace(route, shares=moved)])
        case "removes its service" | "removes its service, whose head goes on":
            grant(context, routes=[], has_targets=False)
        case "sets a timeout of 0.2 s for its route":
            grant(context, routes=[*others, msgspec.structs.replace(route, timeout=0.2)])
        case "revokes its key":
            grant(context, keys=())
        case "sets lower limits of connections":
            grant(context, limits=LOW_LIMITS)
        case _:
            raise AssertionError(change)
    context.answer = await answer


async def send(context: Context, kind: str) -> Answer:
    caller = await RawCaller.connect(context.harness.address)
    return await caller.ask(request_of(kind))


@then(r"its caller gets the complete answer")
def step_complete(context: Context) -> None:
    got: Answer = context.answer
    assert (got.status, got.is_complete) == (200, True), got
    assert len(context.target.received) == 1, context.target.received


# The end of the grace period


@when(r"a (?P<kind>once|stream) request is sent, and the gateway drains")
def step_drain(context: Context, kind: str) -> None:
    context.runner.run(send_and_drain(context, kind))


async def send_and_drain(context: Context, kind: str) -> None:
    caller = await RawCaller.connect(context.harness.address)
    caller.writer.write(request_of(kind))
    await sleep(0.1)
    await context.harness.role.drain()
    try:
        context.answer = await caller.read(1.0)
    except TimeoutError:
        context.answer = None
