"""Messages and records of a replicated log. ``log`` is its name.

The voters' messages are MessagePack arrays with short tags, since an idle control instance sends
mostly heartbeats.
"""

import msgspec

from jaylatch_core.ids import InstanceId, LogIndex, Term


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry; ``command`` is an encoded command of the log's state machine (empty: no-op).

    ``voters``, if not empty, is the set of voters from this entry on.
    """

    index: LogIndex
    term: Term
    command: bytes
    voters: tuple[InstanceId, ...] = ()


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """State that a voter must persist before it replies.

    ``disk`` is the number of the disk, greater than that of any earlier disk of this instance.
    ``is_recovering`` is True from the start on an empty disk until the voter may vote (again).
    ``first_voters`` are the voters of the first start (none: the log began before this disk), and
    ``is_first_start`` is True if the disk is known to have been empty at that start.
    """

    term: Term
    voted_for: InstanceId
    disk: int = 0
    is_recovering: bool = False
    first_voters: tuple[InstanceId, ...] = ()
    is_first_start: bool = False


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state machine and the voters after the entry at ``index``."""

    index: LogIndex
    term: Term
    voters: tuple[InstanceId, ...]
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """Asks for a vote; with ``is_pre_vote`` it only asks whether a vote would be given.

    ``is_transfer``: the leader of the previous term released its lease and asked for this election.
    ``recovering_disk`` is the number of the sender's disk while it may not vote; replies return it.
    ``start`` is the number of the sender's start while it withholds its vote because of that start.
    """

    log: str
    sender: InstanceId
    term: Term
    last_index: LogIndex
    last_term: Term
    is_pre_vote: bool
    is_transfer: bool = False
    recovering_disk: int = 0
    start: int = 0


class VoteReply(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """Answer to a ``VoteRequest`` of the same ``term``.

    ``is_fresh``: the sender has no entry and has seen no term. ``recovering_disk`` and ``start``
    are the request's. ``is_leading`` and ``voters`` are the sender's state, for ``start``.
    """

    log: str
    sender: InstanceId
    term: Term
    is_granted: bool
    is_pre_vote: bool
    is_fresh: bool = False
    recovering_disk: int = 0
    start: int = 0
    is_leading: bool = True
    voters: tuple[InstanceId, ...] = ()


class AppendRequest(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """Replicates entries after ``previous_index``; empty as a heartbeat.

    ``round`` is returned in the reply; from it the leader computes the start of its lease.
    ``readmitted_disk`` is the number of the receiver's disk if it may vote from now on.
    """

    log: str
    sender: InstanceId
    term: Term
    previous_index: LogIndex
    previous_term: Term
    commit: LogIndex
    round: int
    entries: tuple[LogEntry, ...]
    readmitted_disk: int = 0


class AppendReply(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """Answer to an ``AppendRequest``; ``match`` is the last index at which the logs agree.

    If ``is_accepted`` is False, ``match`` is a hint: an index up to which they may agree.
    """

    log: str
    sender: InstanceId
    term: Term
    is_accepted: bool
    match: LogIndex
    round: int
    disk: int = 0
    is_recovering: bool = False


class SnapshotRequest(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """Sends the bytes of a snapshot from ``offset``; without bytes it is a heartbeat."""

    log: str
    sender: InstanceId
    term: Term
    round: int
    index: LogIndex
    last_term: Term
    voters: tuple[InstanceId, ...]
    size: int
    offset: int
    data: bytes


class SnapshotReply(msgspec.Struct, frozen=True, tag=6, array_like=True):
    """Answer to a ``SnapshotRequest``: ``offset`` is the number of bytes received."""

    log: str
    sender: InstanceId
    term: Term
    round: int
    index: LogIndex
    offset: int
    disk: int = 0
    is_recovering: bool = False


class TransferLeadership(msgspec.Struct, frozen=True, tag=7, array_like=True):
    """Asks an up-to-date voter to start an election now; the leader of ``term`` stepped down."""

    log: str
    sender: InstanceId
    term: Term


ConsensusMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | TransferLeadership
)


class ConsensusBatch(msgspec.Struct, frozen=True, tag=True):
    """Messages of all logs between two control instances from one iteration of the event loop."""

    messages: tuple[ConsensusMessage, ...]
