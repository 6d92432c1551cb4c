"""Steps on a gateway that chooses by expected work, with an owner that counts plain services."""

import logging
from asyncio import StreamReader, StreamWriter, create_task, gather, sleep
from random import Random
from time import monotonic

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import (
    DOMAIN,
    GatewayHarness,
    RawCaller,
    Received,
    ScriptedTarget,
    answer_bytes,
    make_route,
    request_bytes,
)
from features.support.place_owners import Owner, until

from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.deployment import EngineProfile, RequestKind, ServiceProfile
from jaylatch_core.enums import Balancing
from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.places import PlaceTaken, TakePlace
from jaylatch_core.settings import GatewaySettings
from jaylatch_decisions.targets import TargetLoad, choose_target
from jaylatch_node.evenness import EvennessReporter
from jaylatch_node.gateway import places
from jaylatch_node.gateway.balancing import TargetBalancer
from jaylatch_node.observability import Metrics

MILLISECONDS = 1000
TARGETS = 3
CALL_SECONDS = 0.03
SAMPLE_SECONDS = 0.5
"""Seconds between two choices in the steps on the measure of even load."""
COLD_RATE = 26.0
ANSWER_SECONDS = 0.1
STALL_INTERVAL = 0.005
"""Seconds between two checks whether the event loop runs."""

use_step_matcher("re")


def make_settings(text: str) -> GatewaySettings:
    is_set = text == "the setting expected_work"
    balancing = Balancing.EXPECTED_WORK if is_set else Balancing.REPORTED_LOAD
    return GatewaySettings(evidence_warm_up=0.001, balancing=balancing)


@given(
    r"a gateway and an owner of plain services with"
    r" (?P<settings>the setting expected_work|ranked services|a service that may be cold|neither)"
)
def step_gateway(context: Context, settings: str) -> None:
    context.runner.run(start(context, settings))


async def start(context: Context, settings: str) -> None:
    context.count_timeout = places.COUNT_TIMEOUT
    context.owner = Owner()
    context.counted = []
    peers = (ControlPeer(InstanceId("owner"), context.owner.address),)
    context.harness = harness = GatewayHarness(make_settings(settings), peers)
    harness.client.connect()
    ask = harness.client.ask

    async def record(address: str, body: Body, timeout: float) -> Body | None:
        answer = await ask(address, body, timeout)
        if isinstance(body, TakePlace) and isinstance(answer, PlaceTaken):
            context.counted.append(body)
        return answer

    harness.client.ask = record
    context.targets = [ScriptedTarget(f"t{n}", answer_call) for n in range(TARGETS)]
    for target in context.targets:
        await target.start()
    routes = [make_route(RequestKind.ONCE)]
    if settings == "ranked services":
        routes += [
            make_route(RequestKind.STREAM, path_prefix=f"/{rank}/", name=f"s{rank}", priority=rank)
            for rank in (0, 1)
        ]
    harness.grant(routes, {RequestKind.ONCE: context.targets})
    if settings == "a service that may be cold":
        grant = harness.board.grant
        cold = ServiceProfile("cold", 100, EngineProfile(4), cold_time=3.0, cold_rate=COLD_RATE)
        services = (*grant.deployment.services, cold)
        grant.deployment = msgspec.structs.replace(grant.deployment, services=services)
        harness.role.on_grant()
    harness.start()
    await until(lambda: harness.client.peer(context.owner.address).connection is not None)


