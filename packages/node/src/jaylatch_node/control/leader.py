"""Duties of the control leader: leases, the view, the plan, preset switches and metrics."""

import logging
from asyncio import create_task
from collections.abc import Awaitable, Callable, Collection
from typing import NamedTuple

import msgspec

from jaylatch_core.clock import wall
from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.enums import DrainScope, Role, TargetKind
from jaylatch_core.event_names import EventName
from jaylatch_core.exceptions import DomainUnknown, Unavailable
from jaylatch_core.ids import FailureDomainId, InstanceId, Term
from jaylatch_core.log_records import PartsQuarantined, PlanCommitted, SupplyChanged, ViewPublished
from jaylatch_core.messages.administration import HistoryReport, StatusReport
from jaylatch_core.messages.control import (
    CommitPreset,
    ControlCommand,
    Group,
    QuarantineParts,
    SetDrain,
)
from jaylatch_core.messages.membership import (
    Assignment,
    GroupRoute,
    LeaseGrant,
    MemberReport,
    RenewLease,
    View,
    ViewChanged,
)
from jaylatch_core.messages.targets import DeploymentReport, SuspectTarget
from jaylatch_core.settings import LeaseSettings
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.groups import (
    Conversion,
    InstanceFacts,
    LoadPermit,
    LoadRequest,
    ModelSupply,
    PlanInput,
    count_supply,
    grant_load_permits,
    groups_to_recall,
    plan_conversion,
    plan_groups,
    plan_staging,
    plan_warm_ups,
    retiring_groups,
)
from jaylatch_decisions.leases import LeaseTable
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.control.drains import Drains
from jaylatch_node.control.evacuation import EvacuationController
from jaylatch_node.control.group_metrics import GroupMetrics
from jaylatch_node.control.retirement import RetirementController
from jaylatch_node.control.routes import group_route, service_routes, uses_views
from jaylatch_node.control.status import build_status
from jaylatch_node.control.targets import TargetController
from jaylatch_node.observability import log_record
from jaylatch_node.streams import StreamConnection

MISSED_RENEWALS_BEFORE_SUSPICION = 3
VIEW_VERSIONS_PER_TERM = 1 << 32
NO_VIEW = 0

_log = logging.getLogger("jaylatch.control")

Proposer = Callable[[ControlCommand], Awaitable[object]]


class _AnnouncedState(NamedTuple):
    """State that was last announced to the nodes. ``shared`` concerns all of them."""

    view: int = 0
    shared: object = None
    groups: frozenset[Group] = frozenset()
    permits: frozenset[LoadPermit] = frozenset()


