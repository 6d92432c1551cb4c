"""Steps that test replicated logs on disk, connected to each other on the test's event loop."""

from asyncio import create_task
from collections.abc import Awaitable
from pathlib import Path
from shutil import rmtree

from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful
from support.log_network import FIRST_VOTERS, SPARE, WAIT_TIMEOUT, LogNetwork

from jaylatch_core.exceptions import JaylatchError, StorageCorrupt, StorageFailed
from jaylatch_core.ids import InstanceId
from jaylatch_node.consensus import change_voters
from jaylatch_standins.deployment import wait_until


def run_with_ticks(context: Context, work: Awaitable[None]) -> None:
    async def run() -> None:
        network = context.network
        network.timer = create_task(network.tick())
        try:
            await work
        finally:
            network.timer.cancel()

    context.runner.run(run())


@given("3 connected logs and a spare")
def step_logs(context: Context) -> None:
    context.network = LogNetwork(context.folder)
    for name in (*FIRST_VOTERS, SPARE):
        context.network.start(name)


@given("{number:d} committed commands of {size:d} bytes")
def step_commands(context: Context, number: int, size: int) -> None:
    async def run() -> None:
        for index in range(number):
            await context.network.propose(f"{index}".encode().ljust(size))

    run_with_ticks(context, run())


@when("this happens to the log: {event}")
def step_event(context: Context, event: str) -> None:
    run_with_ticks(context, apply_event(context.network, event))


async def apply_event(network: LogNetwork, event: str) -> None:
    async def has_leader() -> bool:
        return network.leader is not None

    await wait_until(has_leader, WAIT_TIMEOUT, "a leader is elected")
    leader = network.leader
    assert leader is not None
    log = network.logs[leader]
    follower = next(name for name in FIRST_VOTERS if name != leader)
    remaining = tuple(name for name in FIRST_VOTERS if name != follower)
    match event:
        case "the spare joins":
            changed = await change_voters(log, (*FIRST_VOTERS, SPARE), WAIT_TIMEOUT)
            assert is_successful(changed), changed
        case "the leader is removed":
            others = tuple(name for name in FIRST_VOTERS if name != leader)
            changed = await change_voters(log, others, WAIT_TIMEOUT)
            assert is_successful(changed), changed
        case "a follower is removed":
            changed = await change_voters(log, remaining, WAIT_TIMEOUT)
            assert is_successful(changed), changed
            network.stop(follower)
        case "a follower is removed while it runs":
            changed = await change_voters(log, remaining, WAIT_TIMEOUT)
            assert is_successful(changed), changed

            async def knows_it() -> bool:
                removed = network.logs[follower]
                return follower not in removed.voters and not removed.leader

            await wait_until(knows_it, WAIT_TIMEOUT, "the removed follower knows it")
        case "a follower is restarted":
            network.stop(follower)
            await network.propose(b"while it was away")
            network.start(follower)
        case "a follower loses its folder":
            network.stop(follower)
            rmtree(network.folder / follower)
            network.start(follower)
        case "a follower's snapshot is damaged":
            network.stop(follower)
            damage_snapshot(network.folder / follower)
            network.start(follower)
            assert network.logs[follower].set_aside_folder is not None
        case "the leader transfers leadership and stops":
            network.stop(leader)
        case "a follower's disk is full":
            network.disks[follower].is_full = True
            await network.propose(b"without it")

            async def has_failed() -> bool:
                # The write fails on the worker thread, perhaps after the others have committed.
                return network.logs[follower].failure is not None

            await wait_until(has_failed, WAIT_TIMEOUT, "the follower's write fails")
            assert isinstance(network.logs.pop(follower).failure, StorageFailed)
        case "the leader's disk is full":
            network.disks[leader].is_full = True
            refused = await log.propose(b"refused")
            assert isinstance(refused.failure(), StorageFailed), refused
            assert not log.is_leader
            network.logs.pop(leader)
        case _:
            raise AssertionError(f"unknown event {event!r}")


def damage_snapshot(folder: Path) -> None:
    path = folder / "snapshot"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(bytes(data))


@then("another command commits, and all voters reach the same state")
def step_same_state(context: Context) -> None:
    network = context.network

    async def run() -> None:
        await network.propose(b"last")

        async def is_same() -> bool:
            name = network.leader
            if name is None:
                return False
            voters = [voter for voter in network.logs[name].voters if voter in network.logs]
            states = {network.machines[voter].digest for voter in voters}
            recovering = any(network.logs[voter].is_recovering for voter in voters)
            return len(states) == 1 and len(voters) > 1 and not recovering

        await wait_until(is_same, WAIT_TIMEOUT, "all voters have the same state")

    run_with_ticks(context, run())
    assert max(machine.count for machine in network.machines.values()) >= 201


@then("each folder holds less than {limit:d} bytes")
def step_folder_size(context: Context, limit: int) -> None:
    for name in FIRST_VOTERS:
        files = (context.network.folder / name).iterdir()
        size = sum(path.stat().st_size for path in files)
        assert 0 < size < limit, (name, size)


@given("a single-voter log with a damaged snapshot")
def step_single_voter(context: Context) -> None:
    network = LogNetwork(context.folder)
    context.network = network
    sole = InstanceId("sole")
    network.start(sole, (sole,))

    async def run() -> None:
        for _ in range(60):
            await network.propose(b"x" * 20000)

    run_with_ticks(context, run())
    network.stop(sole)
    damage_snapshot(network.folder / sole)


@then("its start fails with storage corrupt")
def step_start_fails(context: Context) -> None:
    sole = InstanceId("sole")
    try:
        context.network.start(sole, (sole,))
    except JaylatchError as error:
        assert isinstance(error.failure, StorageCorrupt), error
    else:
        raise AssertionError("a single-voter log with a damaged snapshot was opened")
