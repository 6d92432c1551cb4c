"""Steps on a gateway whose requests wait by rank at a real owner."""

import logging
from asyncio import Event, StreamReader, StreamWriter, Task, create_task, sleep
from time import monotonic

import msgspec
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
    event_chunk,
    make_route,
    request_bytes,
    stream_head,
)
from features.support.place_owners import Owner, until

from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.deployment import (
    AccountProfile,
    EngineProfile,
    RequestKind,
    ServiceProfile,
    ServiceShare,
)
from jaylatch_core.ids import AccountId, InstanceId
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.places import TakePlace
from jaylatch_core.settings import GatewaySettings

WITHOUT_SETTING = " and without the setting"
SLOTS = 4
OBJECTIVE_SECONDS = 1.0
CALL_SECONDS = 1.0
RUN_SECONDS = 0.3
"""Longer than a place is expected to be held, so that the next one is expected at any moment."""
ACCOUNTS = (
    AccountProfile(AccountId("plain"), ("plain",)),
    AccountProfile(AccountId("low"), ("low",), 3),
    AccountProfile(AccountId("high"), ("high",), 0),
)

use_step_matcher("re")


@given(r"a gateway, an owner and a target that is full, with (?P<ranks>.+)")
def step_full(context: Context, ranks: str) -> None:
    context.ranks = ranks
    context.runner.run(start(context, ranks))


async def start(context: Context, ranks: str) -> None:
    context.owner = Owner()
    context.sent = []
    context.lines = []
    handler = logging.Handler()
    handler.emit = context.lines.append
    logger = logging.getLogger("jaylatch.request")
    logger.setLevel(logging.INFO)
    logger.addHandler(handler)
    context.stop_logging = lambda: logger.removeHandler(handler)
    peers = (ControlPeer(InstanceId("owner"), context.owner.address),)
    is_set = not ranks.endswith(WITHOUT_SETTING)
    settings = GatewaySettings(evidence_warm_up=0.001, queues_by_rank=is_set)
    context.harness = harness = GatewayHarness(settings, peers)
    harness.client.connect()
    ask = harness.client.ask

    async def record(address: str, body: Body, timeout: float) -> Body | None:
        if isinstance(body, TakePlace):
            context.sent.append(body)
        # The scenarios are not on slow owners, which a busy machine would make of this one.
        return await ask(address, body, max(timeout, CALL_SECONDS))

    harness.client.ask = record
    context.ends = {}
    context.events = []
    target = ScriptedTarget("t", lambda *arguments: answer_later(context, *arguments))
    await target.start()
    less_rank = 0 if ranks == "routes of one rank" else 2
    routes = [
        make_route(RequestKind.STREAM, path_prefix="/urgent/", objective=OBJECTIVE_SECONDS),
        make_route(
            RequestKind.STREAM,
            name="less",
            path_prefix="/less/",
            objective=OBJECTIVE_SECONDS,
            priority=less_rank,
        ),
    ]
    if ranks == "routes of two services":
        routes[0] = msgspec.structs.replace(routes[0], shares=(ServiceShare("other", 1.0),))
    harness.grant(routes, {RequestKind.STREAM: [target]})
    grant = harness.board.grant
    services = (*grant.deployment.services, ServiceProfile("other", 100, EngineProfile(SLOTS)))
    grant.deployment = msgspec.structs.replace(
        grant.deployment, services=services, accounts=ACCOUNTS
    )
    harness.role.on_grant()
    harness.start()
    await until(lambda: harness.client.peer(context.owner.address).connection is not None)
    context.callers = {}
    context.running = []
    # Without a measured answer the service time is taken to be a second.
    for number in range(3):
        task = await send(context, f"first{number}", "less", "")
        await until(lambda: bool(context.ends))
        end(context, f"first{number}")
        await task
    # Requests without ranks are granted 1.1 requests for each slot, which are as many here.
    for number in range(SLOTS):
        context.running.append(await send(context, f"held{number}", "less", ""))
    await until(lambda: len(context.ends) == SLOTS)
    await sleep(RUN_SECONDS)


async def answer_later(
    context: Context, request: Received, reader: StreamReader, writer: StreamWriter
) -> bool:
    """Send one event at once, and the rest when the test says so."""
    name = request.headers["X-Id"]
    context.events.append(name)
    context.ends[name] = Event()
    writer.write(stream_head(request) + event_chunk(0))
    await context.ends[name].wait()
    writer.write(event_chunk(1) + END_OF_STREAM)
    return True


