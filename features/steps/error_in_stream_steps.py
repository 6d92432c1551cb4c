"""Steps on streams that are resumed at targets whose answers do not continue them."""

from asyncio import StreamReader, StreamWriter, sleep, wait_for

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
from tornado.httputil import HTTPHeaders, RequestStartLine

from jaylatch_core.deployment import ConnectionLimits, RequestKind
from jaylatch_node.gateway.caller import AnswerOrderError, Caller
from jaylatch_node.gateway.server import GatewayServer
from jaylatch_standins.ports import free_addresses

EVENT_COUNT = 6
EVENTS_BEFORE_END = 3
ERROR_BODY = b"no such stream"
FIRST_PART = b"first part"
ERROR_EVENT = b'event: error\ndata: {"error": "lost"}\n\n'
COMMENT = b": wait\n\n"
REASONS = {
    302: "Found",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}

use_step_matcher("re")


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def answer_of(fault: str, request: Received) -> tuple[bytes, bool]:
    """Return the answer of the target that should continue a stream, and if it is kept open."""
    unframed_head = stream_head(request).replace(b"Transfer-Encoding: chunked\r\n", b"")
    _, status, *rest = fault.split(" ", 2)
    match status, " ".join(rest):
        case "204", "":
            head = answer_bytes(request, b"", "204 No Content")
            return head.replace(b"Content-Length: 0\r\n", b""), True
        case "200", "without a body":
            return answer_bytes(request, b""), True
        case "200", "with a JSON document":
            headers = {"Content-Type": "application/json"}
            return answer_bytes(request, b'{"error": "lost"}\n\n', **headers), True
        case "200", "with an error text":
            return answer_bytes(request, ERROR_BODY), True
        case "200", "with an error event without an id":
            return stream_head(request) + chunk(ERROR_EVENT) + END_OF_STREAM, True
        case "200", "with no event":
            return stream_head(request) + END_OF_STREAM, True
        case "200", "with no event and no framing":
            return unframed_head, False
        case "200", "in an encoding":
            headers = {"Content-Encoding": "gzip", "Content-Type": "text/event-stream"}
            return answer_bytes(request, event_bytes(EVENTS_BEFORE_END), **headers), True
        case _, "without a body":
            return answer_bytes(request, b"", f"{status} {REASONS[int(status)]}"), True
        case _, "without a length and closes":
            whole = answer_bytes(request, ERROR_BODY, f"{status} {REASONS[int(status)]}")
            return whole.replace(b"Content-Length: %d\r\n" % len(ERROR_BODY), b""), False
        case _, "in events":
            head = stream_head(request).replace(b"200 OK", f"{status} Not Found".encode())
            return head + event_chunk(EVENTS_BEFORE_END) + END_OF_STREAM, True
        case _, "without its signature":
            whole = answer_bytes(request, ERROR_BODY, f"{status} {REASONS[int(status)]}")
            return whole.replace(b"X-Proof: proof\r\n", b""), True
        case _, "and says that it did not run":
            headers = {"X-Not-Run": "1"}
            return answer_bytes(request, b"", f"{status} Unavailable", **headers), True
        case _, "":
            return answer_bytes(request, ERROR_BODY, f"{status} {REASONS[int(status)]}"), True
    raise AssertionError(fault)


def events_of(events: str) -> list[bytes]:
    """Return the events that the first target sends before it ends."""
    match events:
        case "none has an id":
            return [b"data: text 0\n\n", b"data: text 1\n\n"]
        case "the last has no id":
            return [event_bytes(0), event_bytes(1), b"data: text 2\n\n"]
        case "the first has no id":
            return [b"data: begins\n\n", event_bytes(0), event_bytes(1)]
        case "the last is a comment":
            return [event_bytes(0), event_bytes(1), COMMENT]
    raise AssertionError(events)


async def send_rest(request: Received, writer: StreamWriter) -> bool:
    writer.write(stream_head(request))
    for number in range(int(request.headers.get("X-Last", "-1")) + 1, EVENT_COUNT):
        writer.write(event_chunk(number))
    writer.write(END_OF_STREAM)
    return True


async def send_part(request: Received, writer: StreamWriter, events: list[bytes]) -> bool:
    """Send a part of a stream, and close the connection."""
    writer.write(stream_head(request) + b"".join(map(chunk, events)))
    await writer.drain()
    await sleep(0.1)
    return False


@given(
    r"a gateway with (?P<count>\d) targets, of which the first one ends after three events"
    r" and the next one (?P<fault>.+)"
)
def step_next_target(context: Context, count: str, fault: str) -> None:
    events = [event_bytes(number) for number in range(EVENTS_BEFORE_END)]
    context.runner.run(start_gateway(context, int(count), events, fault))


@given(
    r"a gateway with 2 targets, of which the first one sends events of which (?P<events>.+),"
    r" and ends"
)
def step_events(context: Context, events: str) -> None:
    context.runner.run(start_gateway(context, 2, events_of(events), ""))


