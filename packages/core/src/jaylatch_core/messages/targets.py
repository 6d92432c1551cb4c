"""Messages of direct targets about their state, and the replies of control."""

from enum import Enum

import msgspec

from jaylatch_core.deployment import Deployment, DeploymentNumber
from jaylatch_core.ids import (
    NO_DIGEST,
    Epoch,
    FailureDomainId,
    GroupId,
    InstanceId,
    PromptPartId,
    RequestDigest,
)

UNKNOWN_START = -1
"""Start of an incarnation that is not known; it is earlier than any other."""


class MemberState(str, Enum):
    """State of a target within its reported group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class ReportedMembership(msgspec.Struct, frozen=True):
    """The group that a target reports to be in; ``rank`` 0 is the head."""

    group: GroupId
    epoch: Epoch
    rank: int
    state: MemberState


class TargetCheckIn(msgspec.Struct, frozen=True, tag=True):
    """A heartbeat of a direct target.

    ``born_at`` is the wall-clock time of its start in milliseconds and identifies the incarnation.
    ``sequence`` increases with each heartbeat of an incarnation, so that a late one is recognised.
    Only instances of one ``fabric_domain`` form a group. ``staged_models`` are stored on the
    instance and load in a short time. ``cold_left`` is the number of seconds for which the target
    says that it stays cold, 0 if it says that it is warm, None if it does not say.
    """

    instance: InstanceId
    service: str
    address: str
    failure_domain: FailureDomainId
    fabric_domain: FailureDomainId
    born_at: int
    sequence: int
    is_draining: bool
    slots: int = 1
    membership: ReportedMembership | None = None
    staged_models: tuple[str, ...] = ()
    cold_left: float | None = None


class TargetDeparture(msgspec.Struct, frozen=True, tag=True):
    """A target announces that it leaves; it takes no new work.

    ``left_at`` is the wall-clock time in milliseconds at which a control instance received it, and
    ``born_at`` the start of the incarnation that the leader knew then.
    """

    instance: InstanceId
    left_at: int = 0
    born_at: int = UNKNOWN_START


class TargetMessages(msgspec.Struct, frozen=True, tag=True):
    """Messages of targets, in their order, that the leader forwards to the other voters."""

    messages: tuple[TargetCheckIn | TargetDeparture, ...]


class TargetAcknowledged(msgspec.Struct, frozen=True, tag=True):
    """The control leader has processed a heartbeat or a departure."""

    instance: InstanceId


class SuspectTarget(msgspec.Struct, frozen=True, tag=True):
    """A gateway reports an unresponsive group head, or a target to which it cannot connect.

    ``digest`` is that of a request during which the target closed its connection, else empty.
    ``parts`` are the shared parts of that request's prompt that no answer has proven sound.
    """

    instance: InstanceId
    digest: RequestDigest = NO_DIGEST
    parts: tuple[PromptPartId, ...] = ()


class PublishDeployment(msgspec.Struct, frozen=True, tag=True):
    """Puts a deployment in force if its number is the highest accepted so far.

    ``source`` is the document as the operator sent it, stored so that it is read back unchanged.
    """

    deployment: Deployment
    source: bytes


class ReadDeployment(msgspec.Struct, frozen=True, tag=True):
    """Asks for the newest accepted deployment document."""


class DeploymentReport(msgspec.Struct, frozen=True, tag=True):
    """The newest accepted document as it was sent; ``number`` 0 and no bytes if none."""

    number: DeploymentNumber
    source: bytes
