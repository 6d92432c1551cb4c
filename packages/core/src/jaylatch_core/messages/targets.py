"""What direct targets say of themselves, and the answers of control."""

from enum import Enum

import msgspec

from jaylatch_core.deployment import Deployment, DeploymentNumber
from jaylatch_core.ids import NO_DIGEST, Epoch, FailureDomainId, GroupId, InstanceId, RequestDigest


class MemberState(str, Enum):
    """State of a target within the group that it reports."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class ReportedMembership(msgspec.Struct, frozen=True):
    """The group that a target says it is in; ``rank`` 0 is the head."""

    group: GroupId
    epoch: Epoch
    rank: int
    state: MemberState


class TargetCheckIn(msgspec.Struct, frozen=True, tag=True):
    """A heartbeat of a direct target.

    ``born_at`` is the wall-clock millisecond of its start and names the incarnation; ``sequence``
    grows with each heartbeat of an incarnation, so that a late one is known. Only instances of one
    ``fabric_domain`` form a group. ``staged_models`` lie on its host and load in a short time.
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


class TargetDeparture(msgspec.Struct, frozen=True, tag=True):
    """A target says that it ends; it takes no new work any more."""

    instance: InstanceId


class TargetAcknowledged(msgspec.Struct, frozen=True, tag=True):
    """The control leader has taken a heartbeat or a departure into account."""

    instance: InstanceId


class SuspectTarget(msgspec.Struct, frozen=True, tag=True):
    """A gateway hears nothing from the head of a group, or cannot connect to a target.

    ``digest`` is that of a request during which the target closed its connection, else empty.
    """

    instance: InstanceId
    digest: RequestDigest = NO_DIGEST


class PublishDeployment(msgspec.Struct, frozen=True, tag=True):
    """Puts a deployment in force if its number is the highest so far.

    ``source`` is the document as the operator sent it, kept so that it is read back unchanged.
    """

    deployment: Deployment
    source: bytes


class ReadDeployment(msgspec.Struct, frozen=True, tag=True):
    """Asks for the newest accepted deployment document."""


class DeploymentReport(msgspec.Struct, frozen=True, tag=True):
    """The newest accepted document as it was sent; ``number`` 0 and no bytes if there is none."""

    number: DeploymentNumber
    source: bytes
