"""Voter of a replicated log: a ``RaftNode`` with its folder, its peers and its state machine.

One write is under way at a time, on the worker thread. All proposals and messages that arrive
meanwhile share the next one (group commit). Messages are sent, and entries applied, only after the
write that holds what they depend on.

While the disk fails or a write takes too long, the voter leads no one, stands for no election and
sends nothing but the message that hands leadership on. A candidate and a leader without a quicker
peer wait for a write that is only slow: if all disks are slow, one of them must lead. A follower
goes on to follow a leader in memory, which always holds at least what the disk holds, so it can
write all of it once the disk works.
"""

from asyncio import get_running_loop
from collections.abc import Callable
from concurrent.futures import TimeoutError as DiskTimeout
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from time import time_ns
from typing import Generic, TypeVar

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result

from jaylatch_core.clock import monotonic
from jaylatch_core.enums import FirstStart
from jaylatch_core.exceptions import (
    JaylatchError,
    NotLeader,
    StorageCorrupt,
    StorageFailed,
    Unavailable,
)
from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import (
    AppendReply,
    AppendRequest,
    ConsensusMessage,
    LogEntry,
    Snapshot,
    SnapshotRequest,
)
from jaylatch_decisions.consensus import RaftNode, RaftRole, RaftTiming
from jaylatch_node.consensus.compaction import CompactionPolicy
from jaylatch_node.consensus.disk import DiskCondition, LogDisk
from jaylatch_node.consensus.opening import FolderOpening, OpenedLog
from jaylatch_node.consensus.peer_speed import PeerSpeed
from jaylatch_node.consensus.proposals import ProposalResult, Proposals
from jaylatch_node.consensus.turn import Turn
from jaylatch_node.storage import DiskWorker, FileSystem, LogStore

CLOSING_WAIT = 1.0
"""Seconds for which the end waits for a write that is under way."""

