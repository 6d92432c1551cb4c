"""Elections: pre-vote, vote, leadership transfer, and startup on an empty disk.

No voter grants a vote within ``election_timeout`` of the last message from a leader, because the
leader's lease depends on this. The only exception is a transfer, before which the leader released
its lease. The wait after a voter's own start may end early, see ``restarts``.

A voter on an empty disk may have lost votes and entries. It grants no vote until either every
other voter has reported, after this voter's start, that it is fresh too (a first start), or a
leader readmits it. Where the first start is stated by the settings, a majority of such reports is
enough after some rounds, so that a voter that is lost during the first start does not prevent it.

The first leader of a log is elected by all voters rather than by a majority: a voter that has not
heard from all others by then could be readmitted only by that leader, and the log would have no
quorum if the leader were lost before.
"""

from jaylatch_core.ids import InstanceId, Term
from jaylatch_core.messages.consensus import TransferLeadership, VoteReply, VoteRequest
from jaylatch_decisions.consensus.restarts import RestartCheck
from jaylatch_decisions.consensus.state import VoterState
from jaylatch_decisions.consensus.types import NOBODY, RaftRole

FIRST_ELECTION_ROUNDS = 6
"""Pre-votes of a first start that need all voters; after these a majority is enough."""

START_ROUNDS = 8
"""Pre-votes after a start that follow each other soon."""
MIN_START_PAUSE_TIMEOUTS = 0.1


