"""Replicated logs on disk, connected to each other on the test's event loop."""

from asyncio import Task, get_running_loop, sleep
from collections import defaultdict
from functools import partial
from hashlib import sha256
from pathlib import Path

from returns.pipeline import is_successful
from support.disk_faults import FaultyDisk

from jaylatch_core.clock import monotonic
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.consensus import ConsensusMessage
from jaylatch_decisions.consensus import RaftTiming
from jaylatch_node.consensus import ReplicatedLog, StateMachine
from jaylatch_standins.deployment import wait_until

FAST_TIMING = RaftTiming(heartbeat_interval=0.05, election_timeout=0.3)
TICK_INTERVAL_SECONDS = 0.02
WAIT_TIMEOUT = 20.0
"""Seconds."""
FIRST_VOTERS = tuple(InstanceId(name) for name in ("a", "b", "c"))
SPARE = InstanceId("spare")


class DigestMachine:
    """State machine that keeps a digest and a count of its commands, with a padded dump."""

    def __init__(self) -> None:
        self.count = 0
        self.digest = b"\0" * 32
        self.commands: list[bytes] = []

    def apply(self, command: bytes) -> int:
        self.count += 1
        self.digest = sha256(self.digest + command).digest()
        self.commands.append(command)
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
        self.disks: dict[InstanceId, FaultyDisk] = {}
        self.sent: defaultdict[InstanceId, list[ConsensusMessage]] = defaultdict(list)
        self.timer: Task[None] | None = None

    def start(
        self,
        name: InstanceId,
        voters: tuple[InstanceId, ...] = FIRST_VOTERS,
        disk: FaultyDisk | None = None,
    ) -> None:
        machine = DigestMachine()
        self.machines[name] = machine
        self.disks[name] = disk or FaultyDisk()
        self.logs[name] = ReplicatedLog(
            "log",
            name,
            voters,
            FAST_TIMING,
            self.folder / name,
            StateMachine(machine.apply, machine.dump, machine.load),
            partial(self._send, name),
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

    def _send(self, sender: InstanceId, peer: InstanceId, message: ConsensusMessage) -> None:
        self.sent[sender].append(message)
        get_running_loop().call_soon(self._deliver, peer, message)

    def _deliver(self, peer: InstanceId, message: ConsensusMessage) -> None:
        if peer in self.logs:
            self.logs[peer].step(message)