T = TypeVar("T")
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
        worker: DiskWorker | None = None,
        first_start: FirstStart = FirstStart.UNKNOWN,
    ) -> None:
        """Open the log. ``voters`` are those of the first start, used only on an empty disk.

        A disk that is full or does not answer is tried again later. Raises JaylatchError with
        StorageFailed if the process may not use the folder, or with StorageCorrupt if it is damaged
        and there is no peer to restore it.
        """
        self._name = name
        self._instance = instance
        self._timing = timing
        self._machine = machine
        self._send = send
        self._own_worker = DiskWorker() if worker is None else None
        self._worker = self._own_worker or worker or DiskWorker()
        self._disk = LogDisk(self._worker, timing.election_timeout)
        self._peer_speed = PeerSpeed(self._disk.limit)
        self._raft: RaftNode | None = None
        self._store: LogStore | None = None
        self._set_aside: Path | None = None
        self._heard_leader = InstanceId("")
        self._is_stopped = False
        self._turn = Turn()
        self._turn_in_flight = Turn()
        self._applied = LogIndex(0)
        self._applied_term = Term(0)
        self._compaction = CompactionPolicy()
        self._proposals: Proposals[T] = Proposals()
        self._is_pump_due = False
        self._opening = FolderOpening(
            self._worker, self._disk, folder, files or FileSystem(), voters, first_start
        )
        try:
            opened = self._opening.wait()
        except JaylatchError:
            self._stop_worker()
            raise
        if opened is not None:
            self._begin(monotonic(), opened)

    @property
    def name(self) -> str:
        """Return the log's name."""
        return self._name

    @property
    def leader(self) -> InstanceId:
        """Return the known leader, or an empty id."""
        return self._heard_leader if self._raft is None else self._raft.leader

    @property
    def term(self) -> Term:
        """Return the current term."""
        return Term(0) if self._raft is None else self._raft.term

    @property
    def voters(self) -> tuple[InstanceId, ...]:
        """Return the latest set of voters, none before the folder has been read."""
        return () if self._raft is None else self._raft.voters

    @property
    def is_leader(self) -> bool:
        """Return whether this voter leads."""
        return (
            not self._is_stopped and self._raft is not None and self._raft.role is RaftRole.LEADER
        )

    @property
    def is_recovering(self) -> bool:
        """Return whether this voter started on an empty disk and may not vote yet."""
        return self._raft is not None and self._raft.is_recovering

    @property
    def is_spare(self) -> bool:
        """Return whether the disk is of a stated first start and has never held an entry."""
        raft = self._raft
        return raft is not None and raft.hard_state.is_first_start and not raft.last_index

    @property
    def set_aside_folder(self) -> Path | None:
        """Return the folder of the damaged files that were set aside at startup, if any."""
        return self._set_aside

    @property
    def is_open(self) -> bool:
        """Return whether the folder has been read."""
        return self._raft is not None

    @property
    def failure(self) -> StorageFailed | StorageCorrupt | None:
        """Return the failure of the last attempt at the disk, if it failed."""
        return self._disk.failure

    @property
    def disk(self) -> DiskCondition:
        """Return the condition of the disk."""
        return self._disk.condition

    def unresponsive_voters(self, now: float, limit: float) -> list[InstanceId]:
        """Return the voters without contact with this leader for ``limit`` seconds."""
        return [] if self._raft is None else self._raft.unresponsive_voters(now, limit)

    def disk_of(self, instance: InstanceId) -> int:
        """Return the number of an instance's disk, 0 if it is not known."""
        return 0 if self._raft is None else self._raft.disk_of(instance)

    def can_read(self, now: float) -> bool:
        """Return whether the applied state is guaranteed to be current.

        An entry of this leader's term must be applied: it may be committed before its write.
        """
        return (
            self.is_leader
            and self._raft is not None
            and self._raft.can_read(now)
            and self._applied_term == self._raft.term
        )

    def tick(self, now: float) -> None:
        """Act if a round, an election or an attempt at the disk is due."""
        if self._is_stopped:
            return
        if self._raft is None:
            opened = self._opening.poll(now)
            if opened is not None:
                self._begin(now, opened)
        elif now >= self._raft.tick_due or self._disk.is_withheld(now):
            self._pump()

    def hand_on_leadership(self, now: float) -> None:
        """Step down, and ask another voter to stand for election at once.

        The message leaves with the next iteration of the loop.
        """
        if self._raft is not None:
            for peer, message in self._raft.step_down(now):
                self._send(peer, message)

    def stop(self) -> None:
        """Transfer leadership, then close the files."""
        if self._is_stopped:
            return
        self.hand_on_leadership(monotonic())
        self._is_stopped = True
        self._proposals.fail(
            StorageFailed(
                "the process is shutting down; send the request to another control instance"
            )
        )
        store = self._store
        if store is not None:
            closed = self._worker.submit(store.close)
            # If this takes longer, the worker closes the files after the write that is under way.
            with suppress(DiskTimeout):
                closed.result(CLOSING_WAIT)
        self._stop_worker()

    def step(self, message: ConsensusMessage) -> None:
        """Handle a message from another voter.

        Without its disk this voter only follows: it can neither vote nor be elected.
        """
        if self._is_stopped:
            return
        now = monotonic()
        is_from_leader = isinstance(message, AppendRequest | SnapshotRequest)
        if self._raft is None:
            self._heard_leader = message.sender if is_from_leader else self._heard_leader
            return
        if is_from_leader or not self._disk.is_withheld(now) or self._waits(now, self._raft):
            if isinstance(message, AppendReply) and message.term == self._raft.term:
                self._peer_speed.note_reply(now, message)
            self._raft.step(now, message)
            self._schedule_pump()

    async def propose(self, command: bytes) -> ProposalResult[T]:
        """Commit a command and return the result of the state machine."""
        now = monotonic()
        if self._raft is None or self._is_stopped or self._disk.is_withheld(now):
            return Err(self._refusal())
        return await self._wait_for_commit(self._raft.propose(now, command))

    def add_learner(
        self, instance: InstanceId
    ) -> Result[None, NotLeader | Unavailable | StorageFailed]:
        """Start to replicate to an instance that is to become a voter."""
        now = monotonic()
        if self._raft is None or self._is_stopped or self._disk.is_withheld(now):
            return Err(self._refusal())
        return self._raft.add_learner(now, instance)

    def is_caught_up(self, instance: InstanceId) -> bool:
        """Return whether a learner or voter of this leader holds all committed entries."""
        return self._raft is not None and self._raft.is_caught_up(instance)

    async def propose_voters(
        self, voters: tuple[InstanceId, ...]
    ) -> Result[None, NotLeader | Unavailable | StorageFailed]:
        """Commit a set of voters that differs from the present one by one instance."""
        now = monotonic()
        if self._raft is None or self._is_stopped or self._disk.is_withheld(now):
            return Err(self._refusal())
        proposed = self._raft.propose_voters(now, voters)
        return (await self._wait_for_commit(proposed)).map(lambda _: None)

    async def _wait_for_commit(
        self, position: Result[tuple[Term, LogIndex], NotLeader | Unavailable | NotLeader]
    ) -> ProposalResult[T]:
        if not is_successful(position):
            return Err(position.failure())
        term, index = position.unwrap()
        future = self._proposals.add(term, index)
        self._schedule_pump()
        return await future

    def _refusal(self) -> NotLeader | StorageFailed:
        """Return the answer to a command while this voter has no disk."""
        if self.leader and self.leader != self._instance:
            return NotLeader(
                "the disk of this voter takes no write; send the request to the leader", self.leader
            )
        failure = self._disk.failure
        if isinstance(failure, StorageFailed):
            return failure
        return StorageFailed("the disk of this voter takes no write; ask another control instance")

    def _stop_worker(self) -> None:
        if self._own_worker is not None:
            self._own_worker.stop(0.0)

    def _begin(self, now: float, opened: OpenedLog) -> None:
        """Take part in the log with the state that the folder holds."""
        self._store = opened.store
        self._set_aside = opened.set_aside
        first_voters = opened.hard_state.first_voters
        snapshot = opened.stored.snapshot or Snapshot(LogIndex(0), Term(0), first_voters, b"")
        self._applied = snapshot.index
        self._applied_term = snapshot.term
        self._compaction.snapshot_size = len(snapshot.data)
        if snapshot.data:
            self._machine.load(snapshot.data)
        # The time makes the number of this start differ from that of each earlier one.
        random = Random(f"{self._name}/{self._instance}/{opened.hard_state}/{time_ns()}")
        self._raft = RaftNode(
            self._name,
            self._instance,
            self._timing,
            random,
            opened.hard_state,
            snapshot,
            opened.stored.entries,
            now,
        )

    # Writes

    def _schedule_pump(self) -> None:
        if not self._is_pump_due:
            self._is_pump_due = True
            get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self._is_pump_due = False
        raft, store = self._raft, self._store
        if self._is_stopped or raft is None or store is None:
            return
        now = monotonic()
        if self._disk.is_withheld(now):
            if self._waits(now, raft):
                # The end of the write calls this again.
                return
            self._go_without_disk(now, raft)
            if self._disk.may_retry(now):
                self._repair(raft, store)
            return
        if self._disk.is_busy:
            # The end of the write calls this again.
            return
        raft.tick(now)
        self._turn.absorb(raft.take_effects())
        turn, self._turn = self._turn, Turn()
        self._write(now, turn, raft, store)

    def _write(self, now: float, turn: Turn, raft: RaftNode, store: LogStore) -> None:
        if turn.snapshot is not None:
            self._start_write(turn, self._replacement(raft, store))
        elif raft.snapshot.index < self._applied and self._compaction.is_due(now, store):
            self._compact(turn, raft, store)
        elif turn.has_writes:
            hard_state = raft.hard_state if turn.has_hard_state else None
            first = turn.first_entry
            entries = [] if first is None else raft.entries_after(first - 1)
            self._start_write(turn, partial(store.append, hard_state, entries))
        else:
            self._deliver(turn)

    def _start_write(
        self, turn: Turn, operation: Callable[[], Result[None, StorageFailed]]
    ) -> None:
        self._turn_in_flight = turn
        self._disk.write(operation, partial(self._on_written, turn))

    def _on_written(self, turn: Turn, written: Result[None, StorageFailed]) -> None:
        self._turn_in_flight = Turn()
        if self._is_stopped:
            return
        if self._raft is not None:
            self._raft.note_write(monotonic(), self._disk.slow_duration)
        if not is_successful(written):
            turn.put_before(self._turn)
            self._turn = turn
            self._proposals.fail(written.failure())
            if self._raft is not None:
                self._go_without_disk(monotonic(), self._raft)
            return
        self._deliver(turn)
        self._pump()

    def _replacement(
        self, raft: RaftNode, store: LogStore
    ) -> Callable[[], Result[None, StorageFailed]]:
        snapshot = raft.snapshot
        self._compaction.snapshot_size = len(snapshot.data)
        entries = raft.entries_after(snapshot.index)
        return partial(store.replace, snapshot, raft.hard_state, entries)

    def _waits(self, now: float, raft: RaftNode) -> bool:
        """Return whether this voter keeps its candidacy or leadership during a slow write.

        The requests of a candidate leave only after its write. A leader hands leadership on only if
        a peer is known to be quicker; if all disks are slow, the next leader would be slow too.
        """
        if raft.role is RaftRole.FOLLOWER or not self._disk.is_slow_only(now):
            return False
        return raft.role is not RaftRole.LEADER or not self._peer_speed.has_quick_peer

    def _go_without_disk(self, now: float, raft: RaftNode) -> None:
        """Lead no one and send nothing that depends on the disk; follow in memory."""
        was_leader = raft.role is RaftRole.LEADER
        self.hand_on_leadership(now)
        if was_leader:
            # Rounds of a term in which this voter leads no longer would delay the next election.
            self._turn_in_flight.messages.clear()
        if not self.is_leader:
            # Leadership may also have ended by a message during the write.
            self._abort_proposals()
        self._turn.absorb(raft.take_effects())
        self._turn.messages.clear()

    def _repair(self, raft: RaftNode, store: LogStore) -> None:
        turn, self._turn = self._turn, Turn()
        snapshot = raft.snapshot
        operation = partial(
            store.repair,
            snapshot,
            raft.hard_state,
            raft.entries_after(snapshot.index),
            raft.last_index + 1 if turn.first_entry is None else turn.first_entry,
            is_installed=turn.snapshot is not None,
        )
        self._start_write(turn, operation)

    def _compact(self, turn: Turn, raft: RaftNode, store: LogStore) -> None:
        """Write a snapshot of the applied state, and what the turn must write with it."""
        snapshot = raft.compact(self._applied, self._machine.dump())
        self._compaction.snapshot_size = len(snapshot.data)
        first = raft.last_index + 1 if turn.first_entry is None else turn.first_entry
        operation = partial(
            store.compact, snapshot, raft.hard_state, raft.entries_after(snapshot.index), first
        )

        def note(compacted: Result[bool, StorageFailed]) -> None:
            if not compacted.value_or(False):
                self._compaction.note_failure(monotonic())
            self._on_written(turn, compacted.map(lambda _: None))

        self._turn_in_flight = turn
        self._disk.write(operation, note)

    def _deliver(self, turn: Turn) -> None:
        """Send and apply what the last write allows."""
        if not self.is_leader:
            self._peer_speed.reset()
        elif turn.first_entry is not None:
            self._peer_speed.note_sent(monotonic(), turn.first_entry)
        for peer, message in turn.messages:
            self._send(peer, message)
        if turn.snapshot is not None:
            self._machine.load(turn.snapshot.data)
            self._applied = turn.snapshot.index
            self._applied_term = turn.snapshot.term
        for entry in turn.committed:
            self._apply_entry(entry)
        if not self.is_leader:
            self._abort_proposals()

    def _apply_entry(self, entry: LogEntry) -> None:
        self._applied = entry.index
        self._applied_term = entry.term
        outcome = self._machine.apply(entry.command) if entry.command else None
        self._proposals.resolve(entry, outcome, self.leader)

    def _abort_proposals(self) -> None:
        self._proposals.fail(Unavailable("leadership was lost; the command may still take effect"))
