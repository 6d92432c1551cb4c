"""State of a voter that elections and replication share."""

from random import Random

from msgspec.structs import replace

from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import ConsensusMessage, HardState
from jaylatch_decisions.consensus.log import RaftLog
from jaylatch_decisions.consensus.progress import quorum_of
from jaylatch_decisions.consensus.types import NOBODY, Effects, RaftRole, RaftTiming

START_NUMBER_BITS = 48
START_SPREAD_TIMEOUTS = (0.02, 0.25)
"""Election timeouts between the end of the wait after a start, or a pre-vote that was refused in
the first rounds after it, and the next pre-vote."""


class VoterState:
    """Term, vote, role, log and timers of one voter, changed by elections and replication."""

    def __init__(
        self,
        name: str,
        instance: InstanceId,
        timing: RaftTiming,
        random: Random,
        hard_state: HardState,
        log: RaftLog,
        now: float,
    ) -> None:
        self.name = name
        self.instance = instance
        self.timing = timing
        self.log = log
        self.role = RaftRole.FOLLOWER
        self.leader = NOBODY
        self.commit = log.snapshot.index
        self.applied = log.snapshot.index
        self.effects = Effects()
        # A voter may have answered a leader just before its restart, so it withholds its vote.
        self.start_wait_until = now + timing.election_timeout
        self.is_in_start_wait = True
        self.start_number = random.getrandbits(START_NUMBER_BITS) | 1
        self.has_heard_leader = False
        self.last_leader = NOBODY
        self.last_leader_contact_at = float("-inf")
        self._write_duration = 0.0
        self._random = random
        self._hard_state = hard_state
        self.election_due = self.start_wait_until
        self.reset_start_timer(self.start_wait_until)

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self._hard_state.term

    @property
    def next_term(self) -> Term:
        """Return the term after the current one."""
        return Term(self.term + 1)

    @property
    def voted_for(self) -> InstanceId:
        """Return the vote in the current term, or an empty id."""
        return self._hard_state.voted_for

    @property
    def recovering_disk(self) -> int:
        """Return the number of the disk while this voter waits to be readmitted, else 0."""
        return self._hard_state.disk if self._hard_state.is_recovering else 0

    @property
    def is_first_start(self) -> bool:
        """Return whether the disk is known to have been empty at the first start."""
        return self._hard_state.is_first_start

    @property
    def hard_state(self) -> HardState:
        """Return the state that must be persisted before any message is sent."""
        return self._hard_state

    @property
    def is_voter(self) -> bool:
        """Return whether this instance is among the voters of its log."""
        return self.instance in self.log.voters

    @property
    def is_fresh(self) -> bool:
        """Return whether this instance has never voted, holds no entries and knows the voters.

        A disk that was emptied later knows none, so it is never taken for one of a first start.
        """
        return self.term == 0 and self.log.last_index == 0 and bool(self.log.voters)

    @property
    def quorum(self) -> int:
        """Return the size of a majority of the voters."""
        return quorum_of(self.log.voters)

    @property
    def peers(self) -> tuple[InstanceId, ...]:
        """Return the other voters."""
        return tuple(voter for voter in self.log.voters if voter != self.instance)

    def has_live_leader(self, now: float) -> bool:
        """Return whether this voter leads or had contact with a leader within the timeout."""
        if self.role is RaftRole.LEADER:
            return True
        if self.is_in_start_wait and now < self.start_wait_until:
            return True
        return now < self.last_leader_contact_at + self.timing.election_timeout

    def become_follower(self, now: float, term: Term, leader: InstanceId) -> None:
        """Follow ``leader`` (empty: unknown) in ``term``, which must not be older."""
        if term > self.term:
            self.set_vote(term, NOBODY)
        self.role = RaftRole.FOLLOWER
        self.leader = leader
        self.reset_election_timer(now)

    def follow_leader(self, now: float, term: Term, leader: InstanceId) -> None:
        """Follow the leader that sent a message, and withhold votes for others."""
        self.become_follower(now, term, leader)
        self.last_leader = leader
        self.last_leader_contact_at = now
        self.has_heard_leader = True

    def set_vote(self, term: Term, voted_for: InstanceId) -> None:
        """Set the term and the vote, to be persisted before any message is sent."""
        self._set_hard_state(replace(self._hard_state, term=term, voted_for=voted_for))

    def end_recovery(self, leader: InstanceId) -> None:
        """Take part in elections from now on; in this term, vote for no one but ``leader``."""
        self._set_hard_state(replace(self._hard_state, voted_for=leader, is_recovering=False))

    def end_start_wait(self, now: float) -> None:
        """Vote from now on: no leader of before the start can hold a lease."""
        self.is_in_start_wait = False
        if not self.has_heard_leader:
            self.reset_start_timer(now)

    def reset_start_timer(self, now: float) -> None:
        """Set the next election soon after ``now``, for a log that had no leader since the start.

        The spread lets one voter win before the next one stands. Only pre-votes are frequent then,
        and they change nothing.
        """
        spread = self._random.uniform(*START_SPREAD_TIMEOUTS)
        self.election_due = now + self.timing.election_timeout * spread

    def reset_election_timer(self, now: float) -> None:
        """Set the next election at a random time after the election timeout."""
        spread = self._random.uniform(1.0, 2.0)
        self.election_due = now + self.timing.election_timeout * spread + self.write_allowance

    @property
    def write_allowance(self) -> float:
        """Return the time that a request and its answer wait for two writes on slow disks.

        Other disks are taken to be as slow as the own one. Only timers without effect on safety
        use it: leases and the wait before a vote do not.
        """
        return 2 * self._write_duration

    def note_write(self, now: float, duration: float) -> None:
        """Note how long the last write took, 0 for a write that was not slow."""
        self._write_duration = duration
        if duration and self.role is not RaftRole.LEADER:
            self.election_due = max(
                self.election_due, now + self.timing.election_timeout + self.write_allowance
            )

    def advance_commit(self, index: int) -> None:
        """Raise the commit index; it never decreases."""
        self.commit = LogIndex(max(self.commit, index))

    def send(self, peer: InstanceId, message: ConsensusMessage) -> None:
        """Queue a message, to be sent once the state that it depends on is persisted."""
        self.effects.messages.append((peer, message))

    def _set_hard_state(self, state: HardState) -> None:
        self._hard_state = state
        self.effects.hard_state = state
