"""Replicated state of the control log. ``apply`` is deterministic and reads no clock."""

from collections import OrderedDict

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.configuration import Configuration, ModelSpecification
from jaylatch_core.deployment import NO_DEPLOYMENT, Deployment
from jaylatch_core.enums import DrainScope, GroupState, Preset
from jaylatch_core.exceptions import CommandRefused, GenerationConflict
from jaylatch_core.ids import (
    CommandId,
    Epoch,
    FailureDomainId,
    Generation,
    GroupId,
    InstanceId,
    PromptPartId,
)
from jaylatch_core.messages.control import (
    ApplyConfiguration,
    CommandAccepted,
    CommitPreset,
    ConfigurationRecord,
    ConfirmRelease,
    ControlCommand,
    DissolveGroup,
    EvacuationOrder,
    FormGroup,
    Group,
    PreparePreset,
    QuarantineParts,
    RepairGroup,
    SetDrain,
)
from jaylatch_core.messages.membership import PresetState
from jaylatch_core.messages.targets import (
    DeploymentReport,
    PublishDeployment,
    TargetDeparture,
)
from jaylatch_decisions.control.deployment_history import DeploymentHistory
from jaylatch_decisions.control.snapshot import (
    ControlSnapshot,
    RememberedResult,
    decode_snapshot,
    encode_snapshot,
)

REMEMBERED_COMMANDS = 10_000
REMEMBERED_CONFIGURATIONS = 20
REMEMBERED_DEPARTURES = 1_000

ControlResult = Result[CommandAccepted, CommandRefused | GenerationConflict]


