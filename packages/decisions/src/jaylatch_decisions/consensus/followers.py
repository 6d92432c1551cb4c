"""Replication on followers: receiving entries and snapshots from the leader."""

from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import (
    AppendReply,
    AppendRequest,
    LogEntry,
    Snapshot,
    SnapshotReply,
    SnapshotRequest,
)
from jaylatch_decisions.consensus.state import VoterState


class Follower:
    """Stores the leader's entries and snapshots, and acknowledges what is stored."""

    def __init__(self, state: VoterState) -> None:
        self._state = state
        self._incoming: tuple[LogIndex, Term] = (LogIndex(0), Term(0))
        self._chunks = bytearray()

    def handle_append(self, now: float, message: AppendRequest) -> None:
        """Append the entries if they continue the log, and advance the commit index."""
        state = self._state
        if message.term < state.term:
            self._reply(message.sender, message.round, state.log.last_index, is_accepted=False)
            return
        state.follow_leader(now, message.term, message.sender)
        if message.readmitted_disk and message.readmitted_disk == state.recovering_disk:
            state.end_recovery(message.sender)
        entries = message.entries
        previous = message.previous_index
        if previous < state.commit:
            # Every later leader's log contains the entries that are committed here.
            entries = tuple(entry for entry in entries if entry.index > state.commit)
            previous = state.commit
        elif state.log.term_at(previous) != message.previous_term:
            hint = self._conflict_hint(previous)
            self._reply(message.sender, message.round, hint, is_accepted=False)
            return
        self._store(entries)
        match = LogIndex(previous + len(entries))
        state.advance_commit(min(message.commit, match))
        self._reply(message.sender, message.round, match, is_accepted=True)

    def handle_snapshot(self, now: float, message: SnapshotRequest) -> None:
        """Collect the bytes of a snapshot, in order, and install it once it is complete."""
        state = self._state
        if message.term < state.term:
            self._reply(message.sender, message.round, state.log.last_index, is_accepted=False)
            return
        state.follow_leader(now, message.term, message.sender)
        if message.index <= state.commit:
            self._reply(message.sender, message.round, state.commit, is_accepted=True)
            return
        if self._incoming != (message.index, message.last_term):
            self._incoming = (message.index, message.last_term)
            self._chunks = bytearray()
        if message.offset == len(self._chunks):
            self._chunks += message.data
        if len(self._chunks) < message.size:
            self._request_next_chunk(message)
            return
        self._install(
            Snapshot(message.index, message.last_term, message.voters, bytes(self._chunks))
        )
        self._reply(message.sender, message.round, message.index, is_accepted=True)

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        kept = state.log.install(snapshot)
        state.advance_commit(snapshot.index)
        state.applied = snapshot.index
        state.effects.snapshot = snapshot
        state.effects.entries = kept
        self._chunks = bytearray()
        self._incoming = (LogIndex(0), Term(0))

    def _store(self, entries: tuple[LogEntry, ...]) -> None:
        state = self._state
        for entry in entries:
            if state.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= state.log.last_index:
                unsaved = state.effects.entries
                state.effects.entries = [kept for kept in unsaved if kept.index < entry.index]
            state.log.append(entry)
            state.effects.entries.append(entry)

    def _conflict_hint(self, previous: LogIndex) -> LogIndex:
        """Return an index up to which the leader's log may agree; skips all entries of a term."""
        state = self._state
        if previous > state.log.last_index:
            return state.log.last_index
        first = state.log.first_of_term(previous, state.commit)
        return LogIndex(max(first - 1, state.commit))

    def _request_next_chunk(self, message: SnapshotRequest) -> None:
        state = self._state
        reply = SnapshotReply(
            state.name,
            state.instance,
            state.term,
            message.round,
            message.index,
            len(self._chunks),
            state.hard_state.disk,
            state.hard_state.is_recovering,
        )
        state.send(message.sender, reply)

    def _reply(
        self, leader: InstanceId, round_number: int, match: LogIndex, *, is_accepted: bool
    ) -> None:
        state = self._state
        reply = AppendReply(
            state.name,
            state.instance,
            state.term,
            is_accepted,
            match,
            round_number,
            state.hard_state.disk,
            state.hard_state.is_recovering,
        )
        state.send(leader, reply)
