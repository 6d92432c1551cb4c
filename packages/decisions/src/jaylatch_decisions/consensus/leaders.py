"""Replication on the leader: rounds, the lease, commits, snapshots and readmission.

A round is one message to every follower. Its number is returned in the replies, so that the leader
knows which rounds a majority has acknowledged.
"""

from jaylatch_core.ids import InstanceId, LogIndex
from jaylatch_core.messages.consensus import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotReply,
    SnapshotRequest,
    TransferLeadership,
)
from jaylatch_decisions.consensus.progress import (
    MAX_IN_FLIGHT_BYTES,
    Progress,
    reached_by_quorum,
)
from jaylatch_decisions.consensus.state import VoterState
from jaylatch_decisions.consensus.types import NOBODY, RaftRole

SNAPSHOT_CHUNK_BYTES = 256 * 1024
QUORUM_TIMEOUTS = 2
"""Election timeouts without replies from a quorum after which a leader steps down."""
ROUND_SLACK = 0.1
"""Fraction of the heartbeat interval by which a round may be early, so that a caller that ticks
periodically does not miss it."""


class Leader:
    """Leader state of one voter; it is idle while the voter does not lead."""

    def __init__(self, state: VoterState) -> None:
        self._state = state
        self._progress: dict[InstanceId, Progress] = {}
        self._learners: set[InstanceId] = set()
        self._removed: dict[InstanceId, LogIndex] = {}
        self._round = 0
        self._round_sent_at: dict[int, float] = {}
        self._lease_start = 0.0
        self._heartbeat_due = 0.0
        self._term_start = LogIndex(0)

    @property
    def heartbeat_due(self) -> float:
        """Return the time at which the next round is due."""
        return self._heartbeat_due

    @property
    def has_own_commit(self) -> bool:
        """Return whether an entry of this leader's own term is committed."""
        return self._state.commit >= self._term_start

    def can_read(self, now: float) -> bool:
        """Return whether the lease holds and the leader has committed in its own term.

        The lease starts when the latest round that a majority has acknowledged was sent.
        """
        if self._state.role is not RaftRole.LEADER or not self.has_own_commit:
            return False
        timing = self._state.timing
        return now < self._lease_start + timing.election_timeout * (1 - timing.drift)

    def start(self, now: float) -> None:
        """Start leading the current term by appending a no-op entry of that term.

        The entry states the voters, so that a voter that restarts with other settings, or on an
        empty disk, learns them from the log.
        """
        state = self._state
        state.role = RaftRole.LEADER
        state.leader = state.instance
        self._learners = set()
        self._removed = {}
        self._progress = {}
        self._round_sent_at = {}
        self._lease_start = now - state.timing.election_timeout
        self._update_followers(now)
        self._term_start = self.append(now, b"", state.log.voters).index
        self._broadcast(now)

    def tick(self, now: float) -> None:
        """Send a round when it is due, or step down when no majority replies."""
        state = self._state
        if not self._has_quorum_contact(now):
            state.become_follower(now, state.term, NOBODY)
            return
        if not state.is_voter and state.commit >= state.log.voters_index:
            self.transfer(now)
            return
        if now >= self._heartbeat_due:
            self._forget_lost_removed(now)
            self._broadcast(now)

    def append(self, now: float, command: bytes, voters: tuple[InstanceId, ...] = ()) -> LogEntry:
        """Append an entry to the local log; it is sent at the next tick.

        A voter that the entry removes still receives it, so that it does not take itself for a
        voter after a restart.
        """
        state = self._state
        removed = set(state.peers) - set(voters) if voters else set()
        entry = LogEntry(LogIndex(state.log.last_index + 1), state.term, command, voters)
        state.log.append(entry)
        state.effects.entries.append(entry)
        self._heartbeat_due = now
        if voters:
            self._learners -= set(voters)
            self._removed |= dict.fromkeys(removed, entry.index)
            self._removed = {
                peer: index for peer, index in self._removed.items() if peer not in voters
            }
            self._update_followers(now)
        self._advance_commit()
        return entry

    def add_learner(self, now: float, instance: InstanceId) -> None:
        """Replicate to an instance that is not a voter yet."""
        self._learners.add(instance)
        self._update_followers(now)

    def is_caught_up(self, instance: InstanceId) -> bool:
        """Return whether an instance holds all committed entries and may vote."""
        progress = self._progress.get(instance)
        return (
            progress is not None
            and progress.counts_towards_quorum
            and progress.match >= self._state.commit
        )

    def disk_of(self, peer: InstanceId) -> int:
        """Return the number of a follower's disk, 0 if it has not reported it in this term."""
        progress = self._progress.get(peer)
        return 0 if progress is None else progress.disk

    def unresponsive_voters(self, now: float, limit: float) -> list[InstanceId]:
        """Return the other voters without contact for ``limit`` seconds, longest first."""
        contacts = {peer: self._last_contact(peer) for peer in self._state.peers}
        unresponsive = [peer for peer, contact_at in contacts.items() if now >= contact_at + limit]
        return sorted(unresponsive, key=contacts.__getitem__)

    def _last_contact(self, peer: InstanceId) -> float:
        """Return the time of the last contact: with the last leader, that before this term."""
        state = self._state
        progress = self._progress[peer]
        if peer == state.last_leader and not progress.acknowledged_round:
            return min(progress.last_contact_at, state.last_leader_contact_at)
        return progress.last_contact_at

    def transfer(self, now: float) -> None:
        """Step down for this term, and ask the most up-to-date voter to start an election.

        The lease ends before the message is sent, so that the voters need not wait for its expiry.
        """
        state = self._state
        candidates = [peer for peer in state.peers if self._progress[peer].counts_towards_quorum]
        state.become_follower(now, state.term, NOBODY)
        if candidates:
            best = max(candidates, key=lambda peer: self._progress[peer].match)
            state.send(best, TransferLeadership(state.name, state.instance, state.term))

    def handle_append_reply(self, now: float, message: AppendReply) -> None:
        """Update a follower's progress, and send it the missing entries."""
        progress = self._record_contact(now, message)
        if progress is None:
            return
        if message.is_accepted:
            progress.record_match(message.match)
            self._advance_commit()
            self._readmit(progress)
            if progress.match >= self._removed.get(message.sender, float("inf")):
                self._stop_replicating(now, {message.sender})
                return
        else:
            progress.step_back(message.match)
        if progress.next_index <= self._state.log.last_index:
            self._send_next(now, message.sender, is_round=False)

    def handle_snapshot_reply(self, now: float, message: SnapshotReply) -> None:
        """Send the next chunk of the snapshot."""
        progress = self._record_contact(now, message)
        if progress is None or message.index != progress.chunk_index:
            return
        is_new = message.offset != progress.chunk_offset
        is_lost = now >= progress.chunk_sent_at + self._state.timing.election_timeout
        if is_new or is_lost:
            progress.chunk_offset = message.offset
            self._send_chunk(now, message.sender, progress, SNAPSHOT_CHUNK_BYTES)

    def _record_contact(self, now: float, message: AppendReply | SnapshotReply) -> Progress | None:
        """Record contact with a follower; returns None if the message is not of this term."""
        state = self._state
        if message.term > state.term:
            state.become_follower(now, message.term, NOBODY)
            return None
        is_current = state.role is RaftRole.LEADER and message.term == state.term
        if not is_current or message.sender not in self._progress:
            return None
        progress = self._check_disk(now, message)
        if progress is None:
            return None
        progress.last_contact_at = now
        progress.acknowledged_round = max(progress.acknowledged_round, message.round)
        self._extend_lease()
        return progress

    def _check_disk(self, now: float, message: AppendReply | SnapshotReply) -> Progress | None:
        progress = self._progress[message.sender]
        if message.disk < progress.disk:
            # A late reply from before the disk was lost does not describe the current disk.
            return None
        if message.disk > progress.disk:
            is_replaced = progress.disk != 0 or message.is_recovering
            if is_replaced:
                progress = self._reset_progress(now, message.sender)
            progress.disk = message.disk
            progress.is_recovering = message.is_recovering
            if message.is_recovering:
                progress.readmit_index = self.append(now, b"").index
        elif not message.is_recovering:
            progress.is_recovering = False
        return progress

    def _reset_progress(self, now: float, peer: InstanceId) -> Progress:
        """Discard what a voter acknowledged on a disk that it has lost."""
        progress = Progress(self._state.log.last_index + 1, last_contact_at=now)
        self._progress[peer] = progress
        return progress

    def _readmit(self, progress: Progress) -> None:
        """Readmit a voter once it and a majority without it hold the readmission entry."""
        needed = progress.readmit_index
        is_held = progress.match >= needed and self._state.commit >= needed
        if progress.is_recovering and is_held:
            progress.is_readmitted = True

    def _update_followers(self, now: float) -> None:
        state = self._state
        wanted = set(state.peers) | self._learners | set(self._removed)
        next_index = state.log.last_index + 1
        self._progress = {
            peer: self._progress.get(peer) or Progress(next_index, last_contact_at=now)
            for peer in sorted(wanted)
        }

    def _forget_lost_removed(self, now: float) -> None:
        oldest = now - QUORUM_TIMEOUTS * self._state.timing.election_timeout
        lost = {peer for peer in self._removed if self._progress[peer].last_contact_at < oldest}
        if lost:
            self._stop_replicating(now, lost)

    def _stop_replicating(self, now: float, removed: set[InstanceId]) -> None:
        for peer in removed:
            del self._removed[peer]
        self._update_followers(now)

    def _broadcast(self, now: float) -> None:
        state = self._state
        self._round += 1
        self._round_sent_at[self._round] = now
        self._heartbeat_due = now + state.timing.heartbeat_interval * (1 - ROUND_SLACK)
        for peer in self._progress:
            self._send_next(now, peer, is_round=True)
        self._extend_lease()

    def _send_next(self, now: float, peer: InstanceId, *, is_round: bool) -> None:
        state = self._state
        progress = self._progress[peer]
        previous = LogIndex(progress.next_index - 1)
        previous_term = state.log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(now, peer, progress)
            return
        budget = MAX_IN_FLIGHT_BYTES - progress.in_flight_bytes
        entries = state.log.batch(previous, budget) if budget > 0 else ()
        if not entries and not is_round:
            return
        if entries:
            # The next message continues after this batch; a rejection moves the position back.
            progress.record_sent(entries[-1].index, sum(len(entry.command) for entry in entries))
        request = AppendRequest(
            state.name,
            state.instance,
            state.term,
            previous,
            previous_term,
            state.commit,
            self._round,
            entries,
            progress.disk if progress.is_recovering and progress.is_readmitted else 0,
        )
        state.send(peer, request)

    def _send_snapshot(self, now: float, peer: InstanceId, progress: Progress) -> None:
        snapshot = self._state.log.snapshot
        if progress.chunk_index != snapshot.index:
            progress.chunk_index = snapshot.index
            progress.chunk_offset = 0
            self._send_chunk(now, peer, progress, SNAPSHOT_CHUNK_BYTES)
        else:
            # A heartbeat only: the reply reports the offset of the missing bytes.
            self._send_chunk(now, peer, progress, 0)

    def _send_chunk(self, now: float, peer: InstanceId, progress: Progress, size: int) -> None:
        state = self._state
        snapshot = state.log.snapshot
        if progress.chunk_index != snapshot.index:
            return
        if size:
            progress.chunk_sent_at = now
        offset = progress.chunk_offset
        request = SnapshotRequest(
            state.name,
            state.instance,
            state.term,
            self._round,
            snapshot.index,
            snapshot.term,
            snapshot.voters,
            len(snapshot.data),
            offset,
            snapshot.data[offset : offset + size],
        )
        state.send(peer, request)

    def _advance_commit(self) -> None:
        state = self._state
        candidate = reached_by_quorum(
            self._quorum_values("match", state.log.last_index), state.log.voters
        )
        # Only an entry of the leader's own term commits by counting replicas.
        if state.log.term_at(candidate) == state.term:
            state.advance_commit(candidate)

    def _extend_lease(self) -> None:
        confirmed = reached_by_quorum(
            self._quorum_values("acknowledged_round", self._round), self._state.log.voters
        )
        sent_at = self._round_sent_at.get(confirmed)
        if sent_at is None:
            return
        self._lease_start = max(self._lease_start, sent_at)
        for number in [number for number in self._round_sent_at if number < confirmed]:
            del self._round_sent_at[number]

    def _quorum_values(self, attribute: str, own: int) -> list[int]:
        """Return ``attribute`` of each counting peer, and ``own`` if this instance is a voter."""
        state = self._state
        peers = (self._progress[peer] for peer in state.peers)
        values = [
            int(getattr(progress, attribute))
            for progress in peers
            if progress.counts_towards_quorum
        ]
        return [*values, own] if state.is_voter else values

    def _has_quorum_contact(self, now: float) -> bool:
        state = self._state
        limit = now - QUORUM_TIMEOUTS * state.timing.election_timeout - state.write_allowance
        peers = [self._progress[peer] for peer in state.peers]
        responsive = sum(
            progress.last_contact_at >= limit and progress.counts_towards_quorum
            for progress in peers
        )
        return responsive + state.is_voter >= state.quorum
