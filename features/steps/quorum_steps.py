"""Steps that test a control quorum of real processes."""

from asyncio import create_task, sleep
from resource import RLIMIT_FSIZE, prlimit
from shutil import rmtree

from behave import given, then, when
from behave.runner import Context

from jaylatch_standins.caller import Caller, CallerOutcome
from jaylatch_standins.cluster import Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    SERVICE,
    read_status,
    wait_for_groups,
    wait_until,
)
from jaylatch_standins.quorum import (
    ConfigurationHistory,
    isolate,
    start_quorum,
    wait_for_configuration,
)

LEADER_OUTAGE = 1.5
"""Seconds; longer than the leader's lease."""
PARTITION_DURATION = 4.0
"""Seconds of a partition, and for a restarted instance to catch up."""
CHANGES_BEFORE_FAULT = 5
FULL_DISK_DURATION = 3.0
"""Seconds for which the disks are full, and for the report of the recovery."""
FULL_FILE_BYTES = 1
ENTRY_TIME = 0.5
"""Seconds within which the next change reaches the followers."""


@given("a running control quorum")
def step_quorum(context: Context) -> None:
    async def start() -> None:
        plan = ClusterPlan(controls=3, entries=1, domains=1, engines=0)
        context.cluster, context.links = start_quorum(context.folder, plan, has_proxies=True)
        await wait_for_configuration(context.cluster)

    context.runner.run(start())


@when("{number:d} changes are applied while {fault}")
def step_changes(context: Context, number: int, fault: str) -> None:
    async def run() -> ConfigurationHistory:
        history = ConfigurationHistory(context.cluster)
        history.start_reading()
        for _ in range(CHANGES_BEFORE_FAULT):
            await history.change()
        injection = create_task(inject(context, fault))
        for _ in range(number - CHANGES_BEFORE_FAULT):
            await history.change()
            await sleep(0.1)
        await injection
        await history.change()
        history.stop_reading()
        await history.check_final()
        return history

    context.history = context.runner.run(run())


