"""Raft as a pure state machine.

The caller passes in messages, proposals and the time; then it takes the effects, persists what
must be persisted, sends the messages and applies the committed entries, in this order. This package
reads no clock, disk or socket. All times are seconds of the caller's monotonic clock.

Implemented: persisted term and vote, pre-vote, check-quorum, and a leader lease for reads;
snapshots that replace old entries; membership changes of one voter at a time.
"""

from random import Random

from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.exceptions import NotLeader, Unavailable
from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import (
    AppendReply,
    AppendRequest,
    ConsensusMessage,
    HardState,
    LogEntry,
    Snapshot,
    SnapshotReply,
    SnapshotRequest,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from jaylatch_decisions.consensus.elections import Elections
from jaylatch_decisions.consensus.followers import Follower
from jaylatch_decisions.consensus.leaders import Leader
from jaylatch_decisions.consensus.log import RaftLog
from jaylatch_decisions.consensus.state import VoterState
from jaylatch_decisions.consensus.types import NOBODY, Effects, RaftRole, RaftTiming

STEP_DOWN_PAUSE_TIMEOUTS = 4
"""Election timeouts during which a voter with a slow disk leaves elections to the others. Without
the pause it could win the next one too, and fail again at its first write."""


class RaftNode:
    """One voter of one replicated log.

    ``snapshot`` and ``entries`` are the content of the disk. On an empty disk the snapshot has
    index 0 and the voters of the first start, and ``hard_state.is_recovering`` is set. An instance
    that knows no voters takes part in no election until a leader replicates its log to it.
    """

    def __init__(
        self,
        log: str,
        instance: InstanceId,
        timing: RaftTiming,
        random: Random,
        hard_state: HardState,
        snapshot: Snapshot,
        entries: list[LogEntry],
        now: float,
    ) -> None:
        self._log = RaftLog(snapshot, entries)
        self._state = VoterState(log, instance, timing, random, hard_state, self._log, now)
        self._elections = Elections(self._state)
        self._follower = Follower(self._state)
        self._leading = Leader(self._state)

    @property
    def role(self) -> RaftRole:
        """Return the current role."""
        return self._state.role

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self._state.term

    @property
    def leader(self) -> InstanceId:
        """Return the known leader of this term, or an empty id."""
        return self._state.leader

    @property
    def commit(self) -> LogIndex:
        """Return the highest index known to be committed."""
        return self._state.commit

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry of the log."""
        return self._log.last_index

    @property
    def log_size(self) -> int:
        """Return the number of entries in memory."""
        return self._log.size

    @property
    def voters(self) -> tuple[InstanceId, ...]:
        """Return the latest set of voters."""
        return self._log.voters

    @property
    def hard_state(self) -> HardState:
        """Return the term, the vote and the disk's number, as they must be persisted."""
        return self._state.hard_state

    @property
    def snapshot(self) -> Snapshot:
        """Return the latest snapshot."""
        return self._log.snapshot

    @property
    def is_recovering(self) -> bool:
        """Return whether this voter started on an empty disk and may not vote yet."""
        return self._state.recovering_disk != 0

    @property
    def tick_due(self) -> float:
        """Return the time at which ``tick`` must be called next."""
        if self._state.role is RaftRole.LEADER:
            return self._leading.heartbeat_due
        return self._elections.due

    def term_at(self, index: int) -> Term | None:
        """Return the term of an entry, or None if it is not in memory."""
        return self._log.term_at(index)

    def entries_after(self, index: int) -> list[LogEntry]:
        """Return the entries after ``index``."""
        return self._log.between(index, self._log.last_index)

    def can_read(self, now: float) -> bool:
        """Return whether the applied state is current: a leader with a lease and its own commit."""
        return self._leading.can_read(now)

    def propose(self, now: float, command: bytes) -> Result[tuple[Term, LogIndex], NotLeader]:
        """Append a command to the leader's log; returns the position at which it may commit.

        The entry is sent at the next ``tick``, together with all others proposed until then.
        """
        if self._state.role is not RaftRole.LEADER:
            return Err(self._not_leader())
        entry = self._leading.append(now, command)
        return Success((entry.term, entry.index))

    def add_learner(self, now: float, instance: InstanceId) -> Result[None, NotLeader]:
        """Start replicating to an instance that is to become a voter."""
        if self._state.role is not RaftRole.LEADER:
            return Err(self._not_leader())
        self._leading.add_learner(now, instance)
        return Success(None)

    def is_caught_up(self, instance: InstanceId) -> bool:
        """Return whether a learner or voter holds all committed entries."""
        return self._leading.is_caught_up(instance)

    def disk_of(self, instance: InstanceId) -> int:
        """Return the number of an instance's disk, 0 if this leader does not know it."""
        if instance == self._state.instance:
            return self._state.hard_state.disk
        return self._leading.disk_of(instance)

    def unresponsive_voters(self, now: float, limit: float) -> list[InstanceId]:
        """Return the voters without contact with this leader for ``limit`` seconds."""
        if self._state.role is not RaftRole.LEADER:
            return []
        return self._leading.unresponsive_voters(now, limit)

    def propose_voters(
        self, now: float, voters: tuple[InstanceId, ...]
    ) -> Result[tuple[Term, LogIndex], NotLeader | Unavailable]:
        """Append a set of voters that differs from the current one by exactly one instance.

        Any two majorities of such sets overlap. The current set and an entry of the leader's own
        term must be committed first, or two concurrent changes could form disjoint majorities.
        """
        state = self._state
        if state.role is not RaftRole.LEADER:
            return Err(self._not_leader())
        if not self._leading.has_own_commit or state.commit < self._log.voters_index:
            return Err(
                Unavailable("the previous change of voters is not committed yet; retry later")
            )
        changed = set(voters) ^ set(self._log.voters)
        if len(changed) != 1 or not voters:
            return Err(
                Unavailable(f"cannot change {sorted(changed)} at once; add or remove one voter")
            )
        entry = self._leading.append(now, b"", voters)
        return Success((entry.term, entry.index))

    def transfer(self, now: float) -> None:
        """Transfer leadership to the most up-to-date voter; does nothing on a follower."""
        if self._state.role is RaftRole.LEADER:
            self._leading.transfer(now)

    def step_down(self, now: float) -> list[tuple[InstanceId, TransferLeadership]]:
        """Leave an election or leadership at once, because the disk takes no write.

        Returns the message that hands leadership on. It may be sent before the disk is synced: it
        states only the term, which was persisted before any vote was asked for. The other voters
        get time to elect one of them before this one stands again.
        """
        state = self._state
        if state.role is RaftRole.FOLLOWER:
            return []
        was_leader = state.role is RaftRole.LEADER
        sent = len(state.effects.messages)
        if was_leader:
            self._leading.transfer(now)
        else:
            state.become_follower(now, state.term, NOBODY)
        handed_on = state.effects.messages[sent:]
        del state.effects.messages[sent:]
        if state.peers:
            pause = STEP_DOWN_PAUSE_TIMEOUTS * state.timing.election_timeout
            state.election_due = max(state.election_due, now + pause)
        return [
            (peer, message)
            for peer, message in handed_on
            if isinstance(message, TransferLeadership)
        ]

    def note_write(self, now: float, duration: float) -> None:
        """Note how long the last write took, 0 for one that was not slow.

        Elections and the check for a quorum then allow for the time that the answers need.
        """
        self._state.note_write(now, duration)

    def compact(self, index: LogIndex, data: bytes) -> Snapshot:
        """Replace the entries up to the applied ``index`` with the state machine's ``data``."""
        return self._log.compact(index, data)

    def tick(self, now: float) -> None:
        """Process elapsed timers; call at ``tick_due`` and after each message."""
        if self._state.role is RaftRole.LEADER:
            self._leading.tick(now)
        elif self._elections.tick(now):
            self._leading.start(now)

    def step(self, now: float, message: ConsensusMessage) -> None:
        """Handle a message from another voter."""
        match message:
            case VoteRequest():
                self._elections.handle_request(now, message)
            case VoteReply():
                self._lead_if(now, self._elections.handle_reply(now, message))
            case TransferLeadership():
                self._lead_if(now, self._elections.handle_transfer(now, message))
            case AppendRequest():
                self._follower.handle_append(now, message)
            case SnapshotRequest():
                self._follower.handle_snapshot(now, message)
            case AppendReply():
                self._leading.handle_append_reply(now, message)
            case SnapshotReply():
                self._leading.handle_snapshot_reply(now, message)

    def take_effects(self) -> Effects:
        """Return the effects that accumulated since the last call, and clear them."""
        state = self._state
        effects = state.effects
        effects.committed = self._log.between(state.applied, state.commit)
        state.applied = state.commit
        state.effects = Effects()
        return effects

    def _lead_if(self, now: float, is_won: bool) -> None:
        if is_won:
            self._leading.start(now)

    def _not_leader(self) -> NotLeader:
        return NotLeader(
            "this voter is not the leader; send the request to the leader", self._state.leader
        )