def end(context: Context, name: str) -> None:
    context.ends.pop(name).set()


async def send(context: Context, name: str, route: str, key: str) -> Task[Answer]:
    caller = await RawCaller.connect(context.harness.address)
    headers = {"X_Model": MODEL, "X_Key": key or "plain"}
    context.callers[name] = caller
    task = create_task(caller.ask(request_bytes(f"/{route}/x", name, name.encode(), **headers)))
    await sleep(0.02)
    return task


@when(r'the requests "(?P<requests>[^"]*)" arrive one after the other and (?P<event>.+)')
def step_requests(context: Context, requests: str, event: str) -> None:
    context.runner.run(send_and_end(context, requests, event))


async def send_and_end(context: Context, requests: str, event: str) -> None:
    context.asked_at = monotonic()
    context.tasks = {}
    for text in requests.split():
        name, route, *key = text.split(":")
        context.tasks[name] = await send(context, name, route, key[0] if key else "")
    match event:
        case "one answer ends":
            await until(lambda: context.owner.waiting == len(context.tasks), OBJECTIVE_SECONDS)
            end(context, "held0")
            await until(lambda: any(item in context.tasks for item in context.events))
        case "the callers leave":
            await until(lambda: context.owner.waiting == len(context.tasks), OBJECTIVE_SECONDS)
            for name in context.tasks:
                context.callers[name].writer.close()
        case "the callers leave as an answer ends":
            end(context, "held0")
            for name in context.tasks:
                context.callers[name].writer.close()
        case "no answer ends":
            pass
        case _:
            raise AssertionError(event)


@then(r"(?P<name>\w) is answered first at the gateway")
def step_first(context: Context, name: str) -> None:
    async def check() -> None:
        answered = [item for item in context.events if item in context.tasks]
        assert answered == [name], answered
        await finish(context)

    context.runner.run(check())


@then(r"a is refused by its rank within (?P<limit>[\d.]+) s at the gateway")
def step_refused_by_rank(context: Context, limit: str) -> None:
    async def check() -> None:
        answer = await context.tasks["a"]
        took = monotonic() - context.asked_at
        assert took < float(limit), took
        assert answer.status == 503 and float(answer.headers["X-Retry-After"]) > 0, answer
        text = context.harness.board.metrics.text().decode()
        reason = answer.body.decode()
        assert reason in ("overloaded", "deadline_too_near"), reason
        line = next(item for item in context.lines if item.getMessage() == "refused")
        assert (line.rank, line.reason) == (2, reason), line
        line = f'jaylatch_gateway_ranked_refusals_total{{rank="2",reason="{reason}"}} 1.0'
        assert line in text, text
        assert (
            'jaylatch_place_queue_requests{model="model"}' in context.owner.metrics.text().decode()
        )
        await finish(context)

    context.runner.run(check())


@then(r"a is refused at once, without terms at the gateway")
def step_refused_at_once(context: Context) -> None:
    async def check() -> None:
        answer = await context.tasks["a"]
        took = monotonic() - context.asked_at
        assert took < OBJECTIVE_SECONDS / 2, took
        assert (answer.status, answer.body) == (503, b"full"), answer
        assert context.sent and all(item.queueing is None for item in context.sent), context.sent
        assert b"gateway_ranked_refusals_total{" not in context.harness.board.metrics.text()
        await finish(context)

    context.runner.run(check())


@then(r"no request waits after (?P<limit>[\d.]+) s at the gateway")
def step_queue_left(context: Context, limit: str) -> None:
    async def check() -> None:
        await until(lambda: not context.owner.waiting, float(limit))
        await finish(context)

    context.runner.run(check())


@then(r"no place is counted beyond the answers that run at the gateway")
def step_no_excess(context: Context) -> None:
    async def check() -> None:
        await until(lambda: context.owner.count_places() == SLOTS - 1, OBJECTIVE_SECONDS)
        await sleep(0.1)
        assert context.owner.count_places() == SLOTS - 1 and not context.owner.waiting
        await finish(context)

    context.runner.run(check())


async def finish(context: Context) -> None:
    for caller in context.callers.values():
        caller.writer.close()
    for name in list(context.ends):
        end(context, name)
    for task in (*context.tasks.values(), *context.running):
        task.cancel()
    await sleep(0.05)
    context.stop_logging()
    context.harness.role.stop()
    context.owner.stop()
    context.owner.proxy.stop()
    context.owner.proxy.drop_connections()
