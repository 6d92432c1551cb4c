"""Steps that test a lease at its holder and at its grantor."""

from behave import given, then, when
from behave.runner import Context

from jaylatch_core.enums import Role
from jaylatch_core.ids import FailureDomainId, Generation, Incarnation, InstanceId
from jaylatch_core.messages.membership import RenewLease
from jaylatch_decisions.leases import HeldLease, LeaseTable

LEASE_DURATION = 4.0
"""Seconds."""
HOLDER = InstanceId("h")


def make_renewal(instance: str, generation: int) -> RenewLease:
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
    # The grantor was elected long ago, so it knows every holder.
    context.lease_table = LeaseTable(LEASE_DURATION, bound, leader_since=-100.0)


@when("the renewal is sent at 0 s, granted at {granted:g} s and the answer comes at {answered:g} s")
def step_grant(context: Context, granted: float, answered: float) -> None:
    context.lease_table.grant(granted, make_renewal(HOLDER, 1))
    assert not context.held.is_valid(answered * context.rate)
    context.held.extend(0.0, LEASE_DURATION)


@then("at {time:g} s the holder {acts} and for the grantor the lease {lapsed}")
def step_verdict(context: Context, time: float, acts: str, lapsed: str) -> None:
    found = "acts" if context.held.is_valid(time * context.rate) else "does not"
    has_lapsed = context.lease_table.has_lapsed(time, HOLDER)
    assert (found, has_lapsed) == (acts, lapsed == "has lapsed"), (found, has_lapsed)
    assert not (context.held.is_valid(time * context.rate) and has_lapsed)


@given("a leader elected at 100 s with leases of 4 s and no drift")
def step_leader(context: Context) -> None:
    context.lease_table = LeaseTable(LEASE_DURATION, 0.0, leader_since=100.0)


@given('holders "{holders}" that renewed at 101 s having acknowledged "{acknowledged}"')
def step_holders(context: Context, holders: str, acknowledged: str) -> None:
    for name, generation in zip(holders.split(), acknowledged.split(), strict=True):
        context.lease_table.grant(101.0, make_renewal(name, int(generation)))


@then('at {time:g} s generation 2 is {verdict} and instance "z" {lapsed}')
def step_in_force(context: Context, time: float, verdict: str, lapsed: str) -> None:
    lagging = context.lease_table.lagging_holders(time, Generation(2), Generation(0))
    is_in_force = context.lease_table.knows_all(time) and not lagging
    assert is_in_force == (verdict == "in force"), lagging
    assert context.lease_table.has_lapsed(time, InstanceId("z")) == (lapsed == "has lapsed")
