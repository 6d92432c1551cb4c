"""Steps on callers and targets of a gateway that read slowly or not at all."""

import logging
import os
import socket
import subprocess
import sys
from asyncio import StreamReader, StreamWriter, create_task, gather, get_running_loop, sleep
from pathlib import Path
from time import monotonic
from typing import Any

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import (
    END_OF_STREAM,
    MODEL,
    GatewayHarness,
    RawCaller,
    Received,
    ScriptedTarget,
    answer_bytes,
    make_route,
    offer_slots,
    request_bytes,
    stream_head,
)

from jaylatch_core.deployment import RequestKind
from jaylatch_core.settings import GatewaySettings
from jaylatch_core.units import KIBIBYTE, MEBIBYTE
from jaylatch_decisions.readers import Reader, choose_dropped, is_overdue, process_bound
from jaylatch_node.gateway.held import HeldKind

NOW = 1000.0
SLOTS = 1000
EVENT_SIZE = 16 * KIBIBYTE
PART_SIZE = 64 * KIBIBYTE
SMALL_BUFFER = 16 * KIBIBYTE
SAMPLE_SECONDS = 0.005
TIMEOUT_SECONDS = 20.0
PROCESS_SECONDS = 8.0

use_step_matcher("re")


# Decisions


@given(
    r'connections that hold "(?P<readers>[^"]*)", as name:unread KiB:seconds since the last read'
)
def step_readers(context: Context, readers: str) -> None:
    items = [text.split(":") for text in readers.split()]
    context.names = {number: name for number, (name, _, _) in enumerate(items)}
    context.readers = [
        Reader(number, int(unread) * KIBIBYTE, NOW - float(age))
        for number, (_, unread, age) in enumerate(items)
    ]


@when(r"(?P<excess>\d+) KiB must become free")
def step_excess(context: Context, excess: str) -> None:
    context.dropped = choose_dropped(NOW, int(excess) * KIBIBYTE, context.readers)


@then(r'those dropped are "(?P<dropped>[^"]*)"')
def step_dropped(context: Context, dropped: str) -> None:
    assert [context.names[key] for key in context.dropped] == dropped.split(), context.dropped


@then(r"a process with a limit of (?P<limit>\d+) MiB holds at most (?P<bound>\d+) MiB for others")
def step_bound(context: Context, limit: str, bound: str) -> None:
    assert process_bound(int(limit) * MEBIBYTE) == int(bound) * MEBIBYTE


@then(
    r"a caller that is behind for (?P<behind>[\d.]+) s and read (?P<read>[\d.]+) s ago is"
    r" (?P<decision>kept|dropped)"
)
def step_overdue(context: Context, behind: str, read: str, decision: str) -> None:
    is_dropped = is_overdue(NOW, NOW - float(behind), NOW - float(read))
    assert is_dropped is (decision == "dropped")


# A gateway in this process


async def start_gateway(context: Context, script: Any, memory_limit: int = 0) -> None:
    """Start a gateway with one target for requests of every kind."""
    context.target = ScriptedTarget("target", script)
    await context.target.start()
    settings = GatewaySettings(evidence_warm_up=0.001, memory_limit=memory_limit * MEBIBYTE)
    context.harness = harness = GatewayHarness(settings)
    harness.start()
    kinds = (RequestKind.IDEMPOTENT, RequestKind.ONCE, RequestKind.STREAM)
    routes = [msgspec.structs.replace(make_route(kind), timeout=60.0) for kind in kinds]
    harness.grant(routes, {kind: [context.target] for kind in kinds})
    offer_slots(harness, SLOTS)
    context.suspected = []
    harness.role._forwarder._suspect = context.suspected.append
    context.memory = harness.role._memory
    context.peaks = {"unsent": 0, "total": 0}
    context.sampler = create_task(sample(context))


async def sample(context: Context) -> None:
    """Record the largest sums that the gateway holds."""
    memory = context.memory
    while True:
        unsent = sum(size for kind, size in memory._sums.items() if kind.value.startswith("unsent"))
        context.peaks["unsent"] = max(context.peaks["unsent"], unsent)
        context.peaks["total"] = max(context.peaks["total"], memory.total)
        await sleep(SAMPLE_SECONDS)