class ControlState:
    """Configuration, preset, groups, drains and quarantine that the control quorum has committed.

    ``occupied`` maps each instance that left a group without a confirmed release to the epoch
    under which it may still act. Such an instance cannot join a group. ``published`` is the
    deployment document in force as the operator sent it. ``evacuations`` are the orders behind the
    drains of failure domains; ``ended_by`` names who ended one since this process started.
    ``drain_generation`` counts the orders that changed ``drains``. ``departures`` are the latest of
    direct targets, whose late heartbeats may arrive after control has started anew.
    """

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.generation = Generation(0)
        self.deployments = DeploymentHistory()
        self.published = DeploymentReport(NO_DEPLOYMENT, b"")
        self.preset = PresetState(Preset.ORDINARY, Generation(0), Preset.ORDINARY, Generation(0))
        self.groups: dict[GroupId, Group] = {}
        self.occupied: dict[InstanceId, Epoch] = {}
        self.drains: set[tuple[DrainScope, str]] = set()
        self.drain_generation = Generation(0)
        self.evacuations: dict[FailureDomainId, EvacuationOrder] = {}
        self.ended_by: dict[FailureDomainId, str] = {}
        self.history: list[ConfigurationRecord] = []
        self.quarantined_parts: tuple[PromptPartId, ...] = ()
        self.departures: dict[InstanceId, TargetDeparture] = {}
        self._effective: tuple[Configuration, Deployment, Configuration] | None = None
        self._preset_operator = ""
        self._last_epoch = 0
        self._results: OrderedDict[CommandId, ControlResult] = OrderedDict()

    @property
    def deployment(self) -> Deployment:
        """Return the deployment in force."""
        return self.deployments.current

    @classmethod
    def load(cls, data: bytes) -> "ControlState":
        """Decode the result of ``dump``. Raises ``msgspec.DecodeError`` for other bytes."""
        snapshot = decode_snapshot(data)
        state = cls()
        state.configuration = snapshot.configuration
        state.generation = snapshot.generation
        state.preset = snapshot.preset
        state.groups = {group.id: group for group in snapshot.groups}
        state.occupied = dict(snapshot.occupied)
        state.drains = set(snapshot.drains)
        state.drain_generation = snapshot.drain_generation
        state.evacuations = _evacuations(snapshot)
        state.history = list(snapshot.history)
        state.quarantined_parts = snapshot.quarantined_parts
        state.departures = {item.instance: item for item in snapshot.departures}
        state._preset_operator = snapshot.preset_operator
        state._last_epoch = snapshot.last_epoch
        state.deployments = DeploymentHistory(snapshot.deployment)
        state.published = DeploymentReport(snapshot.deployment.number, snapshot.published)
        for item in snapshot.results:
            state._results[item.command] = _to_result(item.result)
        return state

    def dump(self) -> bytes:
        """Return the complete state, including stored command results, for a snapshot."""
        results = tuple(
            RememberedResult(command, _from_result(result))
            for command, result in self._results.items()
        )
        return encode_snapshot(
            ControlSnapshot(
                self.configuration,
                self.generation,
                self.preset,
                tuple(self.groups.values()),
                self.occupied,
                tuple(sorted(self.drains)),
                Epoch(self._last_epoch),
                results,
                tuple(self.history),
                self._preset_operator,
                self.deployment,
                self.published.source,
                self.quarantined_parts,
                tuple(self.evacuations.values()),
                self.drain_generation,
                tuple(self.departures.values()),
            )
        )

    def apply(self, command: ControlCommand) -> ControlResult:
        """Apply a committed command. A resent command id gets its first result again."""
        match command:
            case ApplyConfiguration() | PreparePreset() | SetDrain():
                return self._apply_once(command)
            case CommitPreset():
                return self._commit_preset(command)
            case FormGroup():
                return self._form(command)
            case RepairGroup():
                return self._repair(command)
            case DissolveGroup():
                return self._dissolve(command)
            case ConfirmRelease():
                return self._confirm_release(command)
            case PublishDeployment():
                return self._publish(command)
            case QuarantineParts(parts):
                self.quarantined_parts = parts
                return Success(CommandAccepted(len(parts)))
            case TargetDeparture():
                return self._depart(command)

    def effective_configuration(self) -> Configuration:
        """Return the configuration including the models that the deployment defines."""
        if self._effective is not None:
            configuration, deployment, effective = self._effective
            if configuration is self.configuration and deployment is self.deployment:
                return effective
        effective = self._build_effective_configuration()
        self._effective = (self.configuration, self.deployment, effective)
        return effective

    def _build_effective_configuration(self) -> Configuration:
        profiles = self.deployment.engine_models
        if not profiles:
            return self.configuration
        models = tuple(
            ModelSpecification(model.name, model.size, 0, model.share / model.size)
            for model in profiles
        )
        return msgspec.structs.replace(
            self.configuration, models=self.configuration.models + models
        )

    def group_of(self, instance: InstanceId) -> Group | None:
        """Return the group that ``instance`` is a member of, or None."""
        return next((item for item in self.groups.values() if instance in item.members), None)

    def _apply_once(self, command: ApplyConfiguration | PreparePreset | SetDrain) -> ControlResult:
        known = self._results.get(command.command)
        if known is not None:
            return known
        if isinstance(command, SetDrain) and self._is_outdated(command):
            # Not remembered: the command may be sent again with the generation read anew.
            return Err(
                GenerationConflict(
                    f"the drains have changed since generation {command.expected};"
                    " read them and decide again",
                    self.drain_generation,
                )
            )
        match command:
            case ApplyConfiguration():
                result = self._apply_configuration(command)
            case PreparePreset():
                result = self._prepare_preset(command)
            case SetDrain():
                result = self._set_drain(command)
        self._results[command.command] = result
        if len(self._results) > REMEMBERED_COMMANDS:
            self._results.popitem(last=False)
        return result

    def _apply_configuration(self, command: ApplyConfiguration) -> ControlResult:
        if command.expected != self.generation:
            return Err(
                GenerationConflict(
                    f"configuration generation is {self.generation}, not {command.expected};"
                    " read it, merge your change and apply again",
                    self.generation,
                    self._describe_latest(),
                )
            )
        self.generation = Generation(self.generation + 1)
        self.configuration = command.configuration
        record = ConfigurationRecord(
            self.generation, command.command, command.operator, command.at, command.configuration
        )
        self.history = [*self.history, record][-REMEMBERED_CONFIGURATIONS:]
        return Success(CommandAccepted(self.generation))

    def _publish(self, command: PublishDeployment) -> ControlResult:
        """Put a document in force if its number is higher than the current one, else do nothing.

        The result contains the number in force, so a resend is acknowledged like the first request.
        """
        if command.deployment.number > self.deployment.number:
            self.deployments.publish(command.deployment)
            self.published = DeploymentReport(command.deployment.number, command.source)
        return Success(CommandAccepted(self.deployment.number))

    def _prepare_preset(self, command: PreparePreset) -> ControlResult:
        latest = max(self.preset.generation, self.preset.prepared_generation)
        if command.expected != latest:
            return Err(
                GenerationConflict(
                    f"preset generation is {latest}, not {command.expected};"
                    " read the preset in force and decide again",
                    Generation(latest),
                    f"preset {self.preset.prepared.value!r} by {self._preset_operator!r}",
                )
            )
        if self.preset.prepared_generation:
            return Err(CommandRefused("a preset switch is in progress; wait until it is in force"))
        prepared = Generation(latest + 1)
        self._preset_operator = command.operator
        self.preset = PresetState(
            self.preset.preset, self.preset.generation, command.preset, prepared
        )
        return Success(CommandAccepted(prepared))

    def _commit_preset(self, command: CommitPreset) -> ControlResult:
        if command.generation != self.preset.prepared_generation:
            return Err(
                CommandRefused("this preset switch has already ended; read the preset in force")
            )
        self.preset = PresetState(
            self.preset.prepared, command.generation, self.preset.prepared, Generation(0)
        )
        return Success(CommandAccepted(command.generation))

    def _set_drain(self, command: SetDrain) -> ControlResult:
        drain = (command.scope, command.subject)
        is_group = command.scope is DrainScope.GROUP
        if command.is_draining and is_group and GroupId(command.subject) not in self.groups:
            return Err(CommandRefused(f"group {command.subject!r} does not exist; list the groups"))
        if command.is_draining is (drain in self.drains):
            return Success(CommandAccepted(len(self.drains)))
        self.drain_generation = Generation(self.drain_generation + 1)
        if command.is_draining:
            self.drains.add(drain)
        else:
            self.drains.discard(drain)
        if command.scope is DrainScope.FAILURE_DOMAIN:
            self._set_evacuation(command)
        return Success(CommandAccepted(len(self.drains)))

    def _is_outdated(self, command: SetDrain) -> bool:
        """Return whether an order would undo one that its sender does not know of."""
        if command.expected is None or command.expected == self.drain_generation:
            return False
        is_in_force = (command.scope, command.subject) in self.drains
        return command.is_draining is not is_in_force

    def _set_evacuation(self, command: SetDrain) -> None:
        """Record who started or ended an evacuation; an order that changes nothing is not."""
        domain = FailureDomainId(command.subject)
        if command.is_draining:
            order = EvacuationOrder(domain, command.operator, command.at)
            self.evacuations.setdefault(domain, order)
        elif self.evacuations.pop(domain, None) is not None:
            self.ended_by[domain] = command.operator

    def _describe_latest(self) -> str:
        if not self.history:
            return ""
        latest = self.history[-1]
        return f"generation {latest.generation} by {latest.operator!r}, command {latest.command!r}"

    def _form(self, command: FormGroup) -> ControlResult:
        if not self._are_free(command.members):
            return Err(
                CommandRefused(
                    f"an instance of {command.members} is listed twice, in a group or not released"
                )
            )
        epoch = self._next_epoch()
        group = GroupId(f"{command.model}-{epoch}")
        self.groups[group] = Group(group, epoch, command.model, command.members, GroupState.ACTIVE)
        return Success(CommandAccepted(epoch))

    def _repair(self, command: RepairGroup) -> ControlResult:
        group = self.groups.get(command.group)
        if group is None or group.epoch != command.expected:
            return Err(
                CommandRefused(f"group {command.group!r} has changed since the plan was made")
            )
        joining = tuple(item for item in command.members if item not in group.members)
        if not self._are_free(joining) or len(set(command.members)) != len(command.members):
            return Err(
                CommandRefused(
                    f"an instance of {joining} is listed twice, in a group or not released"
                )
            )
        for leaving in set(group.members) - set(command.members):
            self.occupied[leaving] = group.epoch
        epoch = self._next_epoch()
        self.groups[group.id] = Group(
            group.id, epoch, group.model, command.members, GroupState.ACTIVE
        )
        return Success(CommandAccepted(epoch))

    def _dissolve(self, command: DissolveGroup) -> ControlResult:
        group = self.groups.get(command.group)
        if group is None or group.epoch != command.expected:
            return Err(
                CommandRefused(f"group {command.group!r} has changed since the plan was made")
            )
        for member in group.members:
            self.occupied[member] = group.epoch
        del self.groups[command.group]
        self.drains.discard((DrainScope.GROUP, command.group))
        return Success(CommandAccepted(group.epoch))

    def _confirm_release(self, command: ConfirmRelease) -> ControlResult:
        epoch = self.occupied.get(command.instance)
        if epoch is not None and epoch <= command.epoch:
            del self.occupied[command.instance]
        return Success(CommandAccepted(command.epoch))

    def _depart(self, departure: TargetDeparture) -> ControlResult:
        self.departures.pop(departure.instance, None)
        self.departures[departure.instance] = departure
        if len(self.departures) > REMEMBERED_DEPARTURES:
            del self.departures[next(iter(self.departures))]
        return Success(CommandAccepted(len(self.departures)))

    def _are_free(self, instances: tuple[InstanceId, ...]) -> bool:
        is_repeated = len(set(instances)) != len(instances)
        is_taken = any(
            item in self.occupied or self.group_of(item) is not None for item in instances
        )
        return not is_repeated and not is_taken

    def _next_epoch(self) -> Epoch:
        self._last_epoch += 1
        return Epoch(self._last_epoch)


def _from_result(result: ControlResult) -> CommandAccepted | CommandRefused | GenerationConflict:
    return result.unwrap() if is_successful(result) else result.failure()


def _to_result(body: CommandAccepted | CommandRefused | GenerationConflict) -> ControlResult:
    match body:
        case CommandAccepted():
            return Success(body)
        case _:
            return Err(body)


def _evacuations(snapshot: ControlSnapshot) -> dict[FailureDomainId, EvacuationOrder]:
    """Return the evacuations of a snapshot; that of an older release has only the drains."""
    domains = [
        FailureDomainId(subject)
        for scope, subject in snapshot.drains
        if scope is DrainScope.FAILURE_DOMAIN
    ]
    known = {order.domain: order for order in snapshot.evacuations}
    return {domain: known.get(domain, EvacuationOrder(domain)) for domain in domains}
