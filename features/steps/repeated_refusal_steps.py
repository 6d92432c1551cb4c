"""Steps on targets that write an earlier refusal once more."""

import socket
import struct
from asyncio import Event, StreamReader, StreamWriter, sleep

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import (
    END_OF_STREAM,
    MODEL,
    Answer,
    GatewayHarness,
    RawCaller,
    Received,
    ScriptedTarget,
    answer_bytes,
    event_bytes,
    event_chunk,
    make_route,
    request_bytes,
    stream_head,
)

from jaylatch_core.clock import monotonic
from jaylatch_core.deployment import RequestKind
from jaylatch_node.targets import TargetPool
from jaylatch_standins.ports import LOOPBACK

ANSWER_BODY = b"worked"
EVENT_COUNT = 3
WORK_SECONDS = 0.2
ROUTE_TIMEOUT_SECONDS = 1.5
REFUSED = "refused"
"""Id of the request that the target refuses."""
SENT = "sent"
"""Id of the request during which it repeats that."""

use_step_matcher("re")


def refusal_of(request: str, status: str = "503 Service Unavailable") -> bytes:
    """Return the refusal of ``request``, without an id if it is empty."""
    names = f"X-Id: {request}\r\n" if request else ""
    return f"HTTP/1.1 {status}\r\n{names}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".encode()


def repeated_bytes(repeated: str) -> bytes:
    match repeated:
        case "the refusal without an id":
            return refusal_of("")
        case "the refusal with the earlier id":
            return refusal_of(REFUSED)
        case "a misdirection without an id":
            return refusal_of("", "421 Misdirected Request")
        case "an earlier answer without an id":
            head = b"HTTP/1.1 200 OK\r\nX-Proof: proof\r\nContent-Length: 5\r\n\r\n"
            return head + b"other"
    raise AssertionError(repeated)


async def run(context: Context, request: Received, writer: StreamWriter) -> bool:
    """Run a request, and answer it."""
    context.runs.append(request.headers["X-Id"])
    await sleep(WORK_SECONDS)
    if request.path.startswith("/stream/"):
        writer.write(stream_head(request))
        writer.write(b"".join(map(event_chunk, range(EVENT_COUNT))) + END_OF_STREAM)
    else:
        writer.write(answer_bytes(request, ANSWER_BODY))
    return True


@given(r"a gateway with a target that refuses a request and then repeats (?P<repeated>.+)")
def step_repeats(context: Context, repeated: str) -> None:
    what, _, silence = repeated.partition(", ")

    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        if request.headers["X-Id"] == REFUSED:
            writer.write(refusal_of("" if "without" in what else REFUSED))
            return True
        writer.write(repeated_bytes(what))
        if silence:
            context.runs.append(request.headers["X-Id"])
            await Event().wait()
        return await run(context, request, writer)

    context.runner.run(start_gateway(context, script))


@given(r"another target that is listed later")
def step_other_target(context: Context) -> None:
    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        writer.write(answer_bytes(request, ANSWER_BODY))
        return True

    context.other = ScriptedTarget("other", script)
    context.runner.run(context.other.start())


@given(
    r"a gateway with a target that refuses a (?P<kind>\w+) request and repeats that to its next"
    r" send"
)
def step_repeats_own(context: Context, kind: str) -> None:
    used: set[object] = set()

    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        is_first, is_kept = not used, writer in used
        used.add(writer)
        if is_first:
            grant(context, [])
            grant(context, [context.target])
            writer.write(refusal_of(request.headers["X-Id"]))
            return True
        if is_kept:
            writer.write(refusal_of(request.headers["X-Id"]))
        return await run(context, request, writer)

    context.runner.run(start_gateway(context, script))


@given(r"a gateway with a target that refuses each request without an id")
def step_refuses(context: Context) -> None:
    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        writer.write(refusal_of(""))
        return False

    context.runner.run(start_gateway(context, script))


async def start_gateway(context: Context, script: object) -> None:
    context.runs = []
    context.target = ScriptedTarget("target", script)  # type: ignore[arg-type]
    await context.target.start()
    context.harness = GatewayHarness()
    context.harness.start()
    grant(context, [context.target])


def grant(context: Context, targets: list[ScriptedTarget]) -> None:
    routes = [make_route(kind, timeout=ROUTE_TIMEOUT_SECONDS) for kind in RequestKind]
    context.harness.grant(routes, dict.fromkeys(RequestKind, targets))


@when(r"a request is refused, and a (?P<kind>\w+) request is sent on the kept connection")
def step_refused_and_sent(context: Context, kind: str) -> None:
    context.runner.run(send_after_refusal(context, kind))


async def send_after_refusal(context: Context, kind: str) -> None:
    assert (await send(context, "once", REFUSED)).status == 503
    if hasattr(context, "other"):
        # The faulty target is used first: the other one is listed while it has the request.
        context.answer_task = None
        original = context.target.script

        async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
            grant(context, [context.target, context.other])
            return await original(request, reader, writer)

        context.target.script = script
    context.answer = await send(context, kind, SENT)
    assert context.target.connections == 1, context.target.connections


@when(r"the (?P<kind>\w+) request is sent, and the target is listed anew once it has refused")
@when(r"a (?P<kind>\w+) request is sent on a new connection")
def step_sent(context: Context, kind: str) -> None:
    context.answer = context.runner.run(send(context, kind, SENT))


async def send(context: Context, kind: str, request: str) -> Answer:
    headers = {"X_Model": MODEL} if kind == "stream" else {}
    context.kind = kind
    caller = await RawCaller.connect(context.harness.address)
    return await caller.ask(request_bytes(f"/{kind}/x", request, **headers))


@then(
    r"its caller gets (?P<answer>the complete answer|\d+), and the target ran it"
    r" (?P<runs>once|never)"
)
def step_answer(context: Context, answer: str, runs: str) -> None:
    got: Answer = context.answer
    expected = ANSWER_BODY
    if context.kind == "stream":
        expected = b"".join(map(event_bytes, range(EVENT_COUNT)))
    if answer.isdigit():
        assert got.status == int(answer), got
    else:
        assert (got.status, got.body, got.is_complete) == (200, expected, True), got
    assert context.runs == ([SENT] if runs == "once" else []), context.runs


# Idle connections


@given(r"a pool with an idle connection to a target")
def step_pool(context: Context) -> None:
    context.runner.run(open_connection(context))


async def open_connection(context: Context) -> None:
    listener = socket.create_server((LOOPBACK, 0))
    context.peer_address = f"{LOOPBACK}:{listener.getsockname()[1]}"
    context.pool = TargetPool()
    connection = await context.pool.connect(context.peer_address)
    assert connection is not None
    context.accepted, _ = listener.accept()
    listener.close()
    context.pool.release(monotonic(), context.peer_address, connection, None)
    await sleep(0.05)


@when(
    r"(?P<what>nothing|an earlier answer|the end|a reset) arrives on it,"
    r" and a connection is taken before the loop reads again"
)
def step_arrives(context: Context, what: str) -> None:
    context.runner.run(take(context, what))


async def take(context: Context, what: str) -> None:
    match what:
        case "an earlier answer":
            context.accepted.send(refusal_of(REFUSED))
        case "the end":
            context.accepted.close()
        case "a reset":
            linger = struct.pack("ii", 1, 0)
            context.accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            context.accepted.close()
    context.taken = context.pool.take(monotonic(), context.peer_address)


@then(r"(?P<taken>the connection|no connection) is taken")
def step_taken(context: Context, taken: str) -> None:
    assert (context.taken is not None) == (taken == "the connection"), context.taken
    context.pool.close()