@given(r"a gateway whose target streams (?P<size>\d+) MiB as fast as it is read")
def step_streaming(context: Context, size: str) -> None:
    context.size = int(size) * MEBIBYTE

    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        await write_stream(request, writer, context.size)
        return True

    context.runner.run(start_gateway(context, script))


async def write_stream(request: Received, writer: StreamWriter, size: int) -> None:
    """Write events of ``EVENT_SIZE`` bytes, as fast as the gateway reads them."""
    writer.write(stream_head(request))
    for number in range(size // EVENT_SIZE):
        head = f"id: {number}\ndata: ".encode()
        event = head + b"x" * (EVENT_SIZE - len(head) - 2) + b"\n\n"
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
    writer.write(END_OF_STREAM)
    await writer.drain()


@given(
    r"a gateway with a memory limit of (?P<limit>\d+) MiB whose target answers with"
    r" (?P<size>\d+) MiB"
)
def step_whole(context: Context, limit: str, size: str) -> None:
    context.size = int(size) * MEBIBYTE

    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        writer.write(answer_bytes(request, b"x" * context.size))
        await writer.drain()
        return True

    context.runner.run(start_gateway(context, script, int(limit)))


@given(
    r"a gateway with a memory limit of (?P<limit>\d+) MiB whose targets? leaves? no room for its"
    r" answer of (?P<size>\d+) KiB"
)
def step_no_room(context: Context, limit: str, size: str) -> None:
    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        # Held as complete, so that nothing can be dropped to make room.
        holding = context.memory.hold(HeldKind.BODY, lambda: None)
        holding.add(process_bound(int(limit) * MEBIBYTE))
        holding.complete()
        context.filler = holding
        writer.write(answer_bytes(request, b"x" * (int(size) * KIBIBYTE)))
        return True

    context.runner.run(start_gateway(context, script, int(limit)))


@given(r"a second target that would answer the same request")
def step_second_target(context: Context) -> None:
    async def start() -> None:
        context.second = ScriptedTarget("second", context.target.script)
        await context.second.start()
        kinds = (RequestKind.IDEMPOTENT, RequestKind.ONCE)
        routes = [msgspec.structs.replace(make_route(kind), timeout=60.0) for kind in kinds]
        context.harness.grant(routes, {kind: [context.target, context.second] for kind in kinds})
        offer_slots(context.harness, SLOTS)

    context.runner.run(start())


@when(r"a request of the kind (?P<kind>\w+) is sent to it and waits for room")
def step_waiting_for_room(context: Context, kind: str) -> None:
    async def send() -> None:
        caller = await RawCaller.connect(context.harness.address)
        context.answer = await caller.ask(request_bytes(f"/{kind}/x"), TIMEOUT_SECONDS)
        context.filler.release()

    context.runner.run(send())


@then(r"it is answered with 502, and the target's connection is not used again")
def step_failed_for_room(context: Context) -> None:
    assert context.answer.status == 502, context.answer
    assert len(context.target.received) == 1, context.target.received
    pool = context.harness.role._forwarder._pool
    assert pool.take(monotonic(), context.target.address) is None
    assert context.memory.total == 0 and not context.memory._holdings


@then(r"it is answered with 502, and no target ran it again")
def step_not_run_again(context: Context) -> None:
    assert context.answer.status == 502, context.answer
    runs = len(context.target.received) + len(context.second.received)
    assert runs == 1, runs
    text = context.harness.board.metrics.text().decode()
    line = 'jaylatch_gateway_failed_attempts_total{outcome="no_memory"} 1.0'
    assert line in text, [item for item in text.split("\n") if "failed_attempts" in item]


@given(r"a gateway whose target (?P<reads>reads the body slowly|answers before .*)")
def step_reading(context: Context, reads: str) -> None:
    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if line)
        request = Received("POST", "", headers, b"")
        if reads.startswith("answers"):
            writer.write(answer_bytes(request, b"early"))
            await sleep(TIMEOUT_SECONDS)
        await sleep(0.5)
        body = await reader.readexactly(int(headers["Content-Length"]))
        context.target.received.append(Received("POST", "", headers, body))
        writer.write(answer_bytes(request, b"late"))

    async def start() -> None:
        await start_gateway(context, None)
        context.target._serve = serve
        context.target.server.close()
        await context.target.start()

    context.runner.run(start())


