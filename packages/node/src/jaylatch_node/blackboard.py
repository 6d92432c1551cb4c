"""Typed state of one process, shared by its controllers."""

from dataclasses import dataclass, field

from jaylatch_core.configuration import Configuration, PresetPolicy
from jaylatch_core.deployment import NO_DEPLOYMENT, Deployment
from jaylatch_core.enums import Preset
from jaylatch_core.events import EventLog
from jaylatch_core.ids import (
    Epoch,
    FailureDomainId,
    Generation,
    GroupId,
    Incarnation,
    InstanceId,
)
from jaylatch_core.messages.membership import (
    Assignment,
    PresetState,
    TargetAnnouncement,
    View,
)
from jaylatch_core.messages.requests import AttemptStarted, TargetReport
from jaylatch_decisions.leases import AnnouncedDeployments, HeldLease
from jaylatch_node.observability import Metrics

NO_GROUP = GroupId("")
NO_EPOCH = Epoch(0)


@dataclass(frozen=True)
class Identity:
    """Identity of this process. ``stream`` is the address that other processes connect to."""

    instance: InstanceId
    incarnation: Incarnation
    failure_domain: FailureDomainId
    stream: str


@dataclass
class GrantBoard:
    """Contents of the latest lease grant.

    ``gateways`` is the number of gateways that a leader last knew of, 0 if it was never told.
    """

    lease: HeldLease
    generation: Generation = Generation(0)
    configuration: Configuration = Configuration()
    preset: PresetState = PresetState(
        Preset.ORDINARY, Generation(0), Preset.ORDINARY, Generation(0)
    )
    view: View = View(0, (), ())
    assignment: Assignment | None = None
    is_drained: bool = False
    deployment: Deployment = Deployment(NO_DEPLOYMENT)
    announced: AnnouncedDeployments = field(default_factory=AnnouncedDeployments)
    gateways: int = 0

    @property
    def has_configuration(self) -> bool:
        """Return whether this process was ever told a configuration.

        A leader grants leases before the initial configuration has been committed.
        """
        return self.generation > 0

    @property
    def preset_generation(self) -> Generation:
        """Return the newest preset generation that this process has acted on."""
        return Generation(max(self.preset.generation, self.preset.prepared_generation))

    def policy(self) -> PresetPolicy:
        """Return the policy in force; during a switch, the stricter value of both presets."""
        current = self.configuration.policy(self.preset.preset)
        if not self.preset.prepared_generation:
            return current
        return stricter_policy(current, self.configuration.policy(self.preset.prepared))


@dataclass
class MemberBoard:
    """State of this agent's target. Times are seconds of the monotonic clock.

    ``group`` and ``epoch`` are those that the target reports. ``member_last_contact_at`` maps each
    other member to the latest time at which it is known to have been ready.
    """

    announcement: TargetAnnouncement | None = None
    healthy_at: float = 0.0
    group: GroupId = NO_GROUP
    epoch: Epoch = NO_EPOCH
    is_loaded: bool = False
    member_last_contact_at: dict[InstanceId, float] = field(default_factory=dict)
    in_flight: int = 0

    def record_tokens(self, now: float, timeout: float) -> None:
        """Record that a healthy engine has generated tokens, so it is alive.

        Where the processor is short, the answer to a probe can take longer than ``timeout`` while
        streams go on. A target that is not healthy any more, or has died, stays so until a probe.
        """
        if self.healthy_at > now - timeout:
            self.healthy_at = now

    def record_own_pause(self, now: float, pause: float, timeout: float) -> None:
        """Record that this process ran nothing, and read no answer, for the last ``pause`` seconds.

        A target that was healthy before gets that time again, at most ``timeout`` seconds.
        """
        if self.healthy_at > now - pause - timeout:
            self.healthy_at = min(self.healthy_at + min(pause, timeout), now)


@dataclass
class TargetBoard:
    """State of one agent as known to an entry.

    ``others_in_flight`` counts the attempts of other entries as of the latest message.
    ``reserved_until`` holds an expiry time for each route that was chosen but not yet used.
    """

    report: TargetReport | None = None
    received_at: float = 0.0
    own_in_flight: int = 0
    others_in_flight: int = 0
    limit: int = 1
    reserved_until: list[float] = field(default_factory=list)

    def load(self, now: float) -> int:
        """Return the number of this entry's attempts and unexpired reservations."""
        self.reserved_until = [until for until in self.reserved_until if until > now]
        return self.own_in_flight + len(self.reserved_until)

    def record_report(self, now: float, report: TargetReport) -> None:
        """Replace the known state by that of an agent's report."""
        self.report = report
        self.received_at = now
        self.others_in_flight = report.in_flight - report.own_in_flight
        self.limit = report.limit

    def record_start(self, started: AttemptStarted) -> None:
        """Update the load from an ``AttemptStarted`` message."""
        if started.limit >= 0:
            self.others_in_flight = started.others_in_flight
            self.limit = started.limit


@dataclass
class Blackboard:
    """All shared state of one process."""

    identity: Identity
    events: EventLog
    grant: GrantBoard
    metrics: Metrics = field(default_factory=Metrics)
    member: MemberBoard = field(default_factory=MemberBoard)
    targets: dict[InstanceId, TargetBoard] = field(default_factory=dict)

    def target(self, instance: InstanceId) -> TargetBoard:
        """Return the board of the agent on ``instance``, created on first use."""
        return self.targets.setdefault(instance, TargetBoard())


def stricter_policy(first: PresetPolicy, second: PresetPolicy) -> PresetPolicy:
    """Return a policy with the stricter value of each field of two policies."""
    return PresetPolicy(
        spares_per_domain=max(first.spares_per_domain, second.spares_per_domain),
        target_concurrency=min(first.target_concurrency, second.target_concurrency),
        queue_limit=min(first.queue_limit, second.queue_limit),
        retry_budget=min(first.retry_budget, second.retry_budget),
        drain_timeout=max(first.drain_timeout, second.drain_timeout),
        retry_burst=min(first.retry_burst, second.retry_burst),
        quarantine_time=max(first.quarantine_time, second.quarantine_time),
    )
