"""Steps on replicated logs with real folders, connected to each other on the test's loop."""

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

FAST = RaftTiming(heartbeat_interval=0.05, election_timeout=0.3)
TICK = 0.02
WAIT = 20.0
FIRST_VOTERS = tuple(InstanceId(name) for name in ("a", "b", "c"))
SPARE = InstanceId("spare")


class FullDisk(FileSystem):
    """Takes no byte once it is full."""

    is_full = False

    def write(self, descriptor: int, data: bytes) -> int:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")
        return super().write(descriptor, data)


class Digest:
    """A state machine whose state is a running digest and a count; the dump is padded."""

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
    """Logs on one loop, with messages handed over on its next turn."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.logs: dict[InstanceId, ReplicatedLog[int]] = {}
        self.machines: dict[InstanceId, Digest] = {}
        self.disks: dict[InstanceId, FullDisk] = {}
        self.timer: Task[None] | None = None

    def start(self, name: InstanceId, voters: tuple[InstanceId, ...] = FIRST_VOTERS) -> None:
        machine = Digest()
        self.machines[name] = machine
        self.disks[name] = FullDisk()
        self.logs[name] = ReplicatedLog(
            "log",
            name,
            voters,
            FAST,
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
            await sleep(TICK)

    async def propose(self, command: bytes) -> None:
        async def is_committed() -> bool:
            name = self.leader
            return name is not None and is_successful(await self.logs[name].propose(command))

        await wait_until(is_committed, WAIT, "a command commits")

    def _send(self, peer: InstanceId, message: ConsensusMessage) -> None:
        get_running_loop().call_soon(self._deliver, peer, message)

    def _deliver(self, peer: InstanceId, message: ConsensusMessage) -> None:
        if peer in self.logs:
            self.logs[peer].step(message)


def on_loop(context: Context, work: Awaitable[None]) -> None:
    async def run() -> None:
        network = context.network
        network.timer = create_task(network.tick())
        try:
            await work
        finally:
            network.timer.cancel()

    context.runner.run(run())


@given("3 connected logs and a spare one")
def step_logs(context: Context) -> None:
    context.network = LogNetwork(context.folder)
    for name in (*FIRST_VOTERS, SPARE):
        context.network.start(name)


@given("{number:d} committed commands of {size:d} bytes")
def step_commands(context: Context, number: int, size: int) -> None:
    async def run() -> None:
        for index in range(number):
            await context.network.propose(f"{index}".encode().ljust(size))

    on_loop(context, run())


@when("to the log: {event}")
def step_event(context: Context, event: str) -> None:
    on_loop(context, happen(context.network, event))


async def happen(network: LogNetwork, event: str) -> None:
    async def leads() -> bool:
        return network.leader is not None

    await wait_until(leads, WAIT, "a leader")
    leader = network.leader
    assert leader is not None
    log = network.logs[leader]
    follower = next(name for name in FIRST_VOTERS if name != leader)
    left = tuple(name for name in FIRST_VOTERS if name != follower)
    match event:
        case "the spare joins":
            changed = await log.change_voters((*FIRST_VOTERS, SPARE), WAIT)
            assert is_successful(changed), changed
        case "the leader is removed":
            others = tuple(name for name in FIRST_VOTERS if name != leader)
            changed = await log.change_voters(others, WAIT)
            assert is_successful(changed), changed
        case "a follower is removed":
            changed = await log.change_voters(left, WAIT)
            assert is_successful(changed), changed
            network.stop(follower)
        case "a follower is started again":
            network.stop(follower)
            await network.propose(b"while it was away")
            network.start(follower)
        case "a follower loses its folder":
            network.stop(follower)
            rmtree(network.folder / follower)
            network.start(follower)
        case "a follower's snapshot is damaged":
            network.stop(follower)
            damage(network.folder / follower)
            network.start(follower)
            assert network.logs[follower].set_aside_folder is not None
        case "the leader hands on and is stopped":
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


def damage(folder: Path) -> None:
    path = folder / "snapshot"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(bytes(data))


@then("another command commits, and all voters come to the same state")
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

        await wait_until(is_same, WAIT, "the same state on all voters")

    on_loop(context, run())
    assert max(machine.count for machine in network.machines.values()) >= 201


@then("each folder holds less than {limit:d} bytes")
def step_small(context: Context, limit: int) -> None:
    for name in FIRST_VOTERS:
        files = (context.network.folder / name).iterdir()
        size = sum(path.stat().st_size for path in files)
        assert 0 < size < limit, (name, size)


@given("a sole log with a damaged snapshot")
def step_sole(context: Context) -> None:
    network = LogNetwork(context.folder)
    context.network = network
    sole = InstanceId("sole")
    network.start(sole, (sole,))

    async def run() -> None:
        for _ in range(60):
            await network.propose(b"x" * 20000)

    on_loop(context, run())
    network.stop(sole)
    damage(network.folder / sole)


@then("its start fails with storage corrupt")
def step_refused(context: Context) -> None:
    sole = InstanceId("sole")
    try:
        context.network.start(sole, (sole,))
    except JaylatchError as error:
        assert isinstance(error.failure, StorageCorrupt), error
    else:
        raise AssertionError("a damaged sole log was opened")
