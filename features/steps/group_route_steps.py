"""Steps on the routes that the control leader grants to groups of direct targets."""

from behave import given, then, use_step_matcher
from behave.runner import Context
from direct_target_steps import parse_membership

from jaylatch_core.deployment import (
    Deployment,
    DeploymentNumber,
    EngineProfile,
    ModelProfile,
    ServiceProfile,
)
from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_core.messages.targets import TargetCheckIn
from jaylatch_decisions.targets import EngineOrder, ProbeOutcome, TargetRecord, TargetRegistry
from jaylatch_node.control.targets import TargetController
from jaylatch_node.targets import OrderOutcome

SERVICE = "models"
ENGINE = EngineProfile(24, (ModelProfile("model", 2, pace=0.6),), span_factor=2.5)
NOW_SECONDS = 5.0

use_step_matcher("re")


async def send(record: TargetRecord, order: EngineOrder, fence: int) -> OrderOutcome:
    """Accept any order."""
    return OrderOutcome.ACCEPTED


async def probe(record: TargetRecord, is_repeated: bool) -> ProbeOutcome:
    """Pass any health check."""
    return ProbeOutcome.ANSWERED


@given(r'the direct targets "(?P<targets>[^"]*)"')
def step_direct_targets(context: Context, targets: str) -> None:
    registry = TargetRegistry(3.0, started_at=0.0)
    for number, text in enumerate(targets.split()):
        name_and_domain, _, membership = text.rstrip("!").partition("=")
        name, _, domain = name_and_domain.partition(".")
        registry.record_heartbeat(
            NOW_SECONDS,
            TargetCheckIn(
                InstanceId(name),
                SERVICE,
                f"10.0.0.{number}:80",
                FailureDomainId(domain),
                FailureDomainId(domain),
                1,
                1,
                text.endswith("!"),
                membership=parse_membership(membership),
            ),
        )
    context.controller = TargetController(registry, 1, send, probe, True, NOW_SECONDS)
    services = (ServiceProfile(SERVICE, 100, ENGINE),)
    context.controller.use_deployment(Deployment(DeploymentNumber(1), (), services))


@then(r'the group routes are "(?P<routes>[^"]*)"')
def step_group_routes(context: Context, routes: str) -> None:
    found = [
        f"{route.head}:{route.slots}" + (" ending" if route.is_ending else "")
        for route in context.controller.group_routes(NOW_SECONDS, context.groups)
    ]
    assert " ".join(found) == routes, found
