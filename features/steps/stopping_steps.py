"""Steps on gateways that are stopped while they send answers."""

import socket
from asyncio import StreamReader, StreamWriter, create_task, open_connection, sleep

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import (
    END_OF_STREAM,
    MODEL,
    GatewayHarness,
    Received,
    ScriptedTarget,
    answer_bytes,
    make_route,
    request_bytes,
    stream_head,
)

from jaylatch_core.clock import monotonic
from jaylatch_core.deployment import RequestKind
from jaylatch_core.settings import GatewaySettings, split_address
from jaylatch_core.units import KIBIBYTE, MEBIBYTE

ANSWER_SIZE = 8 * MEBIBYTE
EVENT_SIZE = 64 * KIBIBYTE
READ_RATE = 4_000_000
"""Bytes a second."""
READ_SIZE = 64 * KIBIBYTE
KERNEL_SIZE = 2 * MEBIBYTE
"""Most bytes that the socket buffers of both ends and the caller's reader hold."""

use_step_matcher("re")


@given(
    r"a gateway with a grace period of (?P<grace>\d) s and a target that answers with"
    r" a (?P<what>body|stream) of 8 MiB"
)
def step_gateway(context: Context, grace: str, what: str) -> None:
    context.runner.run(start_gateway(context, float(grace), what))


async def start_gateway(context: Context, grace: float, what: str) -> None:
    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        if what == "body":
            writer.write(answer_bytes(request, bytes(ANSWER_SIZE)))
            return True
        writer.write(stream_head(request))
        for number in range(ANSWER_SIZE // EVENT_SIZE):
            event = f"id: {number}\ndata: ".encode().ljust(EVENT_SIZE - 2, b"x") + b"\n\n"
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(END_OF_STREAM)
        return True

    context.kind = RequestKind.ONCE if what == "body" else RequestKind.STREAM
    context.target = ScriptedTarget("target", script)
    await context.target.start()
    settings = GatewaySettings(grace=grace, rotation=0.1, evidence_warm_up=0.001)
    context.harness = GatewayHarness(settings)
    context.harness.start()
    routes = [make_route(kind) for kind in RequestKind]
    context.harness.grant(routes, dict.fromkeys(RequestKind, [context.target]))


@when(
    r"a caller reads (?P<how>its answer slowly|nothing of its answer), and the gateway drains"
    r" once that has begun"
)
def step_drain(context: Context, how: str) -> None:
    context.runner.run(drain_while_read(context, how == "its answer slowly"))


async def drain_while_read(context: Context, is_read: bool) -> None:
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_SIZE)
    raw.connect(split_address(context.harness.address))
    reader, writer = await open_connection(sock=raw, limit=READ_SIZE)
    headers = {"X_Model": MODEL} if context.kind is RequestKind.STREAM else {}
    writer.write(request_bytes(f"/{context.kind.value}/x", **headers))
    context.received = len(await reader.readuntil(b"\r\n\r\n"))
    reading = create_task(read_slowly(context, reader)) if is_read else None
    await sleep(0.2)
    started_at = monotonic()
    await context.harness.role.drain()
    context.took = monotonic() - started_at
    context.received_at_end = context.received
    if reading is not None:
        reading.cancel()
    writer.close()


async def read_slowly(context: Context, reader: StreamReader) -> None:
    started_at = monotonic()
    while part := await reader.read(READ_SIZE):
        context.received += len(part)
        await sleep(max(context.received / READ_RATE - (monotonic() - started_at), 0.0))


@then(r"the gateway ends within 5 s, when the caller has read all but what the kernel holds")
def step_sent(context: Context) -> None:
    left = ANSWER_SIZE - context.received_at_end
    assert context.took < 5.0 and left <= KERNEL_SIZE, (context.took, left)


@then(r"the gateway ends between 1 and 2 s later")
def step_ends(context: Context) -> None:
    assert 1.0 <= context.took <= 2.0, context.took