async def inject(context: Context, fault: str) -> None:
    cluster = context.cluster
    leader = (await read_status(cluster))["leader"]
    follower = next(name for name in cluster.controls if name != leader)
    match fault:
        case "the leader is killed and restarted":
            cluster.kill(leader)
            await sleep(LEADER_OUTAGE)
            cluster.start_node(leader)
        case "the leader is paused past its lease and resumed":
            cluster.pause(leader)
            await sleep(LEADER_OUTAGE)
            cluster.resume(leader)
        case "the leader is partitioned and reconnected":
            await partition(context, leader)
        case "a follower is partitioned and reconnected":
            await partition(context, follower)
        case "all control processes are killed at once":
            for name in cluster.controls:
                cluster.kill(name)
            for name in cluster.controls:
                cluster.start_node(name)
        case "a follower loses its disk":
            cluster.kill(follower)
            rmtree(cluster.folder / follower)
            await restart_and_kill_other(cluster, follower)
        case "a follower's disk is damaged":
            cluster.kill(follower)
            path = next((cluster.folder / follower / "control").glob("segment-*"))
            data = bytearray(path.read_bytes())
            data[len(data) // 2] ^= 0xFF
            path.write_bytes(bytes(data))
            await restart_and_kill_other(cluster, follower)
        case "the leader's disk is full for 3 s":
            await fill_disks(context, [leader])
        case "a follower's disk is full for 3 s":
            await fill_disks(context, [follower])
        case "all disks are full for 3 s":
            # A voter that has nothing to write does not notice: the followers get entries first.
            followers = [name for name in cluster.controls if name != leader]
            await fill_disks(context, followers, [leader])
        case _:
            raise AssertionError(f"unknown fault {fault!r}")


async def fill_disks(context: Context, *sets: list[str]) -> None:
    """Make the kernel refuse each write that makes a file of the processes longer.

    All of them are full for ``FULL_DISK_DURATION``, and each set of them before the next one.
    """
    context.full = [name for names in sets for name in names]
    limits = {}
    for number, names in enumerate(sets):
        if number:
            await sleep(ENTRY_TIME)
        for name in names:
            pid = context.cluster.processes[name].pid
            limits[pid] = prlimit(pid, RLIMIT_FSIZE)
            prlimit(pid, RLIMIT_FSIZE, (FULL_FILE_BYTES, limits[pid][1]))
    await sleep(FULL_DISK_DURATION)
    for pid, limit in limits.items():
        prlimit(pid, RLIMIT_FSIZE, limit)


async def partition(context: Context, name: str) -> None:
    isolate(context.links, name, is_isolated=True)
    await sleep(PARTITION_DURATION)
    isolate(context.links, name, is_isolated=False)


async def restart_and_kill_other(cluster: Cluster, lost: str) -> None:
    """Restart the instance and kill one other, so that the quorum depends on the restarted one."""
    cluster.start_node(lost)
    await sleep(PARTITION_DURATION)
    leader = (await read_status(cluster))["leader"]
    other = next(name for name in cluster.controls if name not in (lost, leader))
    cluster.kill(other)


@then("no control process has ended, and each affected one reported its disk")
def step_none_ended(context: Context) -> None:
    cluster = context.cluster
    cluster.raise_if_ended()
    assert all(cluster.processes[name].poll() is None for name in cluster.controls)

    async def run() -> None:
        await sleep(FULL_DISK_DURATION)

    context.runner.run(run())
    for name in context.full:
        # The log file is as full as the disk, so only the line on the recovery is sure to be there.
        text = (cluster.folder / f"{name}.log").read_text()
        assert '"message": "disk"' in text and '"state": "usable"' in text, text[-2000:]


@when("{number:d} changes are applied and all control processes are restarted")
def step_restart(context: Context, number: int) -> None:
    async def run() -> ConfigurationHistory:
        history = ConfigurationHistory(context.cluster)
        for _ in range(number):
            await history.change()
        for name in context.cluster.controls:
            context.cluster.kill(name)
        for name in context.cluster.controls:
            context.cluster.start_node(name)
        await history.check_final()
        await history.change()
        return history

    context.history = context.runner.run(run())


@then("no accepted change was lost, and every read was current")
def step_no_change_lost(context: Context) -> None:
    assert not context.history.violations, context.history.violations[:5]
    assert context.history.reads > 0, "no read succeeded, so no read was checked"


@given("a running deployment with a group and a service")
def step_deployment(context: Context) -> None:
    async def start() -> None:
        plan = ClusterPlan(controls=3, entries=1, domains=1, services={SERVICE: 1})
        context.cluster, _ = start_quorum(context.folder, plan, has_proxies=False)
        await wait_for_groups(context.cluster, 1)
        caller = Caller(context.cluster.entries[0], ACCOUNT_KEYS["skarvik"])

        async def is_served() -> bool:
            return (await caller.order(SERVICE, "orders", "first", "key-first")).is_complete

        await wait_until(is_served, 60.0, "the service answers")

    context.runner.run(start())


@when("the control leader is killed while requests are sent")
def step_leader_killed(context: Context) -> None:
    async def run() -> list[CallerOutcome]:
        cluster = context.cluster
        caller = Caller(cluster.entries[0], ACCOUNT_KEYS["skarvik"])
        running = []
        for number in range(60):
            if number == 10:
                cluster.kill((await read_status(cluster))["leader"])
            prompt = caller.complete(MODEL, f"prompt {number}", 5, is_streamed=True)
            order = caller.order(SERVICE, "orders", f"order-{number}", f"key-{number}")
            running += [create_task(prompt), create_task(order)]
            await sleep(0.1)
        return [await task for task in running]

    context.outcomes = context.runner.run(run())


@then("every request got a complete answer")
def step_all_complete(context: Context) -> None:
    incomplete = [outcome for outcome in context.outcomes if not outcome.is_complete]
    assert not incomplete, incomplete[:3]
