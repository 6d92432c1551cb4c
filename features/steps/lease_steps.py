"""Steps on the pure leases of holder and grantor."""

from behave import given, then, when
from behave.runner import Context

from jaylatch_core.enums import Role
from jaylatch_core.ids import FailureDomainId, Generation, Incarnation, InstanceId
from jaylatch_core.messages.membership import RenewLease
from jaylatch_decisions.leases import HeldLease, LeaseTable

DURATION = 4.0
HOLDER = InstanceId("h")


def renewal(instance: str, generation: int) -> RenewLease:
    return RenewLease(
        InstanceId(instance),
        Incarnation("1"),
        (Role.ENTRY,),
        FailureDomainId("d"),
        "",
        Generation(generation),
        Generation(0),
        0,
        None,
        Generation(0),
    )


@given("a lease of 4 s with a drift bound of {bound:g} and a holder whose clock runs at {rate:g}")
def step_lease(context: Context, bound: float, rate: float) -> None:
    context.rate = rate
    context.held = HeldLease(bound)
    # The grantor has led for long, so it knows every holder.
    context.lease_table = LeaseTable(DURATION, bound, leader_since=-100.0)


@when("the renewal is sent at 0 s, granted at {granted:g} s and the answer comes at {answered:g} s")
def step_grant(context: Context, granted: float, answered: float) -> None:
    context.lease_table.grant(granted, renewal(HOLDER, 1))
    assert not context.held.is_valid(answered * context.rate)
    context.held.extend(0.0, DURATION)


@then("at {time:g} s the holder {acts} and the grantor says that it {lapsed}")
def step_verdict(context: Context, time: float, acts: str, lapsed: str) -> None:
    found = "acts" if context.held.is_valid(time * context.rate) else "does not"
    is_gone = context.lease_table.is_gone(time, HOLDER)
    assert (found, is_gone) == (acts, lapsed == "has lapsed"), (found, is_gone)
    assert not (context.held.is_valid(time * context.rate) and is_gone)


@given("a leader elected at 100 s with leases of 4 s and no drift")
def step_leader(context: Context) -> None:
    context.lease_table = LeaseTable(DURATION, 0.0, leader_since=100.0)


@given('holders "{holders}" that renewed at 101 s having acknowledged "{acknowledged}"')
def step_holders(context: Context, holders: str, acknowledged: str) -> None:
    for name, generation in zip(holders.split(), acknowledged.split(), strict=True):
        context.lease_table.grant(101.0, renewal(name, int(generation)))


@then('at {time:g} s generation 2 is {verdict} and instance "z" {lapsed}')
def step_in_force(context: Context, time: float, verdict: str, lapsed: str) -> None:
    behind = context.lease_table.lagging_holders(time, Generation(2), Generation(0))
    is_in_force = context.lease_table.knows_all(time) and not behind
    assert is_in_force == (verdict == "in force"), behind
    assert context.lease_table.is_gone(time, InstanceId("z")) == (lapsed == "has lapsed")