async def answer_call(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
    await sleep(CALL_SECONDS)
    writer.write(answer_bytes(request, b"done"))
    return True


@given(r"two of the three targets are in another domain")
def step_domains(context: Context) -> None:
    view = context.harness.board.grant.view
    routes = tuple(
        msgspec.structs.replace(route, failure_domain=FailureDomainId("domain-2"))
        for route in view.services[1:]
    )
    context.harness.board.grant.view = msgspec.structs.replace(
        view, version=view.version + 1, services=(view.services[0], *routes)
    )
    # The known load of a target keeps its domain while its address is the same.
    context.harness.role._directory.__init__()  # noqa: SLF001
    context.harness.role.on_grant()


@when(
    r"(?P<count>\d+) calls arrive (?P<order>at once|one after another) at the gateway"
    r" and the owner (?P<state>answers|has ended|is silent)"
)
def step_calls(context: Context, count: str, order: str, state: str) -> None:
    context.runner.run(call(context, int(count), order, state))


async def call(context: Context, count: int, order: str, state: str) -> None:
    if state == "answers":
        # Gateway, owner, targets and callers share one loop, so an answer may be late here.
        places.COUNT_TIMEOUT = ANSWER_SECONDS
    callers = [await RawCaller.connect(context.harness.address) for _ in range(count)]
    if state == "has ended":
        context.owner.stop()
    elif state == "is silent":
        context.owner.controller.handle = lambda *arguments: True
    context.stalls = Stalls()
    calls = [
        ask_once(caller, f"r{number}", context.stalls) for number, caller in enumerate(callers)
    ]
    if order == "at once":
        context.answers = await gather(*calls)
    else:
        context.answers = [await item for item in calls]
    context.stalls.stop()
    places.COUNT_TIMEOUT = context.count_timeout
    for caller in callers:
        caller.writer.close()
    await sleep(0.02)
    services = context.owner.controller._services  # noqa: SLF001
    context.still_counted = len(services._table._in_flight)  # noqa: SLF001
    context.harness.role.stop()
    if not context.owner.has_ended:
        context.owner.stop()
    context.owner.proxy.stop()
    context.owner.proxy.drop_connections()
    for target in context.targets:
        target.server.close()


class Stalls:
    """The time for which the event loop, which all parts share, did not run when it should have."""

    def __init__(self) -> None:
        self.total = 0.0
        self._task = create_task(self._measure())

    def stop(self) -> None:
        """Stop measuring."""
        self._task.cancel()

    async def _measure(self) -> None:
        while True:
            due = monotonic() + STALL_INTERVAL
            await sleep(STALL_INTERVAL)
            self.total += monotonic() - due


async def ask_once(caller: RawCaller, name: str, stalls: Stalls) -> tuple[int, float]:
    """Return the status, and the seconds without those in which the loop did not run."""
    started_at, stalled = monotonic(), stalls.total
    answer = await caller.ask(request_bytes("/once/x", name, name.encode()))
    return answer.status, monotonic() - started_at - (stalls.total - stalled)


@then(r"all calls are answered, each one after at most (?P<limit>\d+) ms")
def step_answered(context: Context, limit: str) -> None:
    assert all(status == 200 for status, _ in context.answers), context.answers
    slowest = max(took for _, took in context.answers) * MILLISECONDS
    assert slowest <= float(limit), slowest


@then(r"(?P<part>all|none) of the calls were counted at the owner, and none still is")
def step_counted(context: Context, part: str) -> None:
    expected = len(context.answers) if part == "all" else 0
    assert len(context.counted) == expected, context.counted
    assert all(item.kind for item in context.counted)
    assert context.still_counted == 0


@then(r"the targets got (?P<count>\d+) requests and nothing else")
def step_requests(context: Context, count: str) -> None:
    received = [item for target in context.targets for item in target.received]
    assert len(received) == int(count), received
    assert all(item.path == "/once/x" for item in received), received


@then(r"each target had (?P<count>\d+) of the calls")
def step_spread(context: Context, count: str) -> None:
    counts = [len(target.received) for target in context.targets]
    assert counts == [int(count)] * TARGETS, counts


@then(r"the target in the domain of the gateway had (?P<count>\d+) of the calls")
def step_local(context: Context, count: str) -> None:
    counts = [len(target.received) for target in context.targets]
    assert counts[0] == int(count), counts


# Largest load over the mean


class RecordingHandler(logging.Handler):
    """Keeps the records of one logger."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


@given(
    r'the loads "(?P<loads>[^"]+)" at choices of targets that are 0.5 s apart,'
    r" as the (?P<role>owner|gateway) counts them"
)
def step_loads(context: Context, loads: str, role: str) -> None:
    context.loads = [[float(item) for item in text.split("/")] for text in loads.split()]
    context.metrics = Metrics()
    gauge = context.metrics.gauge(f"{role}_largest_load_over_mean", "text", ("subject",))
    context.reporter = EvennessReporter(gauge, role)


@when(r"(?P<seconds>\d+) s have gone by")
def step_samples(context: Context, seconds: str) -> None:
    log = logging.getLogger("jaylatch.balancing")
    level, handler = log.level, RecordingHandler()
    log.addHandler(handler)
    log.setLevel(logging.INFO)
    for number in range(int(float(seconds) / SAMPLE_SECONDS)):
        loads = context.loads[number % len(context.loads)]
        context.reporter.sample(number * SAMPLE_SECONDS, "calls", loads)
    log.removeHandler(handler)
    log.setLevel(level)
    context.records = handler.records


@then(
    r"the metric of the (?P<role>\w+) and a log line give the largest load over the mean"
    r" as (?P<ratio>[\d.]+|none)"
)
def step_evenness(context: Context, role: str, ratio: str) -> None:
    text = context.metrics.text().decode()
    name = f'jaylatch_{role}_largest_load_over_mean{{subject="calls"}}'
    if ratio == "none":
        assert name not in text and not context.records
        return
    assert f"{name} {ratio}" in text, text
    assert len(context.records) == 1, context.records
    fields = vars(context.records[0])
    assert fields["subject"] == "calls" and fields["counted_by"] == role, fields
    assert fields["largest_over_mean"] == float(ratio), fields


# The choice where expected work is not in force


@given(r"a gateway balancer with (?P<settings>.+) and targets with random loads and failures")
def step_balancer(context: Context, settings: str) -> None:
    context.random = random = Random(1)
    harness = GatewayHarness()
    harness.grant([make_route(RequestKind.ONCE)], {})
    setting = make_settings(settings).balancing
    context.make_balancer = lambda seed: TargetBalancer(
        harness.board.__class__(harness.board.identity, harness.board.events, harness.board.grant),
        setting,
        Random(seed),
    )
    context.load_sets = []
    for _ in range(300):
        loads = [TargetLoad(InstanceId(f"t{n}"), 4, DOMAIN) for n in range(4)]
        for item in loads:
            item.own_in_flight = random.randrange(3)
            item.record_report(10.0 - random.random(), random.randrange(8))
            if random.random() < 0.2:
                item.record_failure(10.0 - random.random())
        context.load_sets.append(loads)


@when(r"it chooses 300 times with the seeds of the present choice")
def step_choose_both(context: Context) -> None:
    context.same = [
        context.make_balancer(seed).choose(10.0, "calls", loads)
        is choose_target(10.0, loads, DOMAIN, Random(seed))
        for seed, loads in enumerate(context.load_sets)
    ]


@then(r"its choices are (?P<relation>the same as|not always) the present ones")
def step_same(context: Context, relation: str) -> None:
    assert all(context.same) is (relation == "the same as"), context.same.count(True)