async def open_caller(context: Context, request: bytes) -> socket.socket:
    """Send a request on a connection whose kernel holds little of the answer."""
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    raw.setblocking(False)
    host, _, port = context.address.rpartition(":")
    loop = get_running_loop()
    await loop.sock_connect(raw, (host, int(port)))
    await loop.sock_sendall(raw, request)
    return raw


async def read_rest(raw: socket.socket) -> tuple[bytes, bool]:
    """Return what is left to read until the connection ends, and whether it was reset."""
    parts = []
    try:
        while part := await get_running_loop().sock_recv(raw, PART_SIZE):
            parts.append(part)
    except ConnectionResetError:
        return b"".join(parts), True
    return b"".join(parts), False


def stream_request(number: int = 0, version: str = "1.1") -> bytes:
    """Return a request for a stream whose connection ends with the answer."""
    data = request_bytes("/stream/x", f"r{number}", X_Model=MODEL, Connection="close")
    return data.replace(b"HTTP/1.1", f"HTTP/{version}".encode())


@when(r"a caller reads nothing for (?P<pause>[\d.]+) s and then the rest")
def step_pausing(context: Context, pause: str) -> None:
    async def read() -> None:
        context.address = context.harness.address
        raw = await open_caller(context, stream_request())
        await sleep(float(pause))
        context.data, context.was_reset = await read_rest(raw)

    context.runner.run(read())


@then(r"it has the complete stream, and the gateway held at most 1 MiB unsent")
def step_complete(context: Context) -> None:
    assert context.data.endswith(END_OF_STREAM) and not context.was_reset
    assert context.data.count(b"id: ") == context.size // EVENT_SIZE
    assert 0 < context.peaks["unsent"] <= MEBIBYTE, context.peaks


@then(r"no target was suspected, and none was abandoned")
def step_not_suspected(context: Context) -> None:
    assert not context.suspected, context.suspected
    assert len(context.target.received) == 1, context.target.received


@when(r"a caller of HTTP/(?P<version>[\d.]+) reads nothing of a stream for (?P<time>\d+) s")
def step_not_reading(context: Context, version: str, time: str) -> None:
    async def ignore() -> None:
        context.address = context.harness.address
        raw = await open_caller(context, stream_request(version=version))
        await sleep(float(time))
        context.data, context.was_reset = await read_rest(raw)

    context.runner.run(ignore())


@when(
    r"a caller reads (?P<rate>\d+) KiB of a stream per second for (?P<time>\d+) s, in parts of"
    r" (?P<part>\d+) KiB"
)
def step_reading_slowly(context: Context, rate: str, time: str, part: str) -> None:
    async def read() -> None:
        context.address = context.harness.address
        raw = await open_caller(context, stream_request())
        began, size = monotonic(), 0
        context.was_reset = False
        try:
            while monotonic() < began + float(time):
                size += len(await get_running_loop().sock_recv(raw, int(part) * KIBIBYTE))
                await sleep(max(began + size / (int(rate) * KIBIBYTE) - monotonic(), 0.0))
        except ConnectionResetError:
            context.was_reset = True
        context.took = monotonic() - began
        raw.close()

    context.runner.run(read())


@then(r"it is still connected, and no reader was dropped")
def step_not_dropped(context: Context) -> None:
    assert not context.was_reset, context.took
    text = context.harness.board.metrics.text()
    assert b"jaylatch_gateway_readers_dropped_total{" not in text


@then(r"its connection has been reset, and the target's connection closed")
def step_reset(context: Context) -> None:
    assert context.was_reset and not context.data.endswith(END_OF_STREAM)
    assert context.target.abandoned == 1, context.target.abandoned


@then(
    r"(?P<number>\d+) (?P<kind>\w+) is counted as dropped for (?P<reason>\w+), and nothing is held"
)
def step_counted(context: Context, number: str, kind: str, reason: str) -> None:
    text = context.harness.board.metrics.text().decode()
    line = f'jaylatch_gateway_readers_dropped_total{{kind="{kind}",reason="{reason}"}} {number}.0'
    assert line in text, [item for item in text.split("\n") if "dropped" in item]
    assert f'jaylatch_gateway_held_bytes{{kind="{kind}"}} 0.0' in text
    assert context.memory.total == 0 and not context.memory._holdings


