"""The state of a voter that elections and replication share."""

from random import Random

from msgspec.structs import replace

from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import ConsensusMessage, HardState
from jaylatch_decisions.consensus.log import RaftLog
from jaylatch_decisions.consensus.progress import quorum_of
from jaylatch_decisions.consensus.types import NOBODY, Effects, RaftRole, RaftTiming


class VoterState:
    """Term, vote, role, log and timers of one voter. The parts of the consensus change it."""

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
        # A voter that restarts may have answered a leader just before, so it holds back its vote.
        self.heard_leader_at = now
        self.election_due = now
        self._random = random
        self._hard_state = hard_state
        self.reset_election_timer(now)

    @property
    def term(self) -> Term:
        """Return the present term."""
        return self._hard_state.term

    @property
    def voted_for(self) -> InstanceId:
        """Return the vote in the present term, or an empty id."""
        return self._hard_state.voted_for

    @property
    def recovering_disk(self) -> int:
        """Return the number of the disk while this voter waits to be readmitted, else 0."""
        return self._hard_state.disk if self._hard_state.is_recovering else 0

    @property
    def hard_state(self) -> HardState:
        """Return what is persisted before any message leaves."""
        return self._hard_state

    @property
    def is_voter(self) -> bool:
        """Return whether this instance is among the voters of its log."""
        return self.instance in self.log.voters

    @property
    def is_fresh(self) -> bool:
        """Return whether this instance has never voted and holds nothing."""
        return self.term == 0 and self.log.last_index == 0

    @property
    def quorum(self) -> int:
        """Return the size of a majority of the voters."""
        return quorum_of(self.log.voters)

    @property
    def peers(self) -> tuple[InstanceId, ...]:
        """Return the other voters."""
        return tuple(voter for voter in self.log.voters if voter != self.instance)

    def has_live_leader(self, now: float) -> bool:
        """Return whether this voter leads or has heard its leader within the timeout."""
        if self.role is RaftRole.LEADER:
            return True
        return now < self.heard_leader_at + self.timing.election_timeout

    def become_follower(self, now: float, term: Term, leader: InstanceId) -> None:
        """Follow ``leader`` (empty: unknown) in ``term``, which must not be older."""
        if term > self.term:
            self.set_vote(term, NOBODY)
        self.role = RaftRole.FOLLOWER
        self.leader = leader
        self.reset_election_timer(now)

    def hear_leader(self, now: float, term: Term, leader: InstanceId) -> None:
        """Follow the leader that a message came from, and hold back votes for others."""
        self.become_follower(now, term, leader)
        self.heard_leader_at = now

    def set_vote(self, term: Term, voted_for: InstanceId) -> None:
        """Set the term and the vote, to be persisted before any message leaves."""
        self._set_hard_state(replace(self._hard_state, term=term, voted_for=voted_for))

    def end_recovery(self, leader: InstanceId) -> None:
        """Take part in votes from now on; never for another than ``leader`` in this term."""
        self._set_hard_state(replace(self._hard_state, voted_for=leader, is_recovering=False))

    def reset_election_timer(self, now: float) -> None:
        """Set the next election at a random time after the election timeout."""
        spread = self._random.uniform(1.0, 2.0)
        self.election_due = now + self.timing.election_timeout * spread

    def advance_commit(self, index: int) -> None:
        """Raise the commit index; it never falls."""
        self.commit = LogIndex(max(self.commit, index))

    def send(self, peer: InstanceId, message: ConsensusMessage) -> None:
        """Send after all that it rests on is persisted."""
        self.effects.messages.append((peer, message))

    def _set_hard_state(self, state: HardState) -> None:
        self._hard_state = state
        self.effects.hard_state = state
