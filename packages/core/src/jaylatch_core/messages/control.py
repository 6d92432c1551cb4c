"""Commands of the control log, and the durable records they create."""

import msgspec

from jaylatch_core.configuration import Configuration
from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.enums import DrainScope, GroupState, Preset
from jaylatch_core.ids import (
    CommandId,
    Epoch,
    FailureDomainId,
    Generation,
    GroupId,
    InstanceId,
    PromptPartId,
)
from jaylatch_core.messages.targets import PublishDeployment, TargetDeparture


class ApplyConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Replaces the configuration if its generation is still ``expected``.

    ``at`` is the wall-clock time in seconds at which ``operator`` sent it.
    """

    command: CommandId
    expected: Generation
    configuration: Configuration
    operator: str = ""
    at: float = 0.0


class PreparePreset(msgspec.Struct, frozen=True, tag=True):
    """Starts a preset switch if the preset generation is still ``expected``."""

    command: CommandId
    expected: Generation
    preset: Preset
    operator: str = ""


class CommitPreset(msgspec.Struct, frozen=True, tag=True):
    """Ends the preset switch that was prepared as ``generation``."""

    generation: Generation


class FormGroup(msgspec.Struct, frozen=True, tag=True):
    """Creates a group of free instances; the first member is the head."""

    model: str
    members: tuple[InstanceId, ...]


class RepairGroup(msgspec.Struct, frozen=True, tag=True):
    """Replaces the members of a group under a new epoch, if its epoch is still ``expected``."""

    group: GroupId
    expected: Epoch
    members: tuple[InstanceId, ...]


class DissolveGroup(msgspec.Struct, frozen=True, tag=True):
    """Dissolves a group; its members become free one by one as they confirm their release."""

    group: GroupId
    expected: Epoch


class ConfirmRelease(msgspec.Struct, frozen=True, tag=True):
    """Records that an instance holds no role in any group of ``epoch`` or older."""

    instance: InstanceId
    epoch: Epoch


class SetDrain(msgspec.Struct, frozen=True, tag=True):
    """Starts or ends a drain. That of a failure domain is an evacuation.

    ``at`` is the wall-clock time in seconds at which ``operator`` sent it. It is refused if the
    drains have changed since ``expected`` (None: not checked), so that an order that was delayed on
    its way does not undo a later one.
    """

    command: CommandId
    scope: DrainScope
    subject: str
    is_draining: bool
    operator: str = ""
    at: float = 0.0
    expected: Generation | None = None


class ReadDrainGeneration(msgspec.Struct, frozen=True, tag=True):
    """Asks the leader for the generation of the drains, to be stated in a ``SetDrain``."""


class DrainGeneration(msgspec.Struct, frozen=True, tag=True):
    """The number of changes of the drains."""

    generation: Generation


class QuarantineParts(msgspec.Struct, frozen=True, tag=True):
    """Replaces the parts of prompts whose requests are refused because they end their targets."""

    parts: tuple[PromptPartId, ...]


ControlCommand = (
    ApplyConfiguration
    | PreparePreset
    | CommitPreset
    | FormGroup
    | RepairGroup
    | DissolveGroup
    | ConfirmRelease
    | SetDrain
    | PublishDeployment
    | QuarantineParts
    | TargetDeparture
)


class VotersAnnounced(msgspec.Struct, frozen=True, tag=True):
    """A voter names the voters of the control log to a control instance that may have no vote.

    ``known`` are all control instances that the leader has seen; it names them to voters only.
    """

    voters: tuple[ControlPeer, ...]
    known: tuple[ControlPeer, ...] = ()


class JoinControl(msgspec.Struct, frozen=True, tag=True):
    """A control instance without a vote in ``log`` asks the leader of that log for one.

    ``disk`` numbers its disk; a newer disk has a higher number (0: not known). ``is_successor`` is
    false if the instance has been there since the first start and never had a vote.
    """

    log: str
    instance: InstanceId
    disk: int = 0
    is_successor: bool = True


class LeaveControl(msgspec.Struct, frozen=True, tag=True):
    """A control instance that is about to end asks the leader of ``log`` to hand on its vote."""

    log: str
    instance: InstanceId


class LeaveAnswered(msgspec.Struct, frozen=True, tag=True):
    """The instance has no vote any more, or keeps it because nobody waits to take it over."""

    keeps_vote: bool


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """An accepted configuration and the operator who applied it."""

    generation: Generation
    command: CommandId
    operator: str
    at: float
    configuration: Configuration


class EvacuationOrder(msgspec.Struct, frozen=True):
    """Durable record of an evacuation in force; ``at`` is the time of the order that started it."""

    domain: FailureDomainId
    operator: str = ""
    at: float = 0.0


class Group(msgspec.Struct, frozen=True):
    """Durable record of a replica group; the first member is the head."""

    id: GroupId
    epoch: Epoch
    model: str
    members: tuple[InstanceId, ...]
    state: GroupState

    @property
    def head(self) -> InstanceId:
        """Return the member that receives requests from the entries."""
        return self.members[0]


class CommandAccepted(msgspec.Struct, frozen=True, tag=True):
    """A command took effect as ``generation`` (of a group command: the epoch)."""

    generation: int
