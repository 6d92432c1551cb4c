"""Connects a ``RaftNode`` to its file, its peers and its state machine.

All proposals and messages of one turn of the loop share one sync of the disk (group commit).
"""

from asyncio import Future, get_running_loop
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Generic, TypeVar

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success
from tornado.ioloop import PeriodicCallback

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, monotonic
from jaylatch_core.exceptions import JaylatchError, NotLeader, StorageFailed, Unavailable
from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import ConsensusMessage, LogEntry
from jaylatch_decisions.consensus import RaftNode, RaftRole, RaftTiming
from jaylatch_node.storage import LogFile

TICKS_PER_HEARTBEAT = 2

T = TypeVar("T")
ProposalResult = Result[T, NotLeader | Unavailable | StorageFailed]
Sender = Callable[[InstanceId, ConsensusMessage], None]


class ReplicatedLog(Generic[T]):
    """One voter of one log on this process. ``apply`` gets each committed command once."""

    def __init__(
        self,
        name: str,
        instance: InstanceId,
        voters: tuple[InstanceId, ...],
        timing: RaftTiming,
        path: Path,
        apply: Callable[[bytes], T],
        send: Sender,
    ) -> None:
        """Open the log. Raises JaylatchError with StorageCorrupt if its file is damaged."""
        opened = LogFile.open(path)
        if not is_successful(opened):
            raise JaylatchError(opened.failure())
        self._file, stored = opened.unwrap()
        self._name = name
        self._apply = apply
        self._send = send
        self._raft = RaftNode(
            name,
            instance,
            voters,
            timing,
            Random(f"{name}/{instance}/{stored.hard_state.term}"),
            stored.hard_state,
            stored.entries,
            monotonic(),
        )
        self._pending: dict[LogIndex, tuple[Term, Future[ProposalResult[T]]]] = {}
        self._is_pump_due = False
        self._failure: StorageFailed | None = None
        period = timing.heartbeat_interval * MILLISECONDS_PER_SECOND / TICKS_PER_HEARTBEAT
        self._timer = PeriodicCallback(self._pump, period)

    @property
    def name(self) -> str:
        """Return the log's name."""
        return self._name

    @property
    def leader(self) -> InstanceId:
        """Return the known leader, or an empty id."""
        return self._raft.leader

    @property
    def term(self) -> Term:
        """Return the present term."""
        return self._raft.term

    @property
    def is_leader(self) -> bool:
        """Return whether this voter leads."""
        return self._raft.role is RaftRole.LEADER

    def can_read(self, now: float) -> bool:
        """Return whether the applied state is surely current."""
        return self._raft.can_read(now)

    def start(self) -> None:
        """Begin to take part in elections."""
        self._timer.start()

    def stop(self) -> None:
        """Stop and close the file."""
        self._timer.stop()
        self._file.close()

    def step(self, message: ConsensusMessage) -> None:
        """Handle a message from another voter."""
        self._raft.step(monotonic(), message)
        self._schedule_pump()

    async def propose(self, command: bytes) -> ProposalResult[T]:
        """Commit a command and return what the state machine answered."""
        if self._failure is not None:
            return Err(self._failure)
        position = self._raft.propose(monotonic(), command)
        if not is_successful(position):
            return Err(position.failure())
        term, index = position.unwrap()
        future: Future[ProposalResult[T]] = get_running_loop().create_future()
        self._pending[index] = (term, future)
        self._schedule_pump()
        return await future

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
        written = self._file.append(effects.hard_state, effects.entries)
        if not is_successful(written):
            self._fail(written.failure())
            return
        for peer, message in effects.messages:
            self._send(peer, message)
        for entry in effects.committed:
            self._apply_entry(entry)
        if not self.is_leader:
            self._give_up_proposals()

    def _apply_entry(self, entry: LogEntry) -> None:
        outcome = self._apply(entry.command) if entry.command else None
        term, future = self._pending.pop(entry.index, (None, None))
        if future is None or future.done():
            return
        if term == entry.term and outcome is not None:
            future.set_result(Success(outcome))
        else:
            future.set_result(Err(NotLeader("another leader's entry took the place", self.leader)))

    def _give_up_proposals(self) -> None:
        for _, future in self._pending.values():
            if not future.done():
                future.set_result(
                    Err(Unavailable("leadership was lost; the command may still take effect"))
                )
        self._pending.clear()

    def _fail(self, failure: StorageFailed) -> None:
        """Stop taking part: a voter that cannot sync must not answer."""
        self._failure = failure
        for _, future in self._pending.values():
            if not future.done():
                future.set_result(Err(failure))
        self._pending.clear()