@when(
    r"(?P<number>\d+) callers read nothing, and another one reads (?P<size>\d+) MiB of its stream"
    r" meanwhile"
)
def step_beside(context: Context, number: str, size: str) -> None:
    async def read() -> None:
        context.address = context.harness.address
        idle = [await open_caller(context, stream_request(item)) for item in range(int(number))]
        raw = await open_caller(context, stream_request(int(number)))
        left = int(size) * MEBIBYTE
        context.gap, read_at = 0.0, monotonic()
        while left > 0:
            part = await get_running_loop().sock_recv(raw, PART_SIZE)
            assert part
            left -= len(part)
            now = monotonic()
            context.gap, read_at = max(context.gap, now - read_at), now
        for item in (raw, *idle):
            item.close()

    context.runner.run(read())


@then(r"the longest gap between two parts that it gets is under (?P<limit>[\d.]+) s")
def step_gap(context: Context, limit: str) -> None:
    assert context.gap < float(limit), context.gap


class Errors(logging.Handler):
    """Keeps what is logged as an error."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        self.found.append(record.getMessage())


@when(r"(?P<number>\d+) callers read nothing and (?P<leave>close their connections|reach .*)")
def step_leaving(context: Context, number: str, leave: str) -> None:
    context.errors = Errors()
    logging.getLogger().addHandler(context.errors)
    context.add_cleanup(logging.getLogger().removeHandler, context.errors)

    context.requests = int(number)

    async def leave_all() -> None:
        context.address = context.harness.address
        limit = b"X-Time-Left: 1\r\n" if leave.startswith("reach") else b""
        requests = [
            stream_request(item).replace(b"X-Id", limit + b"X-Id", 1) for item in range(int(number))
        ]
        raws = [await open_caller(context, request) for request in requests]
        await sleep(1.2)
        if not limit:
            for raw in raws:
                raw.close()
        await sleep(0.3)

    context.runner.run(leave_all())


@then(r"nothing is held, and nothing was logged as an error")
def step_left(context: Context) -> None:
    assert not context.errors.found, context.errors.found
    # A request whose end was not noticed would be sent again.
    assert len(context.target.received) == context.requests, context.target.received
    assert context.peaks["unsent"] > 0
    assert context.memory.total == 0 and not context.memory._holdings


@when(r"(?P<number>\d+) callers request such answers one after another and read nothing")
def step_unread_answers(context: Context, number: str) -> None:
    async def request() -> None:
        context.address = context.harness.address
        context.callers = []
        for item in range(int(number)):
            data = request_bytes("/idempotent/x", f"r{item}")
            context.callers.append(await open_caller(context, data))
            await sleep(0.25)

    context.runner.run(request())


@then(r"the gateway held at most (?P<size>\d+) MiB in all")
def step_held(context: Context, size: str) -> None:
    assert 0 < context.peaks["total"] <= int(size) * MEBIBYTE, context.peaks


@then(r"callers were dropped for memory, each with an answer that is visibly incomplete")
def step_visibly_incomplete(context: Context) -> None:
    async def read(raw: socket.socket) -> tuple[bytes, bool]:
        parts = []
        try:
            while part := await get_running_loop().sock_recv(raw, PART_SIZE):
                parts.append(part)
                head, found, body = b"".join(parts).partition(b"\r\n\r\n")
                if found and len(body) >= content_length(head):
                    return head, False
        except ConnectionResetError:
            return b"", True
        raise AssertionError("a regular end in the middle of an answer")

    async def read_all() -> list[tuple[bytes, bool]]:
        return list(await gather(*(read(raw) for raw in context.callers)))

    results = context.runner.run(read_all())
    resets = sum(was_reset for _, was_reset in results)
    assert 10 <= resets < len(results), resets
    text = context.harness.board.metrics.text().decode()
    line = f'dropped_total{{kind="unsent_answer",reason="memory"}} {resets}.0'
    assert line in text, [item for item in text.split("\n") if "dropped" in item]


def content_length(head: bytes) -> int:
    """Return the length that the head of an answer states."""
    lines = (line.split(b": ") for line in head.split(b"\r\n")[1:])
    return next(int(value) for name, value in lines if name == b"Content-Length")


@then(r"another caller gets a complete answer")
def step_another(context: Context) -> None:
    async def ask() -> None:
        caller = await RawCaller.connect(context.harness.address)
        answer = await caller.ask(request_bytes("/idempotent/x", "another"))
        assert answer.status == 200 and len(answer.body) == context.size, answer.status

    context.runner.run(ask())


@when(
    r"(?P<number>\d+) callers send a body of (?P<size>\d+) MiB each at the same time, without its"
    r" last byte until all others have arrived"
)
def step_bodies(context: Context, number: str, size: str) -> None:
    async def send() -> None:
        body = b"b" * (int(size) * MEBIBYTE)
        callers = [await RawCaller.connect(context.harness.address) for _ in range(int(number))]

        async def send_most(item: int) -> None:
            data = request_bytes("/once/x", f"r{item}", body)
            callers[item].writer.write(data[:-1])
            await callers[item].writer.drain()

        await gather(*(send_most(item) for item in range(len(callers))))
        await sleep(0.3)
        for caller in callers:
            caller.writer.write(b"b")
        answers = await gather(*(caller.read(TIMEOUT_SECONDS) for caller in callers))
        context.statuses = [answer.status for answer in answers]

    context.runner.run(send())


@then(r"some are answered with 200, the others with 503, and the target ran those of 200 only")
def step_refused(context: Context) -> None:
    statuses = context.statuses
    assert set(statuses) == {200, 503}, statuses
    assert len(context.target.received) == statuses.count(200), statuses


@when(
    r"(?P<number>\d+) callers' connections close right after the last part of a body of"
    r" (?P<size>\d+) KiB"
)
def step_closing(context: Context, number: str, size: str) -> None:
    left = 0
    has_room = context.memory.has_room_for_request

    def close_after_last_part() -> bool:
        # Called for each part, once it is held.
        if context.memory.total >= left:
            for connection in tuple(context.harness.role._server._http._connections):
                connection.stream.close()
        return has_room()

    async def send() -> None:
        nonlocal left
        body = b"b" * (int(size) * KIBIBYTE)
        context.memory.has_room_for_request = close_after_last_part
        for item in range(int(number)):
            left = context.memory.total + len(body)
            caller = await RawCaller.connect(context.harness.address)
            answer = await caller.ask(request_bytes("/once/x", f"r{item}", body))
            assert answer.status == 0, answer.status
        await sleep(SAMPLE_SECONDS * 20)

    context.runner.run(send())


@then(r"no body is held, and no target got a request")
def step_no_body_held(context: Context) -> None:
    step_nothing_held(context)
    assert not context.target.received, context.target.received


@when(r"a request with a body of (?P<size>\d+) KiB is sent to it")
def step_body(context: Context, size: str) -> None:
    async def send() -> None:
        context.body = os.urandom(int(size) * KIBIBYTE)
        caller = await RawCaller.connect(context.harness.address)
        data = request_bytes("/idempotent/x", "r1", context.body)
        context.answer = await caller.ask(data, TIMEOUT_SECONDS / 2)

    context.runner.run(send())


@then(r"the caller gets the target's answer, and the unsent part was at most (?P<size>\d+) KiB")
def step_target_answer(context: Context, size: str) -> None:
    assert context.answer.status == 200, context.answer
    assert context.answer.body == (b"late" if context.target.received else b"early")
    assert all(item.body == context.body for item in context.target.received)
    assert context.peaks["unsent"] <= int(size) * KIBIBYTE, context.peaks


@given(r"a gateway whose target (?P<fails>turns|fails|breaks|does).* each request")
def step_failing(context: Context, fails: str) -> None:
    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        body = b"x" * (100 * KIBIBYTE)
        match fails:
            case "turns":
                headers = {"X-Not-Run": "1"}
                writer.write(answer_bytes(request, body, "503 Service Unavailable", **headers))
            case "fails":
                writer.write(answer_bytes(request, body, "500 Internal Server Error"))
            case "breaks":
                writer.write(answer_bytes(request, body)[: -len(body) // 2])
                return False
            case "does":
                await sleep(TIMEOUT_SECONDS)
        return True

    context.runner.run(start_gateway(context, script))


@when(r"(?P<number>\d+) requests of each kind are sent to it, with bodies of (?P<size>\d+) KiB")
def step_each_kind(context: Context, number: str, size: str) -> None:
    async def send() -> None:
        body = b"b" * (int(size) * KIBIBYTE)
        for kind in RequestKind:
            for item in range(int(number)):
                caller = await RawCaller.connect(context.harness.address)
                caller.writer.write(
                    request_bytes(
                        f"/{kind.value}/x",
                        f"{kind.value}{item}",
                        body,
                        X_Model=MODEL,
                        X_Time_Left="1",
                    )
                )
                answer = await caller.read(TIMEOUT_SECONDS)
                assert answer.status != 200 or not answer.is_complete, answer.status
                caller.writer.close()
        await sleep(SAMPLE_SECONDS * 20)

    context.runner.run(send())


@then(r"nothing is held")
def step_nothing_held(context: Context) -> None:
    # The series exists once something of the kind has been held.
    assert b'jaylatch_gateway_held_bytes{kind="body"}' in context.harness.board.metrics.text()
    kinds = [(item.kind, item.size) for item in context.memory._holdings.values()]
    assert context.memory.total == 0 and not kinds, (context.memory.total, kinds)


# A gateway in a process of its own


@given(r"a gateway process with a memory limit of (?P<limit>\d+) MiB")
def step_process(context: Context, limit: str) -> None:
    async def start() -> None:
        async def answer(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
            writer.write(answer_bytes(request, b"x" * (3 * MEBIBYTE)))
            await writer.drain()
            return True

        async def ignore(reader: StreamReader, writer: StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await sleep(2 * PROCESS_SECONDS)

        answering = ScriptedTarget("target-idempotent", answer)
        await answering.start()
        ignoring = ScriptedTarget("target-once", answer)
        ignoring._serve = ignore
        await ignoring.start()
        command = [sys.executable, "-m", "features.support.gateway_process"]
        command += [str(int(limit) * MEBIBYTE)]
        command += [f"idempotent={answering.address}", f"once={ignoring.address}"]
        environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parents[2])}
        context.process = subprocess.Popen(command, stdout=subprocess.PIPE, env=environment)
        context.add_cleanup(context.process.kill)
        assert context.process.stdout is not None
        line = await get_running_loop().run_in_executor(None, context.process.stdout.readline)
        context.address = line.decode().strip()

    context.runner.run(start())


@when(
    r"(?P<number>\d+) callers do not read 3 MiB each, and (?P<writers>\d+) requests of 1 MiB go"
    r" to a target that does not read"
)
def step_both_sides(context: Context, number: str, writers: str) -> None:
    async def ask(item: int, request: bytes) -> None:
        context.sockets.append(await open_caller(context, request))

    async def load() -> None:
        context.sockets, context.resident = [], [resident_memory(context.process.pid)]
        body = b"b" * MEBIBYTE
        calls = [
            create_task(ask(item, request_bytes("/idempotent/x", f"a{item}")))
            for item in range(int(number))
        ]
        calls += [
            create_task(ask(item, request_bytes("/once/x", f"b{item}", body)))
            for item in range(int(writers))
        ]
        until = monotonic() + PROCESS_SECONDS
        while monotonic() < until:
            context.resident.append(resident_memory(context.process.pid))
            await sleep(SAMPLE_SECONDS)
        for call in calls:
            call.cancel()
        for item in context.sockets:
            item.close()

    context.runner.run(load())


def resident_memory(process: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


@then(r"its resident memory stays below (?P<limit>\d+) MiB")
def step_resident(context: Context, limit: str) -> None:
    before, peak = context.resident[0] / MEBIBYTE, max(context.resident) / MEBIBYTE
    print(f"resident memory: {before:.1f} MiB before, {peak:.1f} MiB at most")
    assert context.process.poll() is None
    assert peak < float(limit), f"{before:.1f} MiB before, {peak:.1f} MiB at most"
