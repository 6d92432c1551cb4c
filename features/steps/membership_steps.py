"""Steps that inject faults into members of groups under load and check the engines' ledger."""

from asyncio import gather, sleep

from behave import given, then, when
from behave.runner import Context

from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import configuration_text, hash_key, wait_for_groups
from jaylatch_standins.domain_faults import FAULTS, DomainFaults, put_proxies_before_control
from jaylatch_standins.group_verifier import GroupVerifier
from jaylatch_standins.steady_load import SteadyLoad

SETTLING_SECONDS = 1.0
ENGINES_PER_DOMAIN = 4
ENGINE_OPTIONS = ("--ledger-tokens", "--order-delay", "1.4", "--load-time", "0.3")


@given('engines that {fencing} fencing numbers, in a failure domain for each of "{faults}"')
def step_domains(context: Context, fencing: str, faults: str) -> None:
    context.fencing = fencing
    context.faults = [FAULTS[name.strip()] for name in faults.split(";")]
    plan = ClusterPlan(
        controls=1,
        domains=len(context.faults),
        engines=ENGINES_PER_DOMAIN,
        engine_options=ENGINE_OPTIONS,
        has_fencing=fencing == "check",
    )
    context.cluster = Cluster(context.folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    context.runner.run(start_behind_proxies(context))


async def start_behind_proxies(context: Context) -> None:
    cluster = context.cluster
    engines = [name for name in cluster.nodes if name.startswith("engine")]
    proxies = {name: put_proxies_before_control(cluster, name) for name in engines}
    context.domains = [
        DomainFaults(cluster, f"domain-{number}", proxies)
        for number in range(1, len(context.faults) + 1)
    ]
    cluster.start()
    await wait_for_groups(cluster, len(context.domains))


@when("each fault happens in its failure domain under load")
def step_faults(context: Context) -> None:
    async def run() -> None:
        load = SteadyLoad(context.cluster.entries, callers=2 * len(context.domains), tokens=40)
        load.start()
        await sleep(SETTLING_SECONDS)
        pairs = zip(context.faults, context.domains, strict=True)
        await gather(*(fault(domain) for fault, domain in pairs))
        await sleep(SETTLING_SECONDS)
        await load.stop()
        context.outcomes = load.outcomes
        context.groups = await gather(*(domain.wait_for_group() for domain in context.domains))

    context.runner.run(run())
    context.verifier = GroupVerifier(context.cluster.ledger)


@then("every failure domain serves again")
def step_all_serve(context: Context) -> None:
    assert len(context.groups) == len(context.domains)


@then("no group served with a member missing for longer than the bound")
def step_complete(context: Context) -> None:
    assert context.verifier.tokens > 0, "no token was generated, so nothing was tested"
    faults = context.verifier.served_incomplete()
    assert not faults, faults[:10]


@then("no request started at a group whose member had joined another")
def step_two_groups(context: Context) -> None:
    faults = context.verifier.started_in_two_groups()
    assert not faults, faults[:10]


@then("no engine received an order during another or returned to an older epoch")
def step_orders(context: Context) -> None:
    faults = context.verifier.overlapping_orders() + context.verifier.reversed_epochs()
    if context.fencing == "ignore":
        faults += context.verifier.orders_in_flight_together()
    assert not faults, faults[:10]


@then("every request was answered completely or refused with its outcome")
def step_answers(context: Context) -> None:
    complete = [outcome for outcome in context.outcomes if outcome.is_complete]
    assert complete, "nothing was answered, so nothing was tested"
    broken = [
        outcome for outcome in context.outcomes if not outcome.is_complete and not outcome.outcome
    ]
    assert not broken, broken[:5]
