"""Steps on a gateway whose targets are in two failure domains, of which some are evacuated."""

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
    event_bytes,
    event_chunk,
    make_route,
    request_bytes,
    stream_head,
)
from gateway_path_steps import answer_correctly, misbehave

from jaylatch_core.deployment import RequestKind
from jaylatch_core.ids import Epoch, FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.membership import GroupRoute, ServiceRoute, View
from jaylatch_decisions.leases import HeldLease
from jaylatch_node.targets import TargetConnection

DOMAINS = {"one": FailureDomainId("south"), "two": FailureDomainId("north")}
EVENT_COUNT = 6
EVENT_SECONDS = 0.2
FAULT_SECONDS = 0.3
"""Time that a faulty target takes before it fails, in which the view or the lease changes."""

use_step_matcher("re")


@given(r"an evacuating gateway whose targets? (?P<name>one |two )?(?P<behavior>.+)")
def step_gateway(context: Context, name: str | None, behavior: str) -> None:
    """Start the gateway; the named target behaves so, and any other answers."""
    special = (name or "").strip()

    def script_of(own_name: str):  # type: ignore[no-untyped-def]
        async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
            if own_name != special:
                return await answer_correctly(request, writer)
            if behavior == "sends 6 events in 1.2 s":
                return await send_events(request, writer)
            if behavior == "breaks the stream off":
                return await break_off(request, writer)
            if behavior != "stalls after some events":
                await sleep(FAULT_SECONDS)
            return await misbehave(behavior, request, writer)

        return script

    async def start() -> None:
        context.harness = GatewayHarness()
        context.evacuation_targets = {
            item: ScriptedTarget(item, script_of(item)) for item in DOMAINS
        }
        for target in context.evacuation_targets.values():
            await target.start()
        context.harness.start()
        context.harness.grant([make_route(kind) for kind in RequestKind], {})
        grant_view(context)

    context.runner.run(start())


async def send_events(request: Received, writer: StreamWriter) -> bool:
    writer.write(stream_head(request))
    for number in range(EVENT_COUNT):
        await sleep(EVENT_SECONDS)
        writer.write(event_chunk(number))
    writer.write(END_OF_STREAM)
    return True


async def break_off(request: Received, writer: StreamWriter) -> bool:
    """Send the first event, and close the connection in the middle of the second one."""
    writer.write(stream_head(request))
    writer.write(event_chunk(0))
    await sleep(FAULT_SECONDS)
    writer.write(event_chunk(1)[:-4])
    return False


def grant_view(
    context: Context,
    evacuated: tuple[str, ...] = (),
    unlisted: tuple[str, ...] = (),
    keeps_routes: bool = False,
    only: str = "",
    slots: int = 4,
) -> None:
    """Grant a view as the leader does; with ``keeps_routes`` it lists evacuated targets as open."""
    grant = context.harness.board.grant
    names = [name for name in DOMAINS if name not in unlisted and (not only or name == only)]
    groups = tuple(
        GroupRoute(
            GroupId(name),
            Epoch(1),
            MODEL,
            InstanceId(name),
            context.evacuation_targets[name].address,
            DOMAINS[name],
            RequestKind.STREAM.value,
            slots,
            is_ending=DOMAINS[name] in evacuated and not keeps_routes,
        )
        for name in names
    )
    services = tuple(
        ServiceRoute(
            kind.value,
            InstanceId(f"plain-{name}"),
            context.evacuation_targets[name].address,
            DOMAINS[name],
            slots,
        )
        for kind in (RequestKind.IDEMPOTENT, RequestKind.ONCE)
        for name in names
        if keeps_routes or DOMAINS[name] not in evacuated
    )
    domains = tuple(FailureDomainId(domain) for domain in evacuated)
    grant.view = View(grant.view.version + 1, groups, services, evacuated=domains)
    context.harness.role.on_grant()


def end_lease(context: Context) -> None:
    context.harness.board.grant.lease = HeldLease(0.0)


async def send(context: Context, kind: str) -> Answer:
    caller = await RawCaller.connect(context.harness.address)
    headers = {"X_Model": MODEL} if kind == "stream" else {}
    return await caller.ask(request_bytes(f"/{kind}/x", "r1", b"body", **headers))


async def send_to_one_only(context: Context, kind: str) -> Answer:
    """Send a request to the target one; the other one is listed as soon as it has arrived."""
    grant_view(context, only="one")
    answer = create_task(send(context, kind))
    while not context.evacuation_targets["one"].received:
        await sleep(0.01)
    grant_view(context)
    return await answer


