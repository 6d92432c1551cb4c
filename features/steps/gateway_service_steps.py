"""Steps on routes that lead a gateway to services with engines and without."""

from asyncio import StreamReader, StreamWriter, gather, sleep
from collections import defaultdict
from time import monotonic

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import (
    DOMAIN,
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

from jaylatch_core.deployment import (
    Deployment,
    DeploymentNumber,
    EngineProfile,
    RequestKind,
    RouteSpecification,
    ServiceProfile,
    ServiceShare,
)
from jaylatch_core.ids import Epoch, GroupId, InstanceId
from jaylatch_core.messages.membership import GroupRoute, ServiceRoute, View
from jaylatch_core.settings import GatewaySettings

ENGINES, PLAIN, OTHER = "engines", "plain", "other"
SERVICES = (ENGINES, PLAIN, OTHER)
TARGETS_PER_SERVICE = 2
SLOTS = 100
EVENTS = 4
HEADERS = {
    "a model": {"X_Model": MODEL},
    "another model": {"X_Model": "another"},
    "no model": {},
    "a model and an event": {"X_Model": MODEL, "X_Last": "0"},
}
NOT_RUN = 503
PAUSE_SECONDS = 0.1
"""Time in which the first event reaches the caller, so that its stream is resumed."""
SETTINGS = GatewaySettings(evidence_warm_up=0.001, repeat_burst=100.0)

use_step_matcher("re")


@given(r"a gateway with targets of the services engines, plain and other")
def step_services(context: Context) -> None:
    context.runner.run(start(context))


async def start(context: Context) -> None:
    context.breaks_off = False
    context.ran = defaultdict(list)
    context.targets = {
        service: [make_target(context, service, number) for number in range(TARGETS_PER_SERVICE)]
        for service in SERVICES
    }
    for targets in context.targets.values():
        for target in targets:
            await target.start()
    context.harness = GatewayHarness(SETTINGS)
    context.harness.start()


def make_target(context: Context, service: str, number: int) -> ScriptedTarget:
    async def script(request: Received, reader: StreamReader, writer: StreamWriter) -> bool:
        context.ran[request.headers["X-Id"]].append(service)
        if request.path.startswith("/once/"):
            writer.write(answer_bytes(request, service.encode()))
            return True
        writer.write(stream_head(request))
        first = int(request.headers.get("X-Last", "-1")) + 1
        for event in range(first, EVENTS):
            writer.write(event_chunk(event))
            if context.breaks_off and not first:
                await sleep(PAUSE_SECONDS)
                return False
        writer.write(END_OF_STREAM)
        return True

    return ScriptedTarget(f"{service}-{number}", script)


@given(r"each target breaks off a stream that it gets from its beginning")
def step_break_off(context: Context) -> None:
    context.breaks_off = True


def grant(context: Context, route: RouteSpecification, engine_service: str = ENGINES) -> None:
    """Grant a deployment with one route, in which ``engine_service`` alone runs the model."""
    services = tuple(
        ServiceProfile(name, SLOTS, EngineProfile(SLOTS) if name == engine_service else None)
        for name in SERVICES
    )
    grant = context.harness.board.grant
    grant.deployment = Deployment(DeploymentNumber(1), (route,), services)
    groups, plain = [], []
    for service, targets in context.targets.items():
        for target in targets:
            name = InstanceId(target.name)
            if service == engine_service:
                groups.append(
                    GroupRoute(
                        GroupId(name), Epoch(1), MODEL, name, target.address, DOMAIN, service, SLOTS
                    )
                )
            else:
                plain.append(ServiceRoute(service, name, target.address, DOMAIN, SLOTS))
    grant.view = View(grant.view.version + 1, tuple(groups), tuple(plain))
    context.harness.role.on_grant()


def route_to(kind: str, shares: str) -> RouteSpecification:
    """Return a route to services that are written as ``engines=9 plain=1``."""
    pairs = (share.partition("=") for share in shares.split())
    return make_route(
        RequestKind(kind),
        shares=tuple(ServiceShare(service, float(weight or 1)) for service, _, weight in pairs),
    )


async def send(context: Context, kind: str, name: str, headers: dict[str, str]) -> Answer:
    caller = await RawCaller.connect(context.harness.address)
    answer = await caller.ask(request_bytes(f"/{kind}/x", name, **headers))
    caller.writer.close()
    return answer


@when(
    r"(?P<count>\d+) requests that state (?P<model>.+) are sent on a route of kind (?P<kind>\w+)"
    r' to "(?P<shares>[^"]*)"'
)
def step_send(context: Context, count: str, model: str, kind: str, shares: str) -> None:
    context.runner.run(send_all(context, int(count), HEADERS[model], kind, shares))


async def send_all(
    context: Context, count: int, headers: dict[str, str], kind: str, shares: str
) -> None:
    grant(context, route_to(kind, shares))
    started_at = monotonic()
    context.answers = await gather(
        *(send(context, kind, f"r{number}", headers) for number in range(count))
    )
    context.took = monotonic() - started_at


@then(r'all are answered by "(?P<services>[^"]*)", each service at least once')
def step_answered_by(context: Context, services: str) -> None:
    assert all(item.status == 200 and item.is_complete for item in context.answers), [
        item for item in context.answers if item.status != 200
    ]
    ran = {service for run in context.ran.values() for service in run}
    assert ran == set(services.split()), ran


@then(r"all are refused within (?P<limit>[\d.]+) s as not run")
def step_refused(context: Context, limit: str) -> None:
    assert {item.status for item in context.answers} == {NOT_RUN}, context.answers
    assert context.took < float(limit) and not context.ran, (context.took, context.ran)


@then(r"all are answered whole, and each of them by targets of one service")
def step_one_service(context: Context) -> None:
    whole = b"".join(event_bytes(number) for number in range(EVENTS))
    for answer in context.answers:
        assert (answer.status, answer.is_complete, answer.body) == (200, True, whole), answer
    assert {len(run) for run in context.ran.values()} == {2}, context.ran
    assert all(len(set(run)) == 1 for run in context.ran.values()), context.ran


@when(
    r"requests are sent on a route of streams to (?P<before>\w+), and then it is"
    r" (?P<change>moved to \w+|kept while its service is plain)"
)
def step_change_route(context: Context, before: str, change: str) -> None:
    context.runner.run(change_route(context, before, change))


async def change_route(context: Context, before: str, change: str) -> None:
    """Send requests under the first deployment, the changed one, and the first one again."""
    after = before if "kept" in change else change.split()[-1]
    engine_service = OTHER if "kept" in change else ENGINES
    phases = [(before, ENGINES), (after, engine_service), (before, ENGINES)]
    context.phases = []
    for phase, (service, engines) in enumerate(phases):
        grant(context, route_to("stream", service), engines)
        for number in range(2):
            name = f"p{phase}-{number}"
            answer = await send(context, "stream", name, HEADERS["a model"])
            context.phases.append((phase, answer.status, context.ran.get(name)))


@then(
    r"the requests after the change are answered by (?P<after>\w+),"
    r" and those after the change back by (?P<before>\w+)"
)
def step_phases(context: Context, after: str, before: str) -> None:
    expected = [(phase, 200, [name]) for phase, name in enumerate((before, after, before))]
    assert context.phases == [item for item in expected for _ in range(2)], context.phases
