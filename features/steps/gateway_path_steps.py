"""Steps on requests through a gateway with misbehaving targets."""

import socket
import struct
from asyncio import StreamReader, StreamWriter, create_task, sleep
from time import monotonic

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

from jaylatch_core.deployment import NO_DEPLOYMENT, Deployment, DeploymentNumber, RequestKind
from jaylatch_core.messages.places import PlacesFull, PlaceTaken, TakePlace
from jaylatch_decisions.leases import HeldLease

EVENT_COUNT = 6
EVENTS_BEFORE_FAULT = 3
DRIBBLE_SECONDS = 0.2
"""Shorter than any time after which a silent target is abandoned."""
STALL_SECONDS = 6.0
WORK_SECONDS = 5.0
ENDLESS_BYTES = b"x" * 4096
KIND_PATTERN = "once|idempotent|stream"

use_step_matcher("re")


def is_stream(request: Received) -> bool:
    return request.path.startswith("/stream/")


def expected_body(request: Received) -> bytes:
    return b"answer to " + request.headers["X-Id"].encode()


def expected_events() -> bytes:
    return b"".join(f"id: {n}\ndata: text {n}\n\n".encode() for n in range(EVENT_COUNT))


def first_event(request: Received) -> int:
    return int(request.headers.get("X-Last", "-1")) + 1


async def answer_correctly(request: Received, writer: StreamWriter) -> bool:
    """Answer as a healthy target does."""
    if not is_stream(request):
        writer.write(answer_bytes(request, expected_body(request)))
        return True
    writer.write(stream_head(request))
    for number in range(first_event(request), EVENT_COUNT):
        writer.write(event_chunk(number))
        await sleep(0.01)
    writer.write(END_OF_STREAM)
    return True


