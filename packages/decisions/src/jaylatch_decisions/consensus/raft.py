"""Raft as a pure state machine.

The host feeds messages, proposals and the time; then it takes the effects, persists what must be
persisted, sends the messages and applies the committed entries, in this order. Nothing here reads
a clock, a disk or a socket. All times are seconds of the host's monotonic clock.

The rules: persisted term and vote, pre-vote, check-quorum, and a leader lease for reads. A leader
counts its lease from the time at which it sent the heartbeat round that a majority answered, and
no voter gives a vote within ``election_timeout`` of hearing from a leader.
"""

from enum import Enum
from random import Random

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.exceptions import NotLeader
from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import (
    AppendReply,
    AppendRequest,
    ConsensusMessage,
    HardState,
    LogEntry,
    VoteReply,
    VoteRequest,
)

NOBODY = InstanceId("")
MAXIMUM_BATCH_ENTRIES = 256


class RaftRole(str, Enum):
    """Role of a voter in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftTiming(msgspec.Struct, frozen=True):
    """Durations in seconds. ``drift`` bounds the relative error between two clocks."""

    heartbeat_interval: float
    election_timeout: float
    drift: float = 0.01


class Effects(msgspec.Struct):
    """What the host must do, in the order of the fields."""

    hard_state: HardState | None = None
    entries: list[LogEntry] = msgspec.field(default_factory=list)
    messages: list[tuple[InstanceId, ConsensusMessage]] = msgspec.field(default_factory=list)
    committed: list[LogEntry] = msgspec.field(default_factory=list)


class _Progress(msgspec.Struct):
    """A leader's knowledge of one follower."""

    next_index: int
    match: int = 0
    acknowledged_round: int = 0
    heard_at: float = 0.0


