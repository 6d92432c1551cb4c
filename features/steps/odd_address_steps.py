"""Steps on targets with addresses that cannot be connected to."""

from asyncio import StreamReader, StreamWriter

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
    event_chunk,
    make_route,
    request_bytes,
    stream_head,
)

from jaylatch_core.deployment import RequestKind

use_step_matcher("re")


@given(r"a gateway with a target at (?P<address>.+)")
def step_targets(context: Context, address: str) -> None:
    context.runner.run(start_gateway(context, address))


async def start_gateway(context: Context, address: str) -> None:
    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        if request.path.startswith("/stream/"):
            writer.write(stream_head(request) + event_chunk(0) + END_OF_STREAM)
        else:
            writer.write(answer_bytes(request, b"done"))
        return True

    context.sound = ScriptedTarget("sound", script)
    await context.sound.start()
    context.odd = ScriptedTarget("odd", script, address)
    context.harness = GatewayHarness()
    context.harness.start()
    grant(context, [context.odd])


def grant(context: Context, targets: list[ScriptedTarget]) -> None:
    routes = [make_route(kind) for kind in RequestKind]
    context.harness.grant(routes, dict.fromkeys(RequestKind, targets))


@when(
    r"a request of kind (?P<kind>\w+) is sent, and (?P<count>\d+) more after a sound target is"
    r" listed as well"
)
def step_requests(context: Context, kind: str, count: str) -> None:
    context.runner.run(send_all(context, kind, int(count)))


async def send_all(context: Context, kind: str, count: int) -> None:
    context.first = await send(context, kind, "r0")
    grant(context, [context.odd, context.sound])
    context.others = [await send(context, kind, f"r{number + 1}") for number in range(count)]


async def send(context: Context, kind: str, request: str) -> int:
    headers = {"X_Model": MODEL} if kind == "stream" else {}
    caller = await RawCaller.connect(context.harness.address)
    return (await caller.ask(request_bytes(f"/{kind}/x", request, **headers))).status


@then(r"the first one is refused with 503, and the others are answered")
def step_answered(context: Context) -> None:
    assert context.first == 503, context.first
    assert set(context.others) == {200}, context.others
