"""Voter of a replicated log: a ``RaftNode`` with its folder, its peers and its state machine.

All proposals and messages of one iteration of the event loop share one disk sync (group commit).
"""

from asyncio import Future, get_running_loop, sleep
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import time_ns
from typing import Generic, TypeVar

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.clock import monotonic
from jaylatch_core.exceptions import (
    JaylatchError,
    NotLeader,
    StorageCorrupt,
    StorageFailed,
    Unavailable,
)
from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import ConsensusMessage, HardState, LogEntry, Snapshot
from jaylatch_decisions.consensus import Effects, RaftNode, RaftRole, RaftTiming
from jaylatch_node.storage import FileSystem, LogStore, StoredLog, set_aside

MEBIBYTE = 1024 * 1024
SNAPSHOT_AFTER_BYTES = MEBIBYTE
SNAPSHOT_GROWTH = 2
"""Multiple of the last snapshot's size that the stored log must reach before the next snapshot."""
CATCH_UP_POLL_INTERVAL = 0.05
"""Seconds between two checks whether a joining voter has caught up."""

T = TypeVar("T")
ProposalResult = Result[T, NotLeader | Unavailable | StorageFailed]
Sender = Callable[[InstanceId, ConsensusMessage], None]


@dataclass(frozen=True)
class StateMachine(Generic[T]):
    """Callbacks of a log: ``apply`` receives each committed command once after the last ``load``.

    ``dump`` returns the complete state, and ``load`` replaces the state with such a dump.
    """

    apply: Callable[[bytes], T]
    dump: Callable[[], bytes]
    load: Callable[[bytes], None]