class RaftNode:
    """One voter of one replicated log."""

    def __init__(
        self,
        log: str,
        instance: InstanceId,
        voters: tuple[InstanceId, ...],
        timing: RaftTiming,
        random: Random,
        hard_state: HardState,
        entries: list[LogEntry],
        now: float,
    ) -> None:
        self._log = log
        self._instance = instance
        self._voters = voters
        self._timing = timing
        self._random = random
        self._term = hard_state.term
        self._voted_for = hard_state.voted_for
        self._entries = list(entries)
        self._commit = LogIndex(0)
        self._applied = 0
        self._role = RaftRole.FOLLOWER
        self._leader = NOBODY
        self._votes: set[InstanceId] = set()
        self._progress: dict[InstanceId, _Progress] = {}
        self._round = 0
        self._round_sent_at: dict[int, float] = {}
        self._lease_start = 0.0
        self._term_start_index = LogIndex(0)
        # A voter that restarts may have answered a leader just before, so it holds back its vote.
        self._heard_leader_at = now
        self._heartbeat_due = now
        self._effects = Effects()
        self._election_due = 0.0
        self._reset_election_timer(now)

    @property
    def role(self) -> RaftRole:
        """Return the present role."""
        return self._role

    @property
    def term(self) -> Term:
        """Return the present term."""
        return self._term

    @property
    def leader(self) -> InstanceId:
        """Return the known leader of this term, or an empty id."""
        return self._leader

    @property
    def commit(self) -> LogIndex:
        """Return the highest index known to be committed."""
        return self._commit

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry of the log."""
        return LogIndex(len(self._entries))

    def can_read(self, now: float) -> bool:
        """Return whether applied state is current: a leader with a lease and its own commit."""
        if self._role is not RaftRole.LEADER or self._commit < self._term_start_index:
            return False
        return now < self._lease_start + self._timing.election_timeout * (1 - self._timing.drift)

    def propose(self, now: float, command: bytes) -> Result[tuple[Term, LogIndex], NotLeader]:
        """Append a command to the leader's log; returns the position at which it may commit.

        The entry is sent at the next ``tick``, together with all others proposed until then.
        """
        if self._role is not RaftRole.LEADER:
            return Err(NotLeader("this voter does not lead; ask the leader", self._leader))
        entry = self._append(command)
        self._heartbeat_due = now
        return Success((entry.term, entry.index))

    def tick(self, now: float) -> None:
        """Act on the passage of time; call at least once a heartbeat interval."""
        if self._role is RaftRole.LEADER:
            if not self._hears_quorum(now):
                self._become_follower(now, self._term, NOBODY)
            elif now >= self._heartbeat_due:
                self._broadcast(now)
        elif now >= self._election_due:
            self._start_pre_vote(now)

    def step(self, now: float, message: ConsensusMessage) -> None:
        """Handle a message from another voter."""
        match message:
            case VoteRequest():
                self._handle_vote_request(now, message)
            case VoteReply():
                self._handle_vote_reply(now, message)
            case AppendRequest():
                self._handle_append_request(now, message)
            case AppendReply():
                self._handle_append_reply(now, message)

    def take_effects(self) -> Effects:
        """Return what has to be done since the last call, and forget it."""
        effects = self._effects
        effects.committed = self._entries[self._applied : self._commit]
        self._applied = self._commit
        self._effects = Effects()
        return effects

    # Elections

    def _start_pre_vote(self, now: float) -> None:
        self._role = RaftRole.PRE_CANDIDATE
        self._leader = NOBODY
        self._votes = {self._instance}
        self._reset_election_timer(now)
        self._request_votes(Term(self._term + 1), is_pre_vote=True)
        self._count_votes(now)

    def _start_election(self, now: float) -> None:
        self._role = RaftRole.CANDIDATE
        self._set_hard_state(Term(self._term + 1), self._instance)
        self._votes = {self._instance}
        self._reset_election_timer(now)
        self._request_votes(self._term, is_pre_vote=False)
        self._count_votes(now)

    def _request_votes(self, term: Term, *, is_pre_vote: bool) -> None:
        for peer in self._peers():
            self._send(
                peer,
                VoteRequest(
                    self._log,
                    self._instance,
                    term,
                    self.last_index,
                    self._term_at(self.last_index),
                    is_pre_vote,
                ),
            )

    def _handle_vote_request(self, now: float, message: VoteRequest) -> None:
        if self._has_live_leader(now):
            # Check-quorum: a voter that hears its leader neither votes nor moves to a new term.
            is_granted = False
        elif message.is_pre_vote:
            is_granted = message.term > self._term and self._is_up_to_date(message)
        else:
            if message.term > self._term:
                self._become_follower(now, message.term, NOBODY)
            may_vote = self._voted_for in (NOBODY, message.sender)
            is_granted = message.term == self._term and may_vote and self._is_up_to_date(message)
            if is_granted:
                self._set_hard_state(self._term, message.sender)
                self._reset_election_timer(now)
        # A reply to a pre-vote carries the asked term, a refusal the voter's own, so that a
        # candidate left behind learns the newer term.
        term = message.term if is_granted else self._term
        self._send(
            message.sender,
            VoteReply(self._log, self._instance, term, is_granted, message.is_pre_vote),
        )

    def _handle_vote_reply(self, now: float, message: VoteReply) -> None:
        if not message.is_granted:
            if message.term > self._term:
                self._become_follower(now, message.term, NOBODY)
            return
        if message.is_pre_vote:
            is_current = self._role is RaftRole.PRE_CANDIDATE and message.term == self._term + 1
        else:
            is_current = self._role is RaftRole.CANDIDATE and message.term == self._term
        if is_current:
            self._votes.add(message.sender)
            self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if len(self._votes) < self._quorum():
            return
        if self._role is RaftRole.PRE_CANDIDATE:
            self._start_election(now)
        elif self._role is RaftRole.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self._role = RaftRole.LEADER
        self._leader = self._instance
        self._round_sent_at = {}
        self._lease_start = now - self._timing.election_timeout
        next_index = self.last_index + 1
        self._progress = {peer: _Progress(next_index, heard_at=now) for peer in self._peers()}
        self._term_start_index = self._append(b"").index
        self._broadcast(now)

    def _become_follower(self, now: float, term: Term, leader: InstanceId) -> None:
        if term > self._term:
            self._set_hard_state(term, NOBODY)
        self._role = RaftRole.FOLLOWER
        self._leader = leader
        self._reset_election_timer(now)

    # Replication

    def _append(self, command: bytes) -> LogEntry:
        entry = LogEntry(LogIndex(self.last_index + 1), self._term, command)
        self._entries.append(entry)
        self._effects.entries.append(entry)
        self._advance_commit()
        return entry

    def _broadcast(self, now: float) -> None:
        self._round += 1
        self._round_sent_at[self._round] = now
        self._heartbeat_due = now + self._timing.heartbeat_interval
        for peer in self._peers():
            self._send_append(peer)
        self._extend_lease()

    def _send_append(self, peer: InstanceId) -> None:
        progress = self._progress[peer]
        previous = LogIndex(progress.next_index - 1)
        batch = tuple(self._entries[previous : previous + MAXIMUM_BATCH_ENTRIES])
        # The next message continues after this batch; a refusal sets the position back.
        progress.next_index += len(batch)
        self._send(
            peer,
            AppendRequest(
                self._log,
                self._instance,
                self._term,
                previous,
                self._term_at(previous),
                self._commit,
                self._round,
                batch,
            ),
        )

    def _handle_append_request(self, now: float, message: AppendRequest) -> None:
        if message.term < self._term:
            self._reply_append(message, is_accepted=False, match=self.last_index)
            return
        self._become_follower(now, message.term, message.sender)
        self._heard_leader_at = now
        if self._term_at(message.previous_index) != message.previous_term or (
            message.previous_index > self.last_index
        ):
            hint = min(self.last_index, LogIndex(message.previous_index - 1))
            self._reply_append(message, is_accepted=False, match=hint)
            return
        self._store_entries(message.entries)
        match = LogIndex(message.previous_index + len(message.entries))
        self._commit = max(self._commit, min(message.commit, match))
        self._reply_append(message, is_accepted=True, match=match)

    def _store_entries(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            if entry.index <= self.last_index:
                if self._term_at(entry.index) == entry.term:
                    continue
                del self._entries[entry.index - 1 :]
                self._effects.entries = [
                    kept for kept in self._effects.entries if kept.index < entry.index
                ]
            self._entries.append(entry)
            self._effects.entries.append(entry)

    def _reply_append(self, message: AppendRequest, *, is_accepted: bool, match: LogIndex) -> None:
        self._send(
            message.sender,
            AppendReply(self._log, self._instance, self._term, is_accepted, match, message.round),
        )

    def _handle_append_reply(self, now: float, message: AppendReply) -> None:
        if message.term > self._term:
            self._become_follower(now, message.term, NOBODY)
            return
        if self._role is not RaftRole.LEADER or message.term != self._term:
            return
        progress = self._progress[message.sender]
        progress.heard_at = now
        progress.acknowledged_round = max(progress.acknowledged_round, message.round)
        self._extend_lease()
        if message.is_accepted:
            progress.match = max(progress.match, message.match)
            progress.next_index = max(progress.next_index, progress.match + 1)
            self._advance_commit()
        else:
            progress.next_index = max(message.match, progress.match) + 1
        if progress.next_index <= self.last_index:
            self._send_append(message.sender)

    def _advance_commit(self) -> None:
        if self._role is not RaftRole.LEADER:
            return
        matches = sorted(
            [progress.match for progress in self._progress.values()] + [self.last_index],
            reverse=True,
        )
        candidate = LogIndex(matches[self._quorum() - 1])
        # Only an entry of the leader's own term commits by counting replicas.
        if candidate > self._commit and self._term_at(candidate) == self._term:
            self._commit = candidate

    def _extend_lease(self) -> None:
        rounds = sorted(
            [progress.acknowledged_round for progress in self._progress.values()] + [self._round],
            reverse=True,
        )
        confirmed = rounds[self._quorum() - 1]
        sent_at = self._round_sent_at.get(confirmed)
        if sent_at is None:
            return
        self._lease_start = max(self._lease_start, sent_at)
        for number in [number for number in self._round_sent_at if number < confirmed]:
            del self._round_sent_at[number]

    # Helpers

    def _hears_quorum(self, now: float) -> bool:
        limit = now - 2 * self._timing.election_timeout
        heard = sum(progress.heard_at >= limit for progress in self._progress.values())
        return heard + 1 >= self._quorum()

    def _has_live_leader(self, now: float) -> bool:
        if self._role is RaftRole.LEADER:
            return True
        return now < self._heard_leader_at + self._timing.election_timeout

    def _is_up_to_date(self, message: VoteRequest) -> bool:
        own = (self._term_at(self.last_index), self.last_index)
        return (message.last_term, message.last_index) >= own

    def _term_at(self, index: int) -> Term:
        if 1 <= index <= len(self._entries):
            return self._entries[index - 1].term
        return Term(0)

    def _set_hard_state(self, term: Term, voted_for: InstanceId) -> None:
        self._term = term
        self._voted_for = voted_for
        self._effects.hard_state = HardState(term, voted_for)

    def _reset_election_timer(self, now: float) -> None:
        spread = self._random.uniform(1.0, 2.0)
        self._election_due = now + self._timing.election_timeout * spread

    def _peers(self) -> tuple[InstanceId, ...]:
        return tuple(voter for voter in self._voters if voter != self._instance)

    def _quorum(self) -> int:
        return len(self._voters) // 2 + 1

    def _send(self, peer: InstanceId, message: ConsensusMessage) -> None:
        self._effects.messages.append((peer, message))
