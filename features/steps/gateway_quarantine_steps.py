"""Steps on the quarantine of requests that cause deaths of their direct targets."""

from asyncio import create_task, sleep

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import DOMAIN, HOST, MODEL, Answer, RawCaller, request_bytes
from tornado.httputil import HTTPHeaders

from jaylatch_core.clock import monotonic
from jaylatch_core.ids import AttemptId, InstanceId, PromptPartId, RequestDigest, TargetDeathId
from jaylatch_core.messages.membership import TargetDeath
from jaylatch_core.messages.targets import SuspectTarget, TargetAcknowledged, TargetCheckIn
from jaylatch_decisions.targets import EngineOrder, ProbeOutcome, TargetRecord, TargetRegistry
from jaylatch_node.control.targets import TargetController
from jaylatch_node.gateway.job import digest_of
from jaylatch_node.targets import InboundRequest, OrderOutcome

TARGET = InstanceId("target")
QUARANTINE_DELAY_SECONDS = 0.1
"""After the request was sent, and before the gateway abandons a silent target."""

use_step_matcher("re")


@given(r"(?P<deaths>\d) targets have died while running the request of kind (?P<kind>\w+)")
def step_deaths(context: Context, deaths: str, kind: str) -> None:
    request = InboundRequest(
        AttemptId("r1"), "POST", f"/{kind}/x", HOST, HTTPHeaders(), b"body", None, None, None, None
    )
    digest = digest_of(request, None)
    found = tuple(TargetDeath(TargetDeathId(f"t{n}"), (digest,)) for n in range(int(deaths)))
    view = context.harness.board.grant.view
    context.harness.board.grant.view = type(view)(
        view.version + 1, view.groups, view.services, found
    )
    context.harness.role.on_grant()


@given(r"the part p of prompts is quarantined")
def step_part_quarantined(context: Context) -> None:
    quarantine_part(context)


def quarantine_part(context: Context) -> None:
    grant = context.harness.board.grant
    grant.view = msgspec.structs.replace(
        grant.view, version=grant.view.version + 1, quarantined_parts=(PromptPartId("p"),)
    )
    context.harness.role.on_grant()


async def request_stream(context: Context, parts: str) -> Answer:
    caller = await RawCaller.connect(context.harness.address)
    return await caller.ask(request_bytes("/stream/x", X_Model=MODEL, X_Parts=parts))


@when(r'a stream with the parts "(?P<parts>[^"]*)" is requested')
def step_stream_with_parts(context: Context, parts: str) -> None:
    context.answer = context.runner.run(request_stream(context, parts))


@when(
    r'a stream with the parts "(?P<parts>[^"]*)" is requested,'
    r" and the part p is quarantined meanwhile"
)
def step_quarantined_meanwhile(context: Context, parts: str) -> None:
    async def request_and_quarantine() -> Answer:
        answer = create_task(request_stream(context, parts))
        await sleep(QUARANTINE_DELAY_SECONDS)
        quarantine_part(context)
        return await answer

    context.answer = context.runner.run(request_and_quarantine())


@given(r"control, which records what the gateway reports")
def step_recording_control(context: Context) -> None:
    context.reported = []

    async def record(log: str, body: SuspectTarget, timeout: float) -> object:
        context.reported.append(body)
        return TargetAcknowledged(body.instance)

    context.harness.client.call = record


@then(r'control was told of interrupted requests with the parts "(?P<parts>[^"]*)"')
def step_told(context: Context, parts: str) -> None:
    found = [item.parts for item in context.reported if item.digest]
    assert found == ([tuple(parts.split())] if parts else []), context.reported


@when(r'the leader suspects the parts "(?P<parts>[^"]*)"')
def step_suspected(context: Context, parts: str) -> None:
    grant = context.harness.board.grant
    suspected = tuple(PromptPartId(part) for part in parts.split())
    grant.view = msgspec.structs.replace(grant.view, suspected_parts=suspected)


@then(r'the gateway reports an answer to "(?P<parts>[^"]*)"')
def step_answer_reported(context: Context, parts: str) -> None:
    found = context.harness.role.report_answered_parts(monotonic())
    assert found == tuple(parts.split()), found


@given(
    r"control and a target that"
    r" (?P<state>answers|does not answer|accepts connections silently) when it is probed"
)
def step_control(context: Context, state: str) -> None:
    async def probe(record: TargetRecord, is_repeated: bool) -> ProbeOutcome:
        return {
            "answers": ProbeOutcome.ANSWERED,
            "does not answer": ProbeOutcome.UNREACHABLE,
            "accepts connections silently": ProbeOutcome.SILENT,
        }[state]

    async def send(record: TargetRecord, order: EngineOrder, fence: int) -> OrderOutcome:
        return OrderOutcome.ACCEPTED

    registry = TargetRegistry(3.0, started_at=0.0)
    registry.record_heartbeat(
        1.0, TargetCheckIn(TARGET, "service", "10.0.0.1:80", DOMAIN, DOMAIN, 1, 1, False)
    )
    context.control = TargetController(registry, 1, send, probe, True, now=1.0)


@when(r'a gateway reports that the connection of request "(?P<digest>\w+)" to it ended')
def step_report(context: Context, digest: str) -> None:
    async def report() -> None:
        context.control.suspect(2.0, TARGET, [], RequestDigest(digest))
        await sleep(0.05)

    context.runner.run(report())


@then(r'the deaths that control reports are "(?P<deaths>\w*)"')
def step_reported_deaths(context: Context, deaths: str) -> None:
    found = [digest for death in context.control.deaths for digest in death.digests]
    assert found == deaths.split(), found
