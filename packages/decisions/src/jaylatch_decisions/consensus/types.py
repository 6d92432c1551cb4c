"""Types shared by the consensus modules and their caller."""

from enum import Enum

import msgspec

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.consensus import ConsensusMessage, HardState, LogEntry, Snapshot

NOBODY = InstanceId("")


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
    """Actions that the caller must carry out, in the order of the fields.

    ``snapshot`` was received from the leader: it replaces the state machine and the stored log up
    to its index; ``entries`` then holds all entries after it.
    """

    snapshot: Snapshot | None = None
    hard_state: HardState | None = None
    entries: list[LogEntry] = msgspec.field(default_factory=list)
    messages: list[tuple[InstanceId, ConsensusMessage]] = msgspec.field(default_factory=list)
    committed: list[LogEntry] = msgspec.field(default_factory=list)
