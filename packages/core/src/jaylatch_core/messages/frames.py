"""Frame of the streams: a body that is a one-way message, a call or a reply."""

import msgspec

from jaylatch_core.exceptions import (
    CommandRefused,
    ConfigurationInvalid,
    DomainUnknown,
    GenerationConflict,
    NotLeader,
    StorageFailed,
    Unavailable,
)
from jaylatch_core.messages.administration import (
    EventReport,
    HistoryReport,
    MetricsReport,
    ReadEvents,
    ReadHistory,
    ReadMetrics,
    ReadStatus,
    StatusReport,
)
from jaylatch_core.messages.consensus import ConsensusBatch
from jaylatch_core.messages.control import (
    ApplyConfiguration,
    CommandAccepted,
    DrainGeneration,
    JoinControl,
    LeaveAnswered,
    LeaveControl,
    PreparePreset,
    ReadDrainGeneration,
    SetDrain,
    VotersAnnounced,
)
from jaylatch_core.messages.journal import (
    AbandonOrder,
    ClaimOrder,
    CompleteOrder,
    DispatchOrder,
    LookupOrder,
    OrderVerdict,
    ReleaseOrder,
)
from jaylatch_core.messages.membership import (
    LeaseGrant,
    MemberPing,
    MemberPong,
    RenewLease,
    ViewChanged,
)
from jaylatch_core.messages.places import (
    GiveBackPlace,
    PlaceDenied,
    PlaceGranted,
    PlaceQueued,
    PlacesFull,
    PlacesHeld,
    PlaceTaken,
    TakePlace,
)
from jaylatch_core.messages.requests import (
    AttemptChunk,
    AttemptCredit,
    AttemptEnd,
    AttemptRefused,
    AttemptStarted,
    CancelAttempt,
    QueryAttempt,
    ResumeAttempt,
    StartAttempt,
    TargetReport,
)
from jaylatch_core.messages.targets import (
    DeploymentReport,
    PublishDeployment,
    ReadDeployment,
    SuspectTarget,
    TargetAcknowledged,
    TargetCheckIn,
    TargetDeparture,
    TargetMessages,
)

FailureBody = (
    CommandRefused
    | ConfigurationInvalid
    | DomainUnknown
    | GenerationConflict
    | NotLeader
    | StorageFailed
    | Unavailable
)

Body = (
    ConsensusBatch
    | ApplyConfiguration
    | PreparePreset
    | SetDrain
    | ReadDrainGeneration
    | DrainGeneration
    | JoinControl
    | LeaveControl
    | LeaveAnswered
    | VotersAnnounced
    | CommandAccepted
    | ClaimOrder
    | LookupOrder
    | DispatchOrder
    | ReleaseOrder
    | CompleteOrder
    | AbandonOrder
    | OrderVerdict
    | RenewLease
    | LeaseGrant
    | ViewChanged
    | MemberPing
    | MemberPong
    | StartAttempt
    | CancelAttempt
    | ResumeAttempt
    | AttemptStarted
    | AttemptChunk
    | AttemptCredit
    | AttemptEnd
    | AttemptRefused
    | TargetReport
    | QueryAttempt
    | ReadStatus
    | StatusReport
    | ReadHistory
    | HistoryReport
    | ReadEvents
    | EventReport
    | ReadMetrics
    | MetricsReport
    | TargetCheckIn
    | TargetDeparture
    | TargetMessages
    | SuspectTarget
    | TargetAcknowledged
    | PublishDeployment
    | ReadDeployment
    | DeploymentReport
    | TakePlace
    | PlaceTaken
    | PlacesFull
    | PlaceQueued
    | PlaceGranted
    | PlaceDenied
    | PlacesHeld
    | GiveBackPlace
    | FailureBody
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One message. ``call`` is 0 if one-way, above 0 for a call, and ``-call`` for its reply.

    ``at`` and ``counter`` are the sender's hybrid logical clock.
    """

    call: int
    at: float
    counter: int
    body: Body


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the MessagePack form of ``frame``."""
    return _encoder.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Parse a frame. Raises ``msgspec.DecodeError`` if the bytes are not one."""
    return _decoder.decode(data)