class ReplicatedLog(Generic[T]):
    """This process's voter of one log. Call ``tick`` periodically; it acts when a timer is due."""

    def __init__(
        self,
        name: str,
        instance: InstanceId,
        voters: tuple[InstanceId, ...],
        timing: RaftTiming,
        folder: Path,
        machine: StateMachine[T],
        send: Sender,
        files: FileSystem | None = None,
    ) -> None:
        """Open the log. ``voters`` are those of the first start.

        Raises JaylatchError with StorageFailed if the disk cannot be used, or with StorageCorrupt
        if it is damaged and there is no peer to restore it.
        """
        self._store, stored, self._set_aside = _open(folder, files or FileSystem(), voters)
        self._name = name
        self._instance = instance
        self._machine = machine
        self._send = send
        self._failure: StorageFailed | None = None
        self._hard_state = stored.hard_state or self._number_empty_disk()
        snapshot = stored.snapshot or Snapshot(LogIndex(0), Term(0), voters, b"")
        self._applied = snapshot.index
        self._snapshot_size = len(snapshot.data)
        if snapshot.data:
            machine.load(snapshot.data)
        random = Random(f"{name}/{instance}/{self._hard_state}")
        self._raft = RaftNode(
            name, instance, timing, random, self._hard_state, snapshot, stored.entries, monotonic()
        )
        self._pending: dict[LogIndex, tuple[Term, Future[ProposalResult[T]]]] = {}
        self._is_pump_due = False

    @property
    def name(self) -> str:
        """Return the log's name."""
        return self._name

    @property
    def leader(self) -> InstanceId:
        """Return the known leader, or an empty id."""
        return self._raft.leader if self._failure is None else InstanceId("")

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self._raft.term

    @property
    def voters(self) -> tuple[InstanceId, ...]:
        """Return the latest set of voters."""
        return self._raft.voters

    @property
    def is_leader(self) -> bool:
        """Return whether this voter leads."""
        return self._failure is None and self._raft.role is RaftRole.LEADER

    @property
    def is_recovering(self) -> bool:
        """Return whether this voter started on an empty disk and may not vote yet."""
        return self._raft.is_recovering

    @property
    def set_aside_folder(self) -> Path | None:
        """Return the folder of the damaged files that were set aside at startup, if any."""
        return self._set_aside

    @property
    def failure(self) -> StorageFailed | None:
        """Return the storage failure that stopped this voter, if any."""
        return self._failure

    def unresponsive_voters(self, now: float, limit: float) -> list[InstanceId]:
        """Return the voters without contact with this leader for ``limit`` seconds."""
        return self._raft.unresponsive_voters(now, limit)

    def can_read(self, now: float) -> bool:
        """Return whether the applied state is guaranteed to be current."""
        return self._failure is None and self._raft.can_read(now)

    def tick(self, now: float) -> None:
        """Act if a round or an election is due."""
        if now >= self._raft.tick_due:
            self._pump()

    def stop(self) -> None:
        """Transfer leadership, then close the files."""
        if self._failure is None:
            self._raft.transfer(monotonic())
            self._pump()
            self._failure = StorageFailed(
                "the process is shutting down; send the request to another control instance"
            )
        self._store.close()

    def step(self, message: ConsensusMessage) -> None:
        """Handle a message from another voter."""
        if self._failure is None:
            self._raft.step(monotonic(), message)
            self._schedule_pump()

    async def propose(self, command: bytes) -> ProposalResult[T]:
        """Commit a command and return the result of the state machine."""
        if self._failure is not None:
            return Err(self._failure)
        return await self._wait_for_commit(self._raft.propose(monotonic(), command))

    async def change_voters(
        self, voters: tuple[InstanceId, ...], timeout: float
    ) -> Result[None, NotLeader | Unavailable | StorageFailed]:
        """Add or remove one voter. A joining voter catches up as a learner first."""
        if self._failure is not None:
            return Err(self._failure)
        deadline = monotonic() + timeout
        for joining in set(voters) - set(self.voters):
            added = self._raft.add_learner(monotonic(), joining)
            if not is_successful(added):
                return added
            while not self._raft.is_caught_up(joining):
                if monotonic() > deadline or not self.is_leader:
                    return Err(
                        Unavailable(
                            f"instance {joining!r} did not catch up with the log within {timeout} s"
                        )
                    )
                await sleep(CATCH_UP_POLL_INTERVAL)
        proposed = self._raft.propose_voters(monotonic(), voters)
        return (await self._wait_for_commit(proposed)).map(lambda _: None)

    async def _wait_for_commit(
        self, position: Result[tuple[Term, LogIndex], NotLeader | Unavailable | NotLeader]
    ) -> ProposalResult[T]:
        if not is_successful(position):
            return Err(position.failure())
        term, index = position.unwrap()
        future: Future[ProposalResult[T]] = get_running_loop().create_future()
        self._pending[index] = (term, future)
        self._schedule_pump()
        return await future

    def _number_empty_disk(self) -> HardState:
        """Number the empty disk, so that peers distinguish it from earlier disks of this instance.

        The number is the wall-clock time, as it must be greater than that of any lost disk.
        """
        state = HardState(Term(0), InstanceId(""), time_ns(), True)
        written = self._store.append(state, [])
        if not is_successful(written):
            raise JaylatchError(written.failure())
        return state

    def _schedule_pump(self) -> None:
        if not self._is_pump_due:
            self._is_pump_due = True
            get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self._is_pump_due = False
        if self._failure is not None:
            return
        self._raft.tick(monotonic())
        effects = self._raft.take_effects()
        written = self._persist(effects)
        if not is_successful(written):
            self._fail(written.failure())
            return
        for peer, message in effects.messages:
            self._send(peer, message)
        if effects.snapshot is not None:
            self._machine.load(effects.snapshot.data)
            self._applied = effects.snapshot.index
        for entry in effects.committed:
            self._apply_entry(entry)
        if not self.is_leader:
            self._abort_proposals()
        self._compact_if_large()

    def _persist(self, effects: Effects) -> Result[None, StorageFailed]:
        self._hard_state = effects.hard_state or self._hard_state
        if effects.snapshot is None:
            return self._store.append(effects.hard_state, effects.entries)
        self._snapshot_size = len(effects.snapshot.data)
        return self._store.replace(effects.snapshot, self._hard_state, effects.entries)

    def _compact_if_large(self) -> None:
        limit = max(SNAPSHOT_AFTER_BYTES, SNAPSHOT_GROWTH * self._snapshot_size)
        if self._store.size < limit:
            return
        snapshot = self._raft.compact(self._applied, self._machine.dump())
        self._snapshot_size = len(snapshot.data)
        entries = self._raft.entries_after(snapshot.index)
        written = self._store.replace(snapshot, self._hard_state, entries)
        if not is_successful(written):
            self._fail(written.failure())

    def _apply_entry(self, entry: LogEntry) -> None:
        self._applied = entry.index
        outcome = self._machine.apply(entry.command) if entry.command else None
        term, future = self._pending.pop(entry.index, (None, None))
        if future is None or future.done():
            return
        if term != entry.term:
            future.set_result(
                Err(
                    NotLeader("an entry of another leader replaced the command; retry", self.leader)
                )
            )
        else:
            # A change of voters has no result of the state machine.
            future.set_result(Success(outcome))  # type: ignore[arg-type]

    def _abort_proposals(self) -> None:
        lost = Unavailable("leadership was lost; the command may still take effect")
        for _, future in self._pending.values():
            if not future.done():
                future.set_result(Err(lost))
        self._pending.clear()

    def _fail(self, failure: StorageFailed) -> None:
        """Stop this voter, because a voter that cannot sync must not acknowledge anything."""
        self._failure = failure
        for _, future in self._pending.values():
            if not future.done():
                future.set_result(Err(failure))
        self._pending.clear()


def _open(
    folder: Path, files: FileSystem, voters: tuple[InstanceId, ...]
) -> tuple[LogStore, StoredLog, Path | None]:
    opened = LogStore.open(folder, files)
    damaged = None
    if not is_successful(opened):
        failure = opened.failure()
        if not isinstance(failure, StorageCorrupt) or len(voters) == 1:
            raise JaylatchError(failure)
        # This voter grants no vote until a leader readmits it, so its peers can restore it safely.
        damaged = set_aside(folder)
        opened = LogStore.open(folder, files)
        if not is_successful(opened):
            raise JaylatchError(opened.failure())
    store, stored = opened.unwrap()
    return store, stored, damaged