class LeaderController:
    """Performs the leader's duties for one term of the control log."""

    def __init__(
        self,
        board: Blackboard,
        state: ControlState,
        settings: LeaseSettings,
        term: Term,
        propose: Proposer,
        now: float,
        targets: TargetController | None = None,
        list_peers: Callable[[], tuple[ControlPeer, ...]] = tuple,
        evacuation_bound: float = 5.0,
        apply_bound: float = 2.0,
    ) -> None:
        self._list_peers = list_peers
        self._board = board
        self._state = state
        self._term = term
        self._propose = propose
        self._targets = targets
        self._leases = LeaseTable(settings.duration, settings.drift, now)
        self._drains = Drains(state, self._leases)
        self._evacuations = EvacuationController(
            state, targets, self._leases, evacuation_bound, now
        )
        self._retirements = RetirementController(state, apply_bound)
        self._suspect_after = settings.renew_interval * MISSED_RENEWALS_BEFORE_SUSPICION
        self._plan_from = now + 2 * self._suspect_after
        self._view_from = now + self._suspect_after
        if targets is not None:
            self._plan_from = self._view_from = targets.plan_from
        self._renewed_at: dict[InstanceId, float] = {}
        self._usable_at: dict[InstanceId, float] = {}
        self._permits: frozenset[LoadPermit] = frozenset()
        self._connections: dict[InstanceId, StreamConnection] = {}
        self._view = View(term * VIEW_VERSIONS_PER_TERM, (), ())
        self._announced = _AnnouncedState()
        self._is_proposing = False
        self._supply: tuple[ModelSupply, ...] = ()
        self._gateways = 0
        self._metrics = GroupMetrics(now)

    @property
    def term(self) -> Term:
        """Return the term for which this controller leads."""
        return self._term

    def renew(self, now: float, renewal: RenewLease, connection: StreamConnection) -> LeaseGrant:
        """Grant a lease, with the configuration, view and deployment that the node lacks."""
        self._leases.grant(now, renewal)
        self._renewed_at[renewal.instance] = now
        self._connections[renewal.instance] = connection
        self._confirm_progress(now, renewal)
        self._clear_parts(renewal)
        has_configuration = renewal.configuration == self._state.generation
        return LeaseGrant(
            self._leases.duration,
            self._state.generation,
            self._state.preset,
            None if has_configuration else self._state.configuration,
            self._view if self._needs_view(now, renewal) else None,
            self._assignment(now, renewal.instance),
            self._drains.covers(renewal.instance, renewal.failure_domain),
            self._deployment_change(renewal),
            self._list_peers(),
            self._gateways,
        )

    def _count_gateways(self, now: float) -> int:
        """Return the number of gateways with a lease, 0 while some may be unknown."""
        if not self._leases.knows_all(now):
            return 0
        return sum(Role.GATEWAY in holder.renewal.roles for holder in self._leases.live(now))

    def _confirm_progress(self, now: float, renewal: RenewLease) -> None:
        for progress in renewal.progress:
            group = self._state.groups.get(progress.group)
            if group is not None and group.epoch == progress.epoch and self._targets is not None:
                self._targets.confirm_members(now - progress.age, group)

    def _clear_parts(self, renewal: RenewLease) -> None:
        if self._targets is not None:
            self._targets.part_evidence.clear(renewal.answered_parts)

    def _deployment_change(self, renewal: RenewLease) -> bytes | None:
        if renewal.deployment == self._state.deployment.number:
            return None
        return self._state.deployments.change_since(renewal.deployment)

    def on_targets_changed(self, now: float) -> None:
        """Apply a change in the registry of direct targets at once."""
        self._evacuations.update(now)
        self._refresh_view(now)
        self._announce_changes()

    def suspect(self, now: float, suspicion: SuspectTarget) -> None:
        """Check whether a direct target, or a member of its group, is lost."""
        if self._targets is not None:
            groups = self._state.groups.values()
            self._targets.suspect(
                now, suspicion.instance, groups, suspicion.digest, suspicion.parts
            )

    def check_drain(
        self, now: float, command: SetDrain, configured: Collection[FailureDomainId]
    ) -> DomainUnknown | Unavailable | None:
        """Return why an order to drain is refused, or None."""
        if command.scope is not DrainScope.FAILURE_DOMAIN:
            return None
        domain = FailureDomainId(command.subject)
        return self._evacuations.check_domain(now, domain, configured)

    def cold_targets(self, now: float) -> dict[InstanceId, str]:
        """Return the direct targets that are taken for cold, with their services."""
        return self._targets.coldness.list_cold(now) if self._targets is not None else {}

    def deployment(self) -> DeploymentReport:
        """Return the deployment document in force."""
        return self._state.published

    def tick(self, now: float) -> None:
        """Update metrics and view, notify nodes, send engine orders and propose commands."""
        if self._targets is not None:
            self._targets.use_deployment(self._state.deployment)
            policy = self._state.configuration.policy(self._state.preset.preset)
            self._targets.part_evidence.expire(now, policy.quarantine_time)
        self._gateways = self._count_gateways(now)
        self._evacuations.update(now)
        facts = self._evacuations.remaining_instances(self._facts(now))
        self._update_metrics(now, facts)
        self._retirements.follow_configuration(now)
        known = self._plan_input(now, facts)
        self._retirements.update(now, retiring_groups(known))
        self._permit_loads(now)
        self._refresh_view(now)
        self._announce_changes()
        plan_input = known if now >= self._plan_from else None
        conversion = plan_conversion(plan_input) if plan_input is not None else None
        # The plan comes first: instances that it uses must not be staged or warmed up meanwhile.
        if not self._is_proposing:
            commands = self._wanted_commands(now, plan_input, conversion)
            if commands:
                self._is_proposing = True
                create_task(self._propose_all(commands))
        if self._targets is not None and plan_input is not None:
            self._log_supply(plan_input)
            self._send_engine_orders(now, self._targets, plan_input, conversion)

    def _send_engine_orders(
        self,
        now: float,
        targets: TargetController,
        plan_input: PlanInput,
        conversion: Conversion | None,
    ) -> None:
        groups = tuple(self._state.groups.values())
        recalled = groups_to_recall(plan_input) | self._evacuations.closing(now)
        recalled |= self._retirements.closing(now)
        if conversion is not None and conversion.is_ready:
            recalled |= {conversion.group}
        targets.recall(now, recalled)
        staging: dict[InstanceId, str] = {}
        warm_ups: dict[InstanceId, str] = {}
        # While a plan is being committed, the set of free instances is about to change.
        if not self._is_proposing:
            staging = plan_staging(plan_input, conversion)
            warm_ups = plan_warm_ups(plan_input, targets.warm_models(groups))
        targets.send_orders(now, groups, staging, warm_ups)

    def status(self, now: float) -> StatusReport:
        """Return the complete state for operators."""
        return build_status(
            now,
            self._board.identity.instance,
            self._state,
            self._leases,
            self._outdated_instances(now),
            self._metrics,
            self._evacuations.status(),
        )

    def history(self) -> HistoryReport:
        """Return the latest configurations for operators."""
        return HistoryReport(tuple(self._state.history))

    # Views and assignments

    def _needs_view(self, now: float, renewal: RenewLease) -> bool:
        """Return whether the node uses views and lacks the current one.

        A new leader does not know all heads yet, so for a while a node keeps the view that an
        earlier leader gave it. A node without one, as after a restart of all processes, follows
        every view of this leader.
        """
        if not uses_views(renewal) or renewal.view == self._view.version:
            return False
        is_own_view = renewal.view >= self._term * VIEW_VERSIONS_PER_TERM
        return renewal.view == NO_VIEW or is_own_view or now >= self._view_from

    def _refresh_view(self, now: float) -> None:
        known = self._state.groups.values()
        retiring = self._retirements.retiring
        draining = {group.id for group in known if self._drains.is_draining(group, retiring)}
        admitting = (group for group in known if group.id not in draining)
        groups = tuple(
            route for group in admitting if (route := self._route(now, group)) is not None
        )
        services = service_routes(self._serving_renewals(now))
        evacuations = self._evacuations
        if self._targets is not None:
            # Gateways take the head of a group that is no longer listed for lost.
            ending = evacuations.ending.union(draining)
            direct = self._targets.group_routes(now, known, ending, evacuations.slot_fraction)
            groups += tuple(sorted(direct, key=lambda route: route.group))
            plain = self._targets.service_routes(
                now, evacuations.domains, evacuations.slot_fraction
            )
            services += tuple(sorted(plain, key=lambda route: route.instance))
        view = View(self._view.version, groups, services, evacuated=evacuations.withdrawn)
        if self._targets is not None:
            evidence = self._targets.part_evidence
            view = msgspec.structs.replace(
                view,
                deaths=self._targets.deaths,
                quarantined_parts=evidence.quarantined,
                suspected_parts=evidence.suspected,
            )
        if view != self._view:
            self._log_quarantine(view)
            self._view = msgspec.structs.replace(view, version=view.version + 1)
            names = tuple(
                f"{route.group}@{route.epoch}{'!' if route.is_ending else ''}" for route in groups
            )
            log_record(_log, ViewPublished(version=self._view.version, groups=names))
        evacuations.record_view(now, self._view.version)

    def _log_quarantine(self, view: View) -> None:
        """Log the parts of prompts that ``view`` names, if they are not those of the last view."""
        parts = (view.quarantined_parts, view.suspected_parts)
        if parts != (self._view.quarantined_parts, self._view.suspected_parts):
            log_record(_log, PartsQuarantined(quarantined=parts[0], suspected=parts[1]))

    def _route(self, now: float, group: Group) -> GroupRoute | None:
        holder = self._leases.holder(now, group.head)
        return group_route(group, holder.renewal) if holder is not None else None

    def _serving_renewals(self, now: float) -> list[RenewLease]:
        renewals = [holder.renewal for holder in self._leases.live(now)]
        return [
            item for item in renewals if not self._drains.covers(item.instance, item.failure_domain)
        ]

    def _assignment(self, now: float, instance: InstanceId) -> Assignment | None:
        group = self._state.group_of(instance)
        if group is None:
            return None
        holders = [self._leases.holder(now, member) for member in group.members]
        addresses = tuple(holder.renewal.stream if holder is not None else "" for holder in holders)
        return Assignment(
            group.id,
            group.epoch,
            group.model,
            group.members,
            addresses,
            self._drains.is_draining(group, self._retirements.retiring),
            (instance, group.epoch) in self._permits,
        )

    def _announce_changes(self) -> None:
        """Notify only the nodes that a change concerns, so that not all renew after a repair."""
        current = _AnnouncedState(
            self._view.version,
            (
                self._state.generation,
                self._state.preset,
                frozenset(self._state.drains),
                self._retirements.retiring,
                self._state.deployment.number,
            ),
            frozenset(self._state.groups.values()),
            self._permits,
        )
        announced, self._announced = self._announced, current
        if current == announced:
            return
        members = {
            member for group in current.groups ^ announced.groups for member in group.members
        }
        members |= {instance for instance, _ in current.permits ^ announced.permits}
        is_for_all = current.shared != announced.shared
        is_for_view_users = current.view != announced.view
        for instance, connection in self._connections.items():
            if (
                is_for_all
                or instance in members
                or (is_for_view_users and self._is_view_user(instance))
            ):
                connection.send(ViewChanged(self._view.version, self._state.deployment.number))

    def _is_view_user(self, instance: InstanceId) -> bool:
        holder = self._leases.known(instance)
        return holder is not None and uses_views(holder.renewal)

    def _log_supply(self, plan_input: PlanInput) -> None:
        """Log the supply of each model for which it has changed."""
        supply = count_supply(plan_input)
        for item in supply:
            if item not in self._supply:
                log_record(_log, SupplyChanged(**msgspec.structs.asdict(item)))
        self._supply = supply

    # Proposals

    def _wanted_commands(
        self, now: float, plan_input: PlanInput | None, conversion: Conversion | None
    ) -> list[ControlCommand]:
        commands: list[ControlCommand] = []
        preset = self._state.preset
        prepared = preset.prepared_generation
        if prepared and self._leases.is_preset_prepared(now, prepared):
            commands.append(CommitPreset(prepared))
        commands += self._quarantine_commands()
        if plan_input is not None:
            commands += plan_groups(plan_input, conversion)
            commands += self._rejoin_commands(now, commands)
        return commands

    def _quarantine_commands(self) -> list[ControlCommand]:
        """Return the command that keeps the quarantine for the next leader, if it has changed."""
        if self._targets is None:
            return []
        parts = self._targets.part_evidence.quarantined
        return [QuarantineParts(parts)] if parts != self._state.quarantined_parts else []

    def _rejoin_commands(self, now: float, planned: list[ControlCommand]) -> list[ControlCommand]:
        """Return repairs of groups whose members are all usable but no longer joined."""
        if self._targets is None:
            return []
        changed = {getattr(command, "group", None) for command in planned}
        broken = self._targets.broken_groups(now, self._evacuations.remaining_groups())
        return [command for command in broken if command.group not in changed]

    def _plan_input(self, now: float, facts: list[InstanceFacts]) -> PlanInput:
        state = self._state
        return PlanInput(
            state.effective_configuration(),
            state.configuration.policy(state.preset.preset),
            self._evacuations.remaining_groups(),
            dict(state.occupied),
            tuple(facts),
            self._targets is None or not self._targets.has_served,
            self._targets.spanning_models if self._targets is not None else frozenset(),
            self._targets.parallel_loads if self._targets is not None else 0,
            self._retirements.expired(now),
        )

    def _facts(self, now: float) -> list[InstanceFacts]:
        leaving = self._drains.members_of_drained_groups()
        direct = (
            self._targets.facts(now, self._state.groups.values())
            if self._targets is not None
            else []
        )
        return direct + [
            self._instance_facts(now, holder.renewal, holder.renewal.member, leaving)
            for holder in self._leases.all()
            if holder.renewal.member is not None and _is_engine(holder.renewal.member)
        ]

    def _instance_facts(
        self, now: float, renewal: RenewLease, member: MemberReport, leaving: set[InstanceId]
    ) -> InstanceFacts:
        instance = renewal.instance
        is_recent = now < self._renewed_at[instance] + self._suspect_after
        is_usable = is_recent and member.is_target_healthy and member.is_acting
        if is_usable:
            self._usable_at[instance] = now
        return InstanceFacts(
            instance,
            renewal.failure_domain,
            is_usable,
            instance in leaving or self._drains.covers(instance, renewal.failure_domain),
            member.epoch,
            member.is_serving,
            member.in_flight,
            member.is_settled,
            member.draining_epoch,
            now - self._usable_at.setdefault(instance, now),
        )

    def _permit_loads(self, now: float) -> None:
        requests = []
        for group in self._state.groups.values():
            loading = tuple(item for item in group.members if self._needs_load(now, group, item))
            if loading:
                requests.append(LoadRequest(group, loading))
        limit = self._state.configuration.weight_store.loads_in_parallel
        self._permits = grant_load_permits(requests, self._permits, limit)

    def _needs_load(self, now: float, group: Group, instance: InstanceId) -> bool:
        holder = self._leases.holder(now, instance)
        member = holder.renewal.member if holder is not None else None
        if member is None:
            return False
        return member.epoch != group.epoch or not member.is_loaded

    async def _propose_all(self, commands: list[ControlCommand]) -> None:
        try:
            for command in commands:
                await self._propose(command)
                log_record(_log, PlanCommitted(command=repr(command)))
                subject = str(getattr(command, "group", getattr(command, "members", "")))
                name = EventName(f"plan.{type(command).__name__}")
                self._board.events.record(wall(), name, subject)
        finally:
            self._is_proposing = False

    # Metrics

    def _update_metrics(self, now: float, facts: list[InstanceFacts]) -> None:
        if now < self._plan_from:
            self._metrics.skip_to(now)
        else:
            self._metrics.add(now, facts, self._evacuations.remaining_groups())

    def _outdated_instances(self, now: float) -> list[InstanceId]:
        return self._leases.lagging_holders(
            now,
            self._state.generation,
            self._state.preset.generation,
            self._state.deployment.number,
        )


def _is_engine(member: MemberReport) -> bool:
    return member.announcement is not None and member.announcement.kind is TargetKind.ENGINE


NOT_CURRENT = Unavailable("the leader cannot confirm that it still leads; ask again")
