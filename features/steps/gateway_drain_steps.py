"""Steps on the drain of a gateway."""

from asyncio import create_task, sleep

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import (
    GatewayHarness,
    RawCaller,
    Received,
    ScriptedTarget,
    answer_bytes,
    make_route,
    request_bytes,
)

from jaylatch_core.deployment import RequestKind
from jaylatch_core.settings import GatewaySettings

GRACE_SECONDS = 4.0
ROTATION_SECONDS = 1.4
KIND = RequestKind.ONCE
ANSWER_BODY = b"worked"

use_step_matcher("re")


@given(r"a gateway with a target that works for (?P<work>[\d.]+) s")
def step_gateway(context: Context, work: str) -> None:
    context.runner.run(start_gateway(context, float(work)))


async def start_gateway(context: Context, work: float) -> None:
    async def script(request: Received, reader: object, writer: object) -> bool:
        await sleep(work if request.path != "/once/warm" else 0)
        writer.write(answer_bytes(request, ANSWER_BODY))  # type: ignore[attr-defined]
        return True

    context.target = ScriptedTarget("target", script)  # type: ignore[arg-type]
    await context.target.start()
    context.harness = GatewayHarness(
        GatewaySettings(grace=GRACE_SECONDS, rotation=ROTATION_SECONDS)
    )
    context.harness.start()
    context.harness.grant([make_route(KIND)], {KIND: [context.target]})


@when(
    r"it starts to drain, and (?P<sent_after>\d+) s later a request is sent"
    r" on a (?P<connection>new|kept) connection"
)
def step_drain(context: Context, sent_after: str, connection: str) -> None:
    context.runner.run(drain_and_send(context, float(sent_after), connection == "kept"))


async def drain_and_send(context: Context, sent_after: float, is_kept: bool) -> None:
    caller = None
    if is_kept:
        caller = await RawCaller.connect(context.harness.address)
        assert (await caller.ask(request_bytes("/once/warm"))).status == 200
    drain = create_task(context.harness.role.drain())
    await sleep(sent_after)
    caller = caller or await RawCaller.connect(context.harness.address)
    context.answer = await caller.ask(request_bytes("/once/work"))
    await drain


@when(r"it starts to drain, and a request arrives in two halves, 1 s and 2 s later")
def step_halves(context: Context) -> None:
    context.runner.run(drain_and_send_halves(context))


async def drain_and_send_halves(context: Context) -> None:
    data = request_bytes("/once/work", body=b"12345678")
    caller = await RawCaller.connect(context.harness.address)
    drain = create_task(context.harness.role.drain())
    await sleep(1)
    caller.writer.write(data[:-4])
    await sleep(1)
    context.answer = await caller.ask(data[-4:])
    await drain


@then(r"the caller of the draining gateway gets (?P<answer>.+)")
def step_answer(context: Context, answer: str) -> None:
    got = context.answer
    match answer:
        case "the complete answer and the close of the connection":
            assert (got.status, got.body, got.is_complete, got.closes_connection) == (
                200,
                ANSWER_BODY,
                True,
                True,
            ), got
        case "a closed connection without an answer":
            assert got.status == 0, got
        case "a refusal as not run and the close of the connection":
            assert (got.status, got.closes_connection) == (503, True), got
        case _:
            raise AssertionError(answer)


@then(r"the target ran it (?P<runs>\d) times")
def step_runs(context: Context, runs: str) -> None:
    paths = [item.path for item in context.target.received if item.path == "/once/work"]
    assert len(paths) == int(runs), paths
