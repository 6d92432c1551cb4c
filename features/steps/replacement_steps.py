"""Steps that test the replacement of a control instance at another address."""

from collections.abc import Iterator
from typing import Any

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context

from jaylatch_core.ids import InstanceId
from jaylatch_decisions.consensus.membership import VoterRoster, VoterSet
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    configuration_text,
    create_operator,
    hash_key,
    read_status,
    wait_until,
)

JOINING = "control-4"
REPLICATED_LOGS = {"control", "journal-0", "journal-1"}
NOW = 100.0
MAX_CHANGES = 12
WAIT_TIMEOUT = 30.0
"""Seconds."""

use_step_matcher("re")


@given(r"a quorum of 3 control instances that are named by their addresses")
def step_quorum(context: Context) -> None:
    plan = ClusterPlan(controls=3, entries=1, engines=0, names_controls_by_address=True)
    context.cluster = Cluster(context.folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    context.cluster.start()
    context.runner.run(wait_for_generation(context.cluster, 1))


@when(r"(?P<lost>.+) is permanently lost and an empty instance that knows (?P<known>.+) starts")
def step_replace(context: Context, lost: str, known: str) -> None:
    context.lost = find_control(context, lost)
    context.cluster.kill(context.lost)
    names = known.split(", ")
    if known == "the others":
        names = [name for name in context.cluster.controls if name != context.lost]
    peers = [context.cluster.nodes[name].stream for name in names]
    context.cluster.add_control(JOINING, 3, peers)
    context.cluster.start_node(JOINING)


@then(r"the new instance becomes a voter in place of .+ within (?P<limit>\d+) s")
def step_becomes_voter(context: Context, limit: str) -> None:
    stream = context.cluster.nodes[JOINING].stream
    log = context.folder / f"{JOINING}.log"
    context.runner.run(wait_for_voter(context, stream, float(limit)))
    assert log.exists()


@then(r"a change is accepted and read back after (?P<second>.+) is lost too")
def step_change_accepted(context: Context, second: str) -> None:
    context.cluster.kill(find_control(context, second))
    context.runner.run(change_configuration(context.cluster))


@given(
    r'the voters "(?P<voters>[^"]*)" of which "(?P<unresponsive>[^"]*)" are unresponsive,'
    r" and (?P<wanted>\d+) are wanted"
)
def step_voters(context: Context, voters: str, unresponsive: str, wanted: str) -> None:
    context.voters = tuple(InstanceId(item) for item in voters.split())
    context.unresponsive = [InstanceId(item) for item in unresponsive.split()]
    context.wanted = int(wanted)


@when(r"(?P<joining>[\w ]+)(?:, while (?P<leaving>[\w ]+) ends,)? asks to become a voter")
def step_asks_to_join(context: Context, joining: str, leaving: str | None) -> None:
    names = [] if joining == "nobody" else joining.split()
    context.steps = list(plan_until_settled(context, names, (leaving or "").split()))


def plan_until_settled(
    context: Context, joining: list[str], leaving: list[str]
) -> Iterator[tuple[InstanceId, ...]]:
    """Yield the voters after each change; one that is removed while it runs asks again."""
    roster = VoterRoster()
    voters = context.voters
    for name in joining:
        is_successor = not name.isupper()
        roster.record_request(NOW, InstanceId(name), disk_of(name), is_successor=is_successor)
    for name in leaving:
        roster.record_leave(NOW, InstanceId(name))
    for _ in range(MAX_CHANGES):
        lost = tuple(voter for voter in context.unresponsive if voter in voters)
        disks = {voter: disk_of(voter) for voter in voters}
        voter_set = VoterSet(voters, voters[0], context.wanted, lost, disks)
        change = roster.plan(NOW, voter_set)
        if change is None:
            return
        voters = voter_set.after(change)
        for name in set(voter_set.voters) - set(voters) - set(lost) - set(leaving):
            roster.record_request(NOW, name, disk_of(name))
        yield voters
    raise AssertionError(f"the voters never settle: {voters}")


def disk_of(instance: str) -> int:
    """Return the number of an instance's disk."""
    return ord(instance)


@then(r'the voters become, step by step, "(?P<steps>[^"]*)"')
def step_voters_become(context: Context, steps: str) -> None:
    assert "/".join(" ".join(item) for item in context.steps) == steps, context.steps


def find_control(context: Context, which: str) -> str:
    """Return the control instance that ``which`` names, or the leader, or a follower."""
    if which.startswith("control-"):
        return which
    status = context.runner.run(read_status(context.cluster, WAIT_TIMEOUT))
    names = {context.cluster.nodes[name].stream: name for name in context.cluster.controls}
    leader = names[status["leader"]]
    if which == "the leader":
        return leader
    running = [name for name in context.cluster.controls if name in context.cluster.processes]
    return next(name for name in running if name not in (leader, JOINING))


async def wait_for_generation(cluster: Cluster, generation: int) -> None:
    """Wait until a configuration of at least ``generation`` is in force."""
    operator = create_operator(cluster)

    async def has_generation() -> bool:
        cluster.raise_if_ended()
        status = await operator.get("status")
        return bool(status and status.get("generation", 0) >= generation)

    await wait_until(has_generation, WAIT_TIMEOUT, f"generation {generation} is in force")


async def wait_for_voter(context: Context, stream: str, limit: float) -> None:
    """Wait until the new instance has replaced the lost one as a voter of every replicated log."""

    lost = context.cluster.nodes[context.lost].stream

    async def is_voter() -> bool:
        changes = [change for change in read_voter_changes(context) if lost not in change["voters"]]
        changed = {change["log"] for change in changes if stream in change["voters"]}
        return changed == REPLICATED_LOGS

    await wait_until(is_voter, limit, "the new instance is a voter")


def read_voter_changes(context: Context) -> list[dict[str, Any]]:
    """Return the changes of voters that the running control instances have logged."""
    changes = []
    for name in context.cluster.controls:
        if name in context.cluster.processes:
            log = (context.folder / f"{name}.log").read_text(errors="replace")
            lines = [line for line in log.splitlines() if '"message": "voters"' in line]
            changes += [msgspec.json.decode(line) for line in lines]
    return changes


async def change_configuration(cluster: Cluster) -> None:
    """Apply a change and wait until it is in force."""
    status = await read_status(cluster, WAIT_TIMEOUT)
    operator = create_operator(cluster)
    generation = status["generation"]
    text = configuration_text(instances_per_group=3).encode()
    headers = {"X-Command-Id": "change-after-loss", "X-Expected-Generation": str(generation)}

    async def is_accepted() -> bool:
        answer = await operator.put("configuration", text, headers)
        return bool(answer and answer.get("type") == "CommandAccepted")

    await wait_until(is_accepted, WAIT_TIMEOUT, "a change is accepted")
    await wait_for_generation(cluster, generation + 1)