class Elections:
    """Election logic of one voter. Methods return True when the election is won."""

    def __init__(self, state: VoterState) -> None:
        self._state = state
        self._votes: set[InstanceId] = set()
        self._fresh: set[InstanceId] = set()
        self._first_rounds = 0
        self._start_rounds = 0
        self._restarts = RestartCheck(state)

    @property
    def due(self) -> float:
        """Return the time at which ``tick`` must be called next."""
        return min(self._state.election_due, self._restarts.due)

    def tick(self, now: float) -> bool:
        """Start an election if the election timeout has passed without contact from a leader."""
        state = self._state
        self._restarts.tick(now)
        if now < state.election_due:
            return False
        if not state.is_voter:
            # Nobody tells an instance without a vote of the next leader.
            state.leader = NOBODY
            state.reset_election_timer(now)
            return False
        return self._start_pre_vote(now)

    def handle_request(self, now: float, message: VoteRequest) -> None:
        """Answer a request for a vote or a pre-vote."""
        is_granted = self._grant_vote(now, message)
        # A grant carries the requested term, a refusal the voter's own, so that a candidate with
        # an outdated term learns the newer one.
        state = self._state
        term = message.term if is_granted else state.term
        reply = VoteReply(
            state.name,
            state.instance,
            term,
            is_granted,
            message.is_pre_vote,
            state.is_fresh,
            message.recovering_disk,
            message.start,
            state.role is RaftRole.LEADER,
            state.log.voters,
        )
        state.send(message.sender, reply)

    def handle_reply(self, now: float, message: VoteReply) -> bool:
        """Count a granted vote, or adopt the newer term of a refusal."""
        is_won = self._count_reply(now, message)
        self._restarts.record(now, message)
        return is_won

    def _count_reply(self, now: float, message: VoteReply) -> bool:
        state = self._state
        if state.recovering_disk and message.recovering_disk == state.recovering_disk:
            self._record_fresh_voter(message)
        if not message.is_granted:
            if message.term > state.term:
                state.become_follower(now, message.term, NOBODY)
            return False
        if message.is_pre_vote:
            is_current = state.role is RaftRole.PRE_CANDIDATE and message.term == state.term + 1
        else:
            is_current = state.role is RaftRole.CANDIDATE and message.term == state.term
        if not is_current or message.sender not in state.log.voters:
            return False
        self._votes.add(message.sender)
        return self._count_votes(now)

    def handle_transfer(self, now: float, message: TransferLeadership) -> bool:
        """Start an election at once if the leader of the current term requests it."""
        state = self._state
        is_eligible = state.is_voter and not state.recovering_disk
        if message.term != state.term or state.role is not RaftRole.FOLLOWER or not is_eligible:
            return False
        return self._start_election(now, is_transfer=True)

    def _start_pre_vote(self, now: float) -> bool:
        state = self._state
        state.role = RaftRole.PRE_CANDIDATE
        state.leader = NOBODY
        self._set_next_pre_vote(now)
        self._votes = set() if state.recovering_disk else {state.instance}
        if state.recovering_disk and not state.peers:
            # A sole voter has no peer that could hold votes or entries that it lost.
            state.end_recovery(NOBODY)
            self._votes = {state.instance}
        elif state.recovering_disk and self._may_begin_without_all():
            state.end_recovery(NOBODY)
            self._votes = {state.instance}
        if state.is_fresh and (state.is_first_start or not state.recovering_disk):
            self._first_rounds += 1
        self._request_votes(Term(state.term + 1), is_pre_vote=True)
        return self._count_votes(now)

    def _set_next_pre_vote(self, now: float) -> None:
        """Ask again soon after a start: some voters may still be in their own wait."""
        state = self._state
        self._start_rounds += 1
        # A first start counts its pre-votes, see FIRST_ELECTION_ROUNDS.
        is_restart = not state.has_heard_leader and not state.is_fresh
        if is_restart and self._start_rounds <= START_ROUNDS:
            state.reset_start_timer(now + MIN_START_PAUSE_TIMEOUTS * state.timing.election_timeout)
        else:
            state.reset_election_timer(now)

    def _start_election(self, now: float, *, is_transfer: bool = False) -> bool:
        state = self._state
        state.role = RaftRole.CANDIDATE
        state.leader = NOBODY
        state.set_vote(Term(state.term + 1), state.instance)
        state.reset_election_timer(now)
        self._votes = {state.instance}
        self._request_votes(state.term, is_pre_vote=False, is_transfer=is_transfer)
        return self._count_votes(now)

    def _request_votes(self, term: Term, *, is_pre_vote: bool, is_transfer: bool = False) -> None:
        state = self._state
        request = VoteRequest(
            state.name,
            state.instance,
            term,
            state.log.last_index,
            state.log.last_term,
            is_pre_vote,
            is_transfer,
            state.recovering_disk,
        )
        for peer in state.peers:
            state.send(peer, request)

    def _count_votes(self, now: float) -> bool:
        """Start the election if the pre-vote is won; return whether the election is won."""
        state = self._state
        if state.recovering_disk or len(self._votes) < state.quorum:
            return False
        if state.role is RaftRole.PRE_CANDIDATE:
            return not self._needs_all_voters() and self._start_election(now)
        return state.role is RaftRole.CANDIDATE

    def _needs_all_voters(self) -> bool:
        """Return whether this is a first start in which a voter may still be without a vote."""
        state = self._state
        is_first = state.is_fresh and self._first_rounds <= FIRST_ELECTION_ROUNDS
        return is_first and len(self._votes) < len(state.log.voters)

    def _grant_vote(self, now: float, message: VoteRequest) -> bool:
        """Return whether the vote or pre-vote is granted; records a granted vote."""
        state = self._state
        if message.recovering_disk or state.recovering_disk:
            return False
        if state.has_live_leader(now) and not self._is_transfer_of(message):
            return False
        if message.is_pre_vote:
            return message.term > state.term and self._is_up_to_date(message)
        if message.term > state.term:
            state.become_follower(now, message.term, NOBODY)
        may_vote = state.voted_for in (NOBODY, message.sender)
        if message.term != state.term or not may_vote or not self._is_up_to_date(message):
            return False
        state.set_vote(state.term, message.sender)
        state.reset_election_timer(now)
        return True

    def _is_transfer_of(self, message: VoteRequest) -> bool:
        """Return whether the leader released its lease for this election."""
        state = self._state
        is_next_term = message.term == state.term + 1
        return message.is_transfer and is_next_term and state.role is not RaftRole.LEADER

    def _is_up_to_date(self, message: VoteRequest) -> bool:
        log = self._state.log
        return (message.last_term, message.last_index) >= (log.last_term, log.last_index)

    def _may_begin_without_all(self) -> bool:
        """Return whether a majority of the voters of a stated first start is known to be fresh."""
        state = self._state
        if not state.is_first_start or not state.is_fresh:
            return False
        fresh = self._fresh & set(state.peers)
        return self._first_rounds >= FIRST_ELECTION_ROUNDS and len(fresh) + 1 >= state.quorum

    def _record_fresh_voter(self, message: VoteReply) -> None:
        if not message.is_fresh:
            return
        self._fresh.add(message.sender)
        if self._state.is_fresh and self._fresh >= set(self._state.peers):
            self._state.end_recovery(NOBODY)
