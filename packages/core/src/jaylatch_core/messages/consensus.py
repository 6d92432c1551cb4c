"""Messages and records of a replicated log. ``log`` names which one."""

import msgspec

from jaylatch_core.ids import InstanceId, LogIndex, Term


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry; ``command`` is an encoded command of the log's state machine (empty: no-op)."""

    index: LogIndex
    term: Term
    command: bytes


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What a voter must persist before it answers."""

    term: Term
    voted_for: InstanceId


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for a vote; with ``is_pre_vote`` it only asks whether a vote would be given."""

    log: str
    sender: InstanceId
    term: Term
    last_index: LogIndex
    last_term: Term
    is_pre_vote: bool


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to a ``VoteRequest`` of the same ``term``."""

    log: str
    sender: InstanceId
    term: Term
    is_granted: bool
    is_pre_vote: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Replicates entries after ``previous_index``; empty as a heartbeat.

    ``round`` is a number that the reply returns, by which the leader dates its lease.
    """

    log: str
    sender: InstanceId
    term: Term
    previous_index: LogIndex
    previous_term: Term
    commit: LogIndex
    round: int
    entries: tuple[LogEntry, ...]


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to an ``AppendRequest``; ``match`` is the last index known to agree, or a hint."""

    log: str
    sender: InstanceId
    term: Term
    is_accepted: bool
    match: LogIndex
    round: int


ConsensusMessage = VoteRequest | VoteReply | AppendRequest | AppendReply