@given(r"a gateway with 2 targets, of which the first one (?P<fault>answers 404)")
def step_first_target(context: Context, fault: str) -> None:
    context.runner.run(start_gateway(context, 2, [], fault))


async def start_gateway(context: Context, count: int, events: list[bytes], fault: str) -> None:
    """Start a gateway: the first target sends ``events``, the next one has the ``fault``."""
    context.first_events = b"".join(events)

    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        sends = sum(len(item.received) for item in context.targets)
        if sends == 1 and events:
            return await send_part(request, writer, events)
        if fault and sends == 1 + bool(events):
            answer, is_kept = answer_of(fault, request)
            writer.write(answer)
            return is_kept
        return await send_rest(request, writer)

    context.targets = [ScriptedTarget(f"target-{number}", script) for number in range(count)]
    for target in context.targets:
        await target.start()
    context.harness = GatewayHarness()
    context.harness.start()
    route = make_route(RequestKind.STREAM, attempts=count)
    context.harness.grant([route], {RequestKind.STREAM: context.targets})


@when(r"a streaming request is sent")
def step_request(context: Context) -> None:
    context.raw = context.runner.run(ask(context))


async def ask(context: Context) -> bytes:
    """Return all bytes that a caller gets until its connection ends."""
    caller = await RawCaller.connect(context.harness.address)
    context.writer = caller.writer
    caller.writer.write(request_bytes("/stream/x", X_Model=MODEL, Connection="close"))
    return await caller._reader.read()


def parse_answer(context: Context) -> Answer:
    """Return the one answer that a caller got."""
    assert context.raw.count(b"HTTP/1.1") == 1, context.raw
    return context.runner.run(read_answer(context))


async def read_answer(context: Context) -> Answer:
    reader = StreamReader()
    reader.feed_data(context.raw)
    reader.feed_eof()
    return await RawCaller(reader, context.writer).read()


@then(r"its caller gets (?P<part>the first three events|what the first one sent) and (?P<end>.+)")
def step_part(context: Context, part: str, end: str) -> None:
    answer = parse_answer(context)
    goes_on = end == "the events of the next one"
    expected: bytes = context.first_events
    if goes_on:
        expected += b"".join(map(event_bytes, range(2, EVENT_COUNT)))
    got = (answer.status, answer.body, answer.is_complete)
    assert got == (200, expected, goes_on), context.raw


@then(r"its caller gets every event once")
def step_all(context: Context) -> None:
    answer = parse_answer(context)
    expected = b"".join(map(event_bytes, range(EVENT_COUNT)))
    assert (answer.status, answer.body, answer.is_complete) == (200, expected, True), context.raw


@then(r"its caller gets 404 with the signature and the body of the target")
def step_whole_error(context: Context) -> None:
    answer = parse_answer(context)
    got = (answer.status, answer.headers.get("X-Proof"), answer.body)
    assert got == (404, "proof", ERROR_BODY), context.raw


# The caller's side


@given(r"a caller that has (?P<state>begun a stream|sent a whole answer|sent nothing)")
def step_caller(context: Context, state: str) -> None:
    context.runner.run(start_caller(context, state))


async def start_caller(context: Context, state: str) -> None:
    async def handle(
        start_line: RequestStartLine, headers: HTTPHeaders, body: bytes, caller: Caller
    ) -> None:
        context.inner = caller
        match state:
            case "begun a stream":
                caller.start_stream(200, "OK", HTTPHeaders(), FIRST_PART)
            case "sent a whole answer":
                caller.send_answer(200, "OK", HTTPHeaders(), FIRST_PART)

    address = free_addresses(1)[0]
    host, _, port = address.rpartition(":")
    context.server = GatewayServer(handle, ConnectionLimits())
    context.server.listen(int(port), host, backlog=10)
    context.caller = await RawCaller.connect(address)
    context.caller.writer.write(request_bytes("/x"))
    if state == "sent nothing":
        await sleep(0.1)
    else:
        await context.caller._reader.readuntil(FIRST_PART)


@when(
    r"it is told to (?P<write>send a complete answer|start another stream|send further events"
    r"|end the stream)"
)
def step_write(context: Context, write: str) -> None:
    context.runner.run(write_again(context, write))


async def write_again(context: Context, write: str) -> None:
    caller: Caller = context.inner
    context.error = None
    try:
        match write:
            case "send a complete answer":
                caller.send_answer(404, "Not Found", HTTPHeaders(), ERROR_BODY)
            case "start another stream":
                caller.start_stream(404, "Not Found", HTTPHeaders(), ERROR_BODY)
            case "send further events":
                caller.send(event_bytes(0))
            case "end the stream":
                caller.finish()
    except Exception as error:
        context.error = error
    try:
        context.raw = await wait_for(context.caller._reader.read(1024), 0.1)
    except TimeoutError:
        context.raw = b""


@then(r"that raises an error, and the connection carries nothing more")
def step_carried(context: Context) -> None:
    assert isinstance(context.error, AnswerOrderError), context.error
    # A stream that has begun is in chunks: the line end closes its first one.
    assert context.raw in (b"", b"\r\n"), context.raw
