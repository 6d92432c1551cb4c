"""Steps that test replicated logs on disk, connected to each other on the test's event loop."""

import errno
from asyncio import Task, create_task, get_running_loop, sleep
from collections.abc import Awaitable
from hashlib import sha256
from pathlib import Path
from shutil import rmtree

from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful

from jaylatch_core.clock import monotonic
from jaylatch_core.exceptions import JaylatchError, StorageCorrupt, StorageFailed
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.consensus import ConsensusMessage
from jaylatch_decisions.consensus import RaftTiming
from jaylatch_node.consensus import ReplicatedLog, StateMachine
from jaylatch_node.storage import FileSystem
from jaylatch_standins.deployment import wait_until

FAST_TIMING = RaftTiming(heartbeat_interval=0.05, election_timeout=0.3)
TICK_INTERVAL_SECONDS = 0.02
WAIT_TIMEOUT = 20.0
"""Seconds."""
FIRST_VOTERS = tuple(InstanceId(name) for name in ("a", "b", "c"))
SPARE = InstanceId("spare")


class FullDisk(FileSystem):
    """Fails each write with ENOSPC once it is full."""

    is_full = False

    def write(self, descriptor: int, data: bytes) -> int:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")
        return super().write(descriptor, data)


class DigestMachine:
    """State machine that keeps a digest and a count of its commands, with a padded dump."""

    def __init__(self) -> None:
        self.count = 0
        self.digest = b"\0" * 32

    def apply(self, command: bytes) -> int:
        self.count += 1
        self.digest = sha256(self.digest + command).digest()
        return self.count

    def dump(self) -> bytes:
        return self.count.to_bytes(8, "big") + self.digest + b"x" * 700_000

    def load(self, data: bytes) -> None:
        self.count = int.from_bytes(data[:8], "big")
        self.digest = data[8:40]


class LogNetwork:
    """Logs on one event loop; a message is delivered in the next iteration of the loop."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.logs: dict[InstanceId, ReplicatedLog[int]] = {}
        self.machines: dict[InstanceId, DigestMachine] = {}
        self.disks: dict[InstanceId, FullDisk] = {}
        self.timer: Task[None] | None = None

    def start(self, name: InstanceId, voters: tuple[InstanceId, ...] = FIRST_VOTERS) -> None:
        machine = DigestMachine()
        self.machines[name] = machine
        self.disks[name] = FullDisk()
        self.logs[name] = ReplicatedLog(
            "log",
            name,
            voters,
            FAST_TIMING,
            self.folder / name,
            StateMachine(machine.apply, machine.dump, machine.load),
            self._send,
            self.disks[name],
        )

    def stop(self, name: InstanceId) -> None:
        self.logs.pop(name).stop()

    @property
    def leader(self) -> InstanceId | None:
        leading = [name for name, log in self.logs.items() if log.can_read(monotonic())]
        return leading[0] if leading else None

    async def tick(self) -> None:
        while True:
            for log in list(self.logs.values()):
                log.tick(monotonic())
            await sleep(TICK_INTERVAL_SECONDS)

    async def propose(self, command: bytes) -> None:
        async def is_committed() -> bool:
            name = self.leader
            return name is not None and is_successful(await self.logs[name].propose(command))

        await wait_until(is_committed, WAIT_TIMEOUT, "a command commits")

    def _send(self, peer: InstanceId, message: ConsensusMessage) -> None:
        get_running_loop().call_soon(self._deliver, peer, message)

    def _deliver(self, peer: InstanceId, message: ConsensusMessage) -> None:
        if peer in self.logs:
            self.logs[peer].step(message)


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
            changed = await log.change_voters((*FIRST_VOTERS, SPARE), WAIT_TIMEOUT)
            assert is_successful(changed), changed
        case "the leader is removed":
            others = tuple(name for name in FIRST_VOTERS if name != leader)
            changed = await log.change_voters(others, WAIT_TIMEOUT)
            assert is_successful(changed), changed
        case "a follower is removed":
            changed = await log.change_voters(remaining, WAIT_TIMEOUT)
            assert is_successful(changed), changed
            network.stop(follower)
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