@when(
    r"a stream runs at two, and 0.3 s later the domain north is evacuated"
    r"(?P<unlists> and two is unlisted)?"
)
def step_stream_runs(context: Context, unlists: str | None) -> None:
    async def run() -> Answer:
        grant_view(context, only="two")
        answer = create_task(send(context, "stream"))
        await sleep(0.3)
        grant_view(context, evacuated=("north",))
        if unlists:
            await sleep(0.1)
            grant_view(context, evacuated=("north",), unlisted=("two",))
        return await answer

    context.answer = context.runner.run(run())


@when(
    r"a (?P<kind>\w+) request is sent to one,"
    r" and (?P<what>the domain north is evacuated|the lease ends) meanwhile"
)
def step_meanwhile(context: Context, kind: str, what: str) -> None:
    async def run() -> Answer:
        answer = create_task(send_to_one_only(context, kind))
        while not context.evacuation_targets["one"].received:
            await sleep(0.01)
        await sleep(0.1)
        if what == "the lease ends":
            end_lease(context)
        else:
            grant_view(context, evacuated=("north",))
        return await answer

    context.answer = context.runner.run(run())


@when(
    r"a (?P<kind>\w+) request is sent(?P<to_one> to one)?,"
    r" and (?P<what>its domain is evacuated|the lease ends) while connection (?P<number>\d) opens"
)
def step_while_opening(
    context: Context, kind: str, to_one: str | None, what: str, number: str
) -> None:
    pool = context.harness.role._pool  # noqa: SLF001
    connect = pool.connect
    opened: list[str] = []

    async def connect_late(address: str) -> TargetConnection | None:
        connection: TargetConnection | None = await connect(address)
        opened.append(address)
        if len(opened) == int(number):
            targets = context.evacuation_targets.values()
            context.left = next(item for item in targets if item.address == address)
            if what == "the lease ends":
                end_lease(context)
            else:
                grant_view(context, evacuated=(DOMAINS[context.left.name],))
        return connection

    pool.connect = connect_late
    request = send_to_one_only(context, kind) if to_one else send(context, kind)
    context.answer = context.runner.run(request)


@when(r"the domains north and south are evacuated")
def step_all_evacuated(context: Context) -> None:
    grant_view(context, evacuated=("north", "south"))


@when(r"the domain north is evacuated but two is listed as open")
def step_listed_as_open(context: Context) -> None:
    grant_view(context, evacuated=("north",), keeps_routes=True)


@when(r"a (?P<kind>\w+) request is sent to any target")
def step_any_target(context: Context, kind: str) -> None:
    started_at = monotonic()
    context.answer = context.runner.run(send(context, kind))
    context.took = monotonic() - started_at


@when(r"the next view states 2 slots for each target")
def step_slots(context: Context) -> None:
    grant_view(context, slots=2)


@then(r"the gateway counts 2 slots for each target")
def step_counted_slots(context: Context) -> None:
    directory = context.harness.role._directory  # noqa: SLF001
    for service, model in (("stream", MODEL), ("once", None)):
        loads = directory.candidates(service, model)
        assert [load.slots for load in loads] == [2, 2], loads


@then(r"the caller gets every event, and the target one received 0 requests")
def step_every_event(context: Context) -> None:
    expected = b"".join(event_bytes(number) for number in range(EVENT_COUNT))
    assert (context.answer.body, context.answer.is_complete) == (expected, True), context.answer
    assert not context.evacuation_targets["one"].received


@then(
    r"(?:within (?P<limit>[\d.]+) s )?its caller gets (?P<answer>.+),"
    r" and the target (?P<which>two|of connection \d) received 0 requests"
)
def step_not_sent(context: Context, limit: str | None, answer: str, which: str) -> None:
    target = context.evacuation_targets["two"] if which == "two" else context.left
    assert not target.received, target
    # Only the connection that is open when the view or the lease changes may lead to the target.
    assert which != "two" or not target.connections, target
    found = context.answer
    match answer:
        case "the answer":
            assert found.status == 200 and found.is_complete, found
        case "an incomplete stream":
            assert found.status in (0, 200) and not found.is_complete, found
        case _:
            assert found.status == int(answer), found
    if answer == "503":
        assert float(found.headers["X-Retry-After"]) > 0, found
    if limit is not None:
        assert context.took < float(limit), context.took