def reset(writer: StreamWriter) -> None:
    """Make the connection close with a TCP reset."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def misbehave(fault: str, request: Received, writer: StreamWriter) -> bool:
    """Answer with ``fault``; return whether the connection is kept open."""
    body = expected_body(request)
    complete = answer_bytes(request, body)
    without_length = complete.replace(f"Content-Length: {len(body)}\r\n".encode(), b"")
    match fault:
        case "answers":
            return await answer_correctly(request, writer)
        case "reports that it did not run it":
            refused = {"X-Not-Run": "1"}
            writer.write(answer_bytes(request, b"", "503 Service Unavailable", **refused))
            return True
        case "says in its answer that it leaves":
            if not is_stream(request):
                writer.write(answer_bytes(request, body, **{"X-Leaving": "1"}))
                return True
            head = stream_head(request).replace(b"X-Proof", b"X-Leaving: 1\r\nX-Proof")
            writer.write(head)
            for number in range(EVENT_COUNT):
                writer.write(event_chunk(number))
            writer.write(END_OF_STREAM)
            return True
        case "says in a refusal that it leaves":
            leaving = {"X-Not-Run": "1", "X-Leaving": "1"}
            writer.write(answer_bytes(request, b"", "503 Service Unavailable", **leaving))
            return True
        case "asks for 1.5 s of rest":
            refused = {"X-Not-Run": "1", "X-Rest": "1.5"}
            writer.write(answer_bytes(request, b"", "503 Service Unavailable", **refused))
            return True
        case "closes before it answers":
            return False
        case "closes in the middle of the answer":
            writer.write(complete[:-3])
            return False
        case "sends bytes that are not HTTP":
            writer.write(b"\x00\x01 nothing of HTTP\r\n\r\n")
            return False
        case "sends a head without end":
            return await send_without_end(writer, b"HTTP/1.1 200 OK\r\n")
        case "sends a body without end":
            return await send_without_end(writer, without_length[: -len(body)])
        case "sends an event without end":
            return await send_without_end(writer, unframed_head(request) + b"id: 0\ndata: ")
        case "resets a stream that has no framing":
            writer.write(unframed_head(request))
            await writer.drain()
            await sleep(0.1)
            reset(writer)
            return False
        case "closes a stream that has no framing":
            writer.write(unframed_head(request))
            return False
        case "answers without its signature":
            writer.write(complete.replace(b"X-Proof: proof\r\n", b""))
            return True
        case "answers in an encoding":
            writer.write(answer_bytes(request, body, **{"Content-Encoding": "gzip"}))
            return True
        case "first sends the answer to another request":
            writer.write(complete.replace(b"X-Id: r", b"X-Id: other-") + complete)
            return True
        case "sends the answer twice":
            writer.write(complete + complete)
            return True
        case "answers without a length and closes":
            writer.write(without_length)
            return False
        case "answers without a length and resets":
            writer.write(without_length[:-2])
            await writer.drain()
            await sleep(0.1)
            reset(writer)
            return False
        case _ if fault.startswith("answers with status "):
            writer.write(answer_bytes(request, body, f"{fault.split()[-1]} Odd"))
            return True
        case "fails with 500":
            writer.write(answer_bytes(request, b"broken", "500 Internal Server Error"))
            return True
        case "fails with 500 and closes in the middle":
            broken = answer_bytes(request, b"broken", "500 Internal Server Error")
            writer.write(broken[:-3])
            return False
        case "closes in the middle of an event" | "ends the stream in the middle of an event":
            return await interrupt_stream(request, writer, fault.startswith("ends"))
        case "stalls after some events" | "stalls before its first event":
            writer.write(stream_head(request))
            for number in range(EVENTS_BEFORE_FAULT if "after" in fault else 0):
                writer.write(event_chunk(number))
            await sleep(STALL_SECONDS)
            return False
        case "ends its connection after some events":
            writer.write(stream_head(request))
            for number in range(EVENTS_BEFORE_FAULT):
                writer.write(event_chunk(number))
            await writer.drain()
            await sleep(0.1)
            return False
        case (
            "pauses for 1.2 s after some events"
            | "pauses for 1.9 s after some events"
            | "pauses for 3 s after some events"
        ):
            writer.write(stream_head(request))
            for number in range(EVENT_COUNT):
                if number == EVENTS_BEFORE_FAULT:
                    await sleep(float(fault.split()[2]))
                writer.write(event_chunk(number))
            writer.write(END_OF_STREAM)
            return True
        case "stalls after some events without framing":
            writer.write(unframed_head(request))
            for number in range(EVENTS_BEFORE_FAULT):
                writer.write(event_bytes(number))
            await sleep(STALL_SECONDS)
            return False
        case "sends an event after 0.7 s of silence, and then none":
            writer.write(stream_head(request))
            for number in range(EVENTS_BEFORE_FAULT + 1):
                if number == EVENTS_BEFORE_FAULT:
                    await sleep(0.7)
                writer.write(event_chunk(number))
            await sleep(STALL_SECONDS)
            return False
        case "sends a byte of an event now and then":
            writer.write(stream_head(request))
            writer.write(event_chunk(0))
            for byte in b"id: 1\ndata: " + b"x" * 40:
                writer.write(b"1\r\n" + bytes([byte]) + b"\r\n")
                await sleep(DRIBBLE_SECONDS)
            return False
        case "sends whole events slowly":
            writer.write(stream_head(request))
            for number in range(EVENT_COUNT):
                await sleep(DRIBBLE_SECONDS)
                writer.write(event_chunk(number))
            writer.write(END_OF_STREAM)
            return True
        case "omits an event":
            writer.write(stream_head(request))
            for number in (0, 1, 3, 4, 5):
                writer.write(event_chunk(number))
            writer.write(END_OF_STREAM)
            return True
        case "works for 5 s":
            await sleep(WORK_SECONDS)
            return False
    raise AssertionError(fault)


def unframed_head(request: Received) -> bytes:
    """Return the head of a stream that ends with its connection."""
    return stream_head(request).replace(b"Transfer-Encoding: chunked\r\n", b"")


async def send_without_end(writer: StreamWriter, head: bytes) -> bool:
    """Send bytes until the gateway closes the connection."""
    writer.write(head)
    while not writer.is_closing():
        writer.write(ENDLESS_BYTES)
        await writer.drain()
    return False


async def interrupt_stream(request: Received, writer: StreamWriter, ends_properly: bool) -> bool:
    writer.write(stream_head(request))
    for number in range(EVENTS_BEFORE_FAULT):
        writer.write(event_chunk(number))
    half = b"id: 3\nda"
    writer.write(f"{len(half):x}\r\n".encode() + half + b"\r\n")
    if ends_properly:
        writer.write(END_OF_STREAM)
    return ends_properly


@given(r"a gateway with two targets, of which the first one used (?P<fault>.+)")
def step_two_targets(context: Context, fault: str) -> None:
    context.runner.run(start_gateway(context, fault))


@given(r"a gateway without targets")
def step_no_target(context: Context) -> None:
    context.runner.run(start_gateway(context, None))


async def start_gateway(context: Context, fault: str | None) -> None:
    context.faulty = None

    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        is_first = sum(len(item.received) for item in context.targets) == 1
        if is_first:
            context.first_used = next(item for item in context.targets if item.received)
        if fault == "sends the answer twice":
            is_first = is_first or context.faulty is writer.get_extra_info("sockname")
        return (
            await misbehave(str(fault), request, writer)
            if is_first
            else await answer_correctly(request, writer)
        )

    context.targets = [ScriptedTarget("one", script), ScriptedTarget("two", script)]
    if fault is None:
        context.targets = []
    for target in context.targets:
        await target.start()
    candidates = list(context.targets)
    if fault == "does not listen":
        # An address that nobody listens on replaces the second target. The recorded request
        # makes the script of the remaining target answer correctly from the first request on.
        candidates = [ScriptedTarget("absent", script), *candidates[:1]]
        context.targets[0].received.append(Received("", "", {}, b""))
    context.harness = GatewayHarness(getattr(context, "gateway_settings", None))
    context.harness.start()
    context.harness.grant(
        [make_route(kind) for kind in RequestKind], dict.fromkeys(RequestKind, candidates)
    )
    context.preset_requests = 1 if fault == "does not listen" else 0


@given(
    r"the gateway (?P<state>whose lease has lapsed|that has no deployment yet"
    r"|that was told of a deployment 1.1 s ago which it lacks)"
)
def step_gateway_state(context: Context, state: str) -> None:
    grant = context.harness.board.grant
    if state == "whose lease has lapsed":
        grant.lease = HeldLease(0.0)
    elif "was told" in state:
        grant.announced.note(monotonic() - 1.1, DeploymentNumber(2), DeploymentNumber(1))
    else:
        grant.deployment = Deployment(NO_DEPLOYMENT)


async def ask(context: Context, kind: str, request: str = "r1") -> Answer:
    caller = await RawCaller.connect(context.harness.address)
    headers = {"X_Model": MODEL} if kind == "stream" else {}
    return await caller.ask(request_bytes(f"/{kind}/x", request, b"body", **headers))


@when(rf"a request of kind (?P<kind>{KIND_PATTERN}) is sent")
def step_request(context: Context, kind: str) -> None:
    started_at = monotonic()
    context.answer = context.runner.run(ask(context, kind))
    context.took = monotonic() - started_at


@given(r"an owner of the places that (?P<owner>.+)")
def step_place_owner(context: Context, owner: str) -> None:
    async def ask_owner(address: str, body: TakePlace, timeout: float) -> object:
        first = body.candidates[0]
        match owner:
            case "reports that all are full":
                return PlacesFull(1.2)
            case "does not answer":
                return None
            case (
                "grants a place at a target that has just been removed"
            ) if not context.has_removed_target:
                context.has_removed_target = True
                remaining = [item for item in context.targets if item.name != first.instance]
                grant_targets(context, remaining)
        return PlaceTaken(first.instance, 0.1)

    context.has_removed_target = False
    context.harness.client.ask = ask_owner


@given(r"only one of them is granted")
def step_one_granted(context: Context) -> None:
    grant_targets(context, context.targets[:1])


@given(r"both are granted as heads of groups only")
def step_heads_granted(context: Context) -> None:
    grant_heads(context, context.targets)


def grant_heads(context: Context, targets: list[ScriptedTarget]) -> None:
    routes = [make_route(kind) for kind in RequestKind]
    context.harness.grant(routes, {RequestKind.STREAM: targets})


def grant_targets(context: Context, targets: list[ScriptedTarget]) -> None:
    routes = [make_route(kind) for kind in RequestKind]
    context.harness.grant(routes, dict.fromkeys(RequestKind, targets))


@when(r"a request of kind stream is sent, and both are granted (?P<after>[\d.]+) s later")
def step_granted_later(context: Context, after: str) -> None:
    async def send_and_grant() -> Answer:
        answer = create_task(ask(context, "stream"))
        await sleep(float(after))
        grant_targets(context, context.targets)
        return await answer

    context.answer = context.runner.run(send_and_grant())


@when(rf"a request of kind (?P<kind>{KIND_PATTERN}) is sent and its caller disconnects after 0.3 s")
def step_disconnect(context: Context, kind: str) -> None:
    context.runner.run(send_and_disconnect(context, kind))


async def send_and_disconnect(context: Context, kind: str) -> None:
    caller = await RawCaller.connect(context.harness.address)
    headers = {"X_Model": MODEL} if kind == "stream" else {}
    caller.writer.write(request_bytes(f"/{kind}/x", "r1", b"body", **headers))
    await sleep(0.3)
    caller.writer.close()
    disconnected_at = monotonic()
    used_target = next(item for item in context.targets if item.received)
    while monotonic() - disconnected_at < 2.0 and context.harness.role.in_flight:
        await sleep(0.02)
    context.took = monotonic() - disconnected_at
    context.used_target = used_target


@then(r"the connection to the target is closed within 0.5 s")
def step_connection_closed(context: Context) -> None:
    assert context.took < 0.5, context.took


@when(r"(?P<count>\d+) requests of kind once are sent one after the other")
def step_many(context: Context, count: str) -> None:
    context.answers = context.runner.run(send_many(context, int(count)))


async def send_many(context: Context, count: int) -> list[Answer]:
    return [await ask(context, "once", f"r{number}") for number in range(count)]


@then(r"each caller got the complete answer to its own request")
def step_own_answers(context: Context) -> None:
    for number, answer in enumerate(context.answers):
        assert (answer.status, answer.body) == (200, f"answer to r{number}".encode()), answer


@then(r"only a connection with unread bytes was replaced")
def step_connections(context: Context) -> None:
    assert sorted(item.connections for item in context.targets) in ([1, 1], [1, 2], [0, 2]), [
        item.connections for item in context.targets
    ]


@then(r"the caller gets (?P<answer>.+) and the targets received (?P<requests>\d) requests")
def step_answer(context: Context, answer: str, requests: str) -> None:
    got: Answer = context.answer
    match answer:
        case "the complete answer":
            assert (got.status, got.body, got.is_complete) == (200, b"answer to r1", True), got
        case "every event once":
            assert (got.status, got.body, got.is_complete) == (200, expected_events(), True), got
        case "an incomplete stream":
            assert (got.status, got.is_complete) in ((200, False), (0, False)), got
        case "500 and its signature":
            assert (got.status, got.headers.get("X-Proof")) == (500, "proof"), got
        case _:
            assert got.status == int(answer) and "X-Proof" not in got.headers, got
    count = sum(len(item.received) for item in context.targets) - context.preset_requests
    assert count == int(requests), count


@then(r"the gateway has (?P<count>\d) groups whose progress it reports")
def step_progress_reports(context: Context, count: str) -> None:
    reported = context.harness.role.report_progress(monotonic())
    assert len(reported) == int(count), reported


@then(r"the caller gets 503 with a retry delay within 0.3 s")
def step_refused_immediately(context: Context) -> None:
    assert context.answer.status == 503, context.answer
    assert context.took < 0.3, context.took
    assert float(context.answer.headers["X-Retry-After"]) > 0, context.answer
