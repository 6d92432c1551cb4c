"""Messages about leases, target announcements, group members and views."""

import msgspec

from jaylatch_core.configuration import Configuration
from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.deployment import NO_DEPLOYMENT, DeploymentNumber
from jaylatch_core.enums import Preset, Role, TargetKind
from jaylatch_core.ids import (
    Epoch,
    FailureDomainId,
    Generation,
    GroupId,
    Incarnation,
    InstanceId,
    PromptPartId,
    RequestDigest,
    TargetDeathId,
    TargetId,
)


class TargetDeath(msgspec.Struct, frozen=True):
    """An unplanned end of a target, and the requests in flight at that time."""

    id: TargetDeathId
    digests: tuple[RequestDigest, ...]


class TargetAnnouncement(msgspec.Struct, frozen=True):
    """A target's announcement. ``service`` is the name of a plain service, else empty."""

    target: TargetId
    kind: TargetKind
    address: str
    checks_fencing: bool
    service: str = ""


class MemberReport(msgspec.Struct, frozen=True):
    """An agent's report of its instance. ``epoch`` 0 means that it is in no group.

    ``is_acting``: its lease is valid by its own clock. ``is_settled``: no order of this agent or
    its predecessor can still reach the engine. ``draining_epoch``: the epoch under which it starts
    no new work, so that ``in_flight`` can only decrease (0: none).
    """

    announcement: TargetAnnouncement | None
    is_target_healthy: bool
    group: GroupId
    epoch: Epoch
    is_loaded: bool
    is_serving: bool
    in_flight: int
    is_acting: bool = True
    is_settled: bool = True
    draining_epoch: Epoch = Epoch(0)


class GroupProgress(msgspec.Struct, frozen=True, array_like=True):
    """A gateway received part of an answer from a group ``age`` seconds before it sent this.

    A group generates nothing while one of its members is missing, so all were there.
    """

    group: GroupId
    epoch: Epoch
    age: float


class RenewLease(msgspec.Struct, frozen=True, tag=True):
    """Asks for a lease and acknowledges the generations that the node applies.

    ``preset`` is the newest preset generation that the node knows, prepared or in force;
    ``preset_in_force`` is the one that it knows to be in force. ``progress`` lists the groups that
    have served this gateway since its last renewal. ``answered_parts`` are those suspected parts of
    prompts to which it has received an answer.
    """

    instance: InstanceId
    incarnation: Incarnation
    roles: tuple[Role, ...]
    failure_domain: FailureDomainId
    stream: str
    configuration: Generation
    preset: Generation
    view: int
    member: MemberReport | None
    preset_in_force: Generation = Generation(0)
    deployment: DeploymentNumber = NO_DEPLOYMENT
    progress: tuple[GroupProgress, ...] = ()
    answered_parts: tuple[PromptPartId, ...] = ()


class Assignment(msgspec.Struct, frozen=True):
    """An instance's assignment to a group; the first of ``members`` is the head.

    ``addresses`` are the members' stream addresses in the same order. ``may_load`` permits
    reading the model from the weight store.
    """

    group: GroupId
    epoch: Epoch
    model: str
    members: tuple[InstanceId, ...]
    addresses: tuple[str, ...]
    is_draining: bool
    may_load: bool = True


class GroupRoute(msgspec.Struct, frozen=True):
    """Route of an entry or a gateway to a group for requests of its model.

    ``service`` and ``slots`` are set where the head is a direct target; ``address`` is then its
    HTTP address. ``is_ending``: the group completes its requests and takes no new ones.
    ``is_cold``: control takes the head for cold.
    """

    group: GroupId
    epoch: Epoch
    model: str
    head: InstanceId
    address: str
    failure_domain: FailureDomainId
    service: str = ""
    slots: int = 0
    is_ending: bool = False
    is_cold: bool = False


class ServiceRoute(msgspec.Struct, frozen=True):
    """Route of an entry or a gateway to a plain service; ``slots`` is set for a direct target.

    ``is_cold``: control takes the target for cold.
    """

    service: str
    instance: InstanceId
    address: str
    failure_domain: FailureDomainId
    slots: int = 0
    is_cold: bool = False


class PresetState(msgspec.Struct, frozen=True):
    """The preset in force, and the prepared one of a switch (generation 0: none)."""

    preset: Preset
    generation: Generation
    prepared: Preset
    prepared_generation: Generation


class View(msgspec.Struct, frozen=True):
    """Routing table of entries and gateways; ``version`` changes with the content.

    ``deaths`` are the latest deaths of direct targets with requests in flight. Requests with one of
    ``quarantined_parts`` in their prompts are not sent. Gateways report answers to requests with
    one of ``suspected_parts``. Targets in an ``evacuated`` domain get no new work.
    """

    version: int
    groups: tuple[GroupRoute, ...]
    services: tuple[ServiceRoute, ...]
    deaths: tuple[TargetDeath, ...] = ()
    quarantined_parts: tuple[PromptPartId, ...] = ()
    suspected_parts: tuple[PromptPartId, ...] = ()
    evacuated: tuple[FailureDomainId, ...] = ()


class LeaseGrant(msgspec.Struct, frozen=True, tag=True):
    """Grants a lease that starts at the time the renewal was sent.

    ``configuration``, ``deployment_change`` and ``view`` are None where the node already has the
    newest. ``deployment_change`` is a packed change from the deployment that the renewal names.
    ``assignment`` None: the agent's instance belongs to no group. ``control`` lists the voters.
    ``gateways`` is the number of gateways with a lease, 0 while the leader may not know them all.
    """

    duration: float
    generation: Generation
    preset: PresetState
    configuration: Configuration | None
    view: View | None
    assignment: Assignment | None
    is_drained: bool
    deployment_change: bytes | None = None
    control: tuple[ControlPeer, ...] = ()
    gateways: int = 0


class ViewChanged(msgspec.Struct, frozen=True, tag=True):
    """Asks a node to renew its lease at once, because the granted state has changed.

    ``deployment`` is the number of the deployment in force.
    """

    version: int
    deployment: DeploymentNumber = NO_DEPLOYMENT


class MemberPing(msgspec.Struct, frozen=True, tag=True):
    """The head asks a member whether it belongs to the group under this epoch."""

    group: GroupId
    epoch: Epoch


class MemberPong(msgspec.Struct, frozen=True, tag=True):
    """A member's answer. ``is_ready`` is True if its engine has loaded for this epoch.

    ``age`` is the number of seconds since the engine's last successful health check.
    """

    group: GroupId
    epoch: Epoch
    is_ready: bool
    age: float = 0.0
