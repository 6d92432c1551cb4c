"""The wait of a voter after its start, and how it ends early when all voters have restarted.

A voter may have answered a leader just before it ended, and that leader counts its lease from the
round that was answered. So a voter withholds its vote for an election timeout from its start. The
wait protects the lease of a leader that still runs. If every instance that may lead has said, in
answer to a question of this start, that it does not lead, there is none: leadership is lost at a
restart, and whoever is elected later needs answers of this start.

The instances that may lead are all voters of every entry that this voter holds, and all voters
whom the answers name. A change of voters is held by a majority of the voters before it, so the
answers of those name the voters after it. A majority of answers would not be enough: the leader may
be cut off together with the rest.
"""

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.consensus import VoteReply, VoteRequest
from jaylatch_decisions.consensus.state import VoterState
from jaylatch_decisions.consensus.types import RaftRole

ASK_INTERVAL_TIMEOUTS = 0.1
"""Election timeouts between two rounds of questions."""


class RestartCheck:
    """Asks all voters after a start whether they lead."""

    def __init__(self, state: VoterState) -> None:
        self._state = state
        self._known = set(state.log.mentioned_voters)
        self._answered: set[InstanceId] = set()
        self._due = float("-inf")

    @property
    def due(self) -> float:
        """Return the time of the next round of questions."""
        return self._due if self._is_open else float("inf")

    @property
    def _is_open(self) -> bool:
        state = self._state
        is_waiting = state.is_in_start_wait and not state.has_heard_leader
        return is_waiting and state.is_voter and not state.recovering_disk

    def tick(self, now: float) -> None:
        """Ask those who have not answered."""
        state = self._state
        if not self._is_open or now < self._due:
            return
        if now >= state.start_wait_until:
            state.end_start_wait(now)
            return
        self._due = now + ASK_INTERVAL_TIMEOUTS * state.timing.election_timeout
        for peer in sorted(self._missing()):
            request = VoteRequest(
                state.name,
                state.instance,
                state.next_term,
                state.log.last_index,
                state.log.last_term,
                is_pre_vote=True,
                start=state.start_number,
            )
            state.send(peer, request)
        self._end_if_complete(now)

    def record(self, now: float, message: VoteReply) -> None:
        """Take an answer to a question of this start."""
        state = self._state
        if not self._is_open or message.start != state.start_number:
            return
        self._known |= set(message.voters)
        if message.is_leading:
            self._answered.discard(message.sender)
        else:
            self._answered.add(message.sender)
        self._end_if_complete(now)

    def _missing(self) -> set[InstanceId]:
        self._known |= set(self._state.log.mentioned_voters)
        return self._known - self._answered - {self._state.instance}

    def _end_if_complete(self, now: float) -> None:
        if not self._missing() and self._state.role is RaftRole.FOLLOWER:
            self._state.end_start_wait(now)
