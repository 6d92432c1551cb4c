"""The leader's controller of direct targets: their registry, their routes and their orders."""

import logging
from asyncio import create_task
from collections import deque
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping

from jaylatch_core.deployment import Deployment, EngineProfile
from jaylatch_core.ids import (
    NO_DIGEST,
    Epoch,
    FailureDomainId,
    GroupId,
    InstanceId,
    RequestDigest,
    TargetDeathId,
)
from jaylatch_core.log_records import EngineOrdered, TargetDied, TargetProbed
from jaylatch_core.messages.control import Group, RepairGroup
from jaylatch_core.messages.membership import GroupRoute, ServiceRoute, TargetDeath
from jaylatch_core.messages.targets import MemberState
from jaylatch_decisions.groups import InstanceFacts
from jaylatch_decisions.quarantine import PartEvidence, SharedParts
from jaylatch_decisions.targets import (
    CloseGroup,
    EngineOrder,
    JoinGroup,
    LeaveGroup,
    ProbeOutcome,
    ProbeVerdict,
    StageModel,
    TargetRecord,
    TargetRegistry,
    plan_orders,
)
from jaylatch_decisions.targets.loads import LoadBudget
from jaylatch_decisions.targets.orders import EngineState, is_complete, warm_up_order
from jaylatch_decisions.targets.probes import ProbeSchedule
from jaylatch_node.control.cold_targets import ColdTargets
from jaylatch_node.control.ending_groups import EndingGroups
from jaylatch_node.control.target_routes import (
    SlotFraction,
    all_slots,
    group_routes,
    service_routes,
)
from jaylatch_node.observability import log_record
from jaylatch_node.targets.dialect import OrderOutcome

ORDER_RETRY = 1.0
"""Seconds after which an order is sent again if the target's heartbeats do not show its effect."""
STAGING_RETRY = 25.0
"""Seconds after which staging is ordered again: a load from the store takes up to 16 s."""
UNKNOWN_MODEL = "?"
"""Name of the model that an engine is staging by order of an earlier leader."""
CONFLICT_RETRY = 2.0
"""Seconds after which an engine that refused to stage a model is ordered again: it may be free."""
FIRST_PLAN_DELAY = 2.6
"""Seconds from the first leadership until groups are formed: two heartbeat intervals and a margin.
A plan made before all instances of a domain are known may give it two groups of the small model
where it should have one of each."""
DEATH_WINDOW = 2.0
"""Longest time in seconds between the end of a connection and a missed probe that together show the
death of a target."""
SPANNING_PACE_LIMIT = 2.0
"""Slowest spanning group that is formed, as a factor on the engine's times: the first answers of a
slower one come too late even at a fifth of a complete group's load."""
REPORTED_DEATHS_LIMIT = 8
"""Number of latest target deaths that the view contains."""
RECORD_RETENTION = 60.0
"""Seconds after which the record of an unresponsive target is removed."""

PROBE_ATTEMPTS = 2
"""Probes that a target must miss to count as lost, so that one lost packet is not enough."""

TargetProber = Callable[[TargetRecord, bool], Awaitable[ProbeOutcome]]
"""Probes a target; the flag says that a probe of the same round was missed before."""
OrderSender = Callable[[TargetRecord, EngineOrder, int], Awaitable[OrderOutcome]]

_log = logging.getLogger("jaylatch.targets")


class TargetController:
    """Controls direct targets for one term of leadership.

    ``fence`` is the fencing number of its orders: a target refuses those of an earlier leader.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        fence: int,
        send: OrderSender,
        probe: TargetProber,
        has_served: bool,
        now: float,
        quarantined_parts: SharedParts = (),
    ) -> None:
        self._part_evidence = PartEvidence(now, quarantined_parts)
        self._registry = registry
        self._probe = probe
        self._probes = ProbeSchedule()
        self._staging_orders: dict[InstanceId, tuple[str, float]] = {}
        self._has_served = has_served
        self._interrupted_requests: dict[InstanceId, dict[RequestDigest, float]] = {}
        self._deaths: deque[TargetDeath] = deque(maxlen=REPORTED_DEATHS_LIMIT)
        self._fence = fence
        self._send = send
        self._deployment: Deployment | None = None
        self._engines: dict[str, EngineProfile] = {}
        self._last_orders: dict[InstanceId, tuple[EngineOrder, float]] = {}
        self._in_flight: set[InstanceId] = set()
        self._load_budget = LoadBudget(now, is_first_start=not has_served)
        self._is_fenced = False
        self._ending = EndingGroups(registry)
        self._warm_models: dict[InstanceId, str] = {}
        self._warm_up_orders: dict[InstanceId, JoinGroup] = {}
        self._started_at = now
        self.coldness = ColdTargets(registry, now, has_served)
        self._states: dict[InstanceId, EngineState] = {}
        self._states_key = (now, -1)

    @property
    def registry(self) -> TargetRegistry:
        """Return the registry of the direct targets."""
        return self._registry

    @property
    def engine_services(self) -> Collection[str]:
        """Return the services whose targets run models."""
        return self._engines.keys()

    @property
    def has_served(self) -> bool:
        """Return whether a group has ever served, so that requests may be waiting for loads."""
        return self._has_served

    @property
    def plan_from(self) -> float:
        """Return the time from which enough targets are known to plan groups."""
        return (
            self._registry.complete_at if self._has_served else self._started_at + FIRST_PLAN_DELAY
        )

    @property
    def spanning_models(self) -> frozenset[str]:
        """Return the models whose groups are fast enough with members in several domains."""
        return frozenset(
            model.name
            for engine in self._engines.values()
            for model in engine.models
            if 0 < engine.span_factor * model.pace <= SPANNING_PACE_LIMIT
        )

    @property
    def parallel_loads(self) -> int:
        """Return how many loads the weight store serves at full speed (0: no limit)."""
        return min(
            (engine.parallel_loads for engine in self._engines.values() if engine.parallel_loads),
            default=0,
        )

    @property
    def deaths(self) -> tuple[TargetDeath, ...]:
        """Return the latest deaths of targets that had requests in flight."""
        return tuple(self._deaths)

    @property
    def part_evidence(self) -> PartEvidence:
        """Return the evidence against parts of prompts."""
        return self._part_evidence

    def suspect(
        self,
        now: float,
        instance: InstanceId,
        groups: Iterable[Group],
        digest: RequestDigest = NO_DIGEST,
        parts: SharedParts = (),
    ) -> None:
        """Probe the target that a gateway suspects, and the members of the group that it heads.

        ``digest`` identifies a request that ran there when its connection ended; ``parts`` are the
        shared parts of its prompt that no answer has proven sound.
        """
        if digest:
            self._part_evidence.record_interruption(now, instance, digest, parts)
            self._interrupted_requests.setdefault(instance, {})[digest] = now
        group = next((item for item in groups if item.head == instance), None)
        members = group.members if group is not None else (instance,)
        self._start_probes(now, self._probes.request(now, members))

    def confirm_members(self, at: float, group: Group) -> None:
        """Record that a group generated tokens at ``at``, which it does only with all members."""
        for member in group.members:
            self._registry.confirm(at, member)

    def use_deployment(self, deployment: Deployment) -> None:
        """Use the services of ``deployment`` from now on."""
        if deployment is self._deployment:
            return
        self._deployment = deployment
        self._engines = {
            service.name: service.engine
            for service in deployment.services
            if service.engine is not None
        }
        self._states_key = (0.0, -1)
        self._ending.use_deployment(deployment)
        self.coldness.use_deployment(deployment)

    def facts(self, now: float, groups: Iterable[Group]) -> list[InstanceFacts]:
        """Return the facts about the engines that the planner needs."""
        self._registry.forget_unresponsive(now, RECORD_RETENTION)
        due = self._probes.take_due(now)
        due += self._probes.request(now, self._registry.overdue_silences(now))
        self._start_probes(now, due)
        ended = self._ending.ended_heads(now, groups)
        return [
            self._instance_facts(now, record, ended)
            for record in self._registry.all()
            if record.heartbeat.service in self._engines
        ]

    def warm_models(self, groups: Iterable[Group]) -> Mapping[InstanceId, str]:
        """Return the model of the last group of each engine, as far as this leader knows it."""
        models = {group.id: group.model for group in groups}
        for record in self._registry.all():
            instance, membership = record.heartbeat.instance, record.heartbeat.membership
            if membership is None or membership.state is MemberState.JOINING:
                continue
            warming = self._warm_up_orders.get(instance)
            if warming is not None and membership.group == warming.group:
                self._warm_models[instance] = warming.model
            elif membership.group in models:
                self._warm_models[instance] = models[membership.group]
        return self._warm_models

    def recall(self, now: float, groups: Collection[GroupId]) -> None:
        """Make these groups, and no others, finish their work so that members can be replaced."""
        self._ending.recall(now, groups)

    def broken_groups(self, now: float, groups: Iterable[Group]) -> list[RepairGroup]:
        """Return repairs by which the same members rejoin their group under a new epoch.

        A group needs one if its head reports that it is broken, or if a member is no longer joined
        while the head serves.
        """
        engines = self._engine_states(now)
        return [
            RepairGroup(group.id, group.epoch, group.members)
            for group in groups
            if all(member in engines for member in group.members)
            and self._needs_rejoin(group, engines)
        ]

    def group_routes(
        self,
        now: float,
        groups: Iterable[Group],
        ending: Collection[GroupId] = (),
        slot_fraction: SlotFraction = all_slots,
    ) -> list[GroupRoute]:
        """Return the routes to the complete groups whose head serves.

        A group with a leaving member, or in ``ending``, is listed as ending for as long as its head
        has work.
        """
        known = tuple(groups)
        leaving = {group.id for group in known if self._ending.is_ending(group)}.union(ending)
        routes = group_routes(
            known,
            leaving,
            self._registry,
            self._engine_states(now),
            self._engines,
            slot_fraction,
            self.coldness.is_cold_at(now),
        )
        if routes:
            self._has_served = True
            self.coldness.note_traffic(now)
            self._load_budget.end_first_start()
        return routes

    def service_routes(
        self,
        now: float,
        evacuated: Collection[FailureDomainId] = (),
        slot_fraction: SlotFraction = all_slots,
    ) -> list[ServiceRoute]:
        """Return the routes to the targets of plain services outside the ``evacuated`` domains."""
        if self._deployment is None:
            return []
        plain = {item.name for item in self._deployment.services} - set(self._engines)
        return service_routes(
            now, self._registry, plain, evacuated, slot_fraction, self.coldness.is_cold_at(now)
        )

    def send_orders(
        self,
        now: float,
        groups: Iterable[Group],
        staging: Mapping[InstanceId, str],
        warm_ups: Mapping[InstanceId, str],
    ) -> None:
        """Send each engine the order that it needs, one at a time.

        ``staging`` maps free instances to the models that they should stage, ``warm_ups`` to those
        for which they should warm up.
        """
        if self._is_fenced:
            return
        engines = self._engine_states(now)
        wanted = tuple(groups)
        leaving = {group.id for group in wanted if self._ending.is_ending(group)}
        orders = plan_orders(wanted, engines, leaving)
        epoch = max((group.epoch for group in wanted), default=Epoch(0))
        idle: dict[InstanceId, EngineOrder] = {
            instance: warm_up_order(instance, epoch, model) for instance, model in warm_ups.items()
        }
        idle |= {instance: StageModel(model) for instance, model in staging.items()}
        for instance, order in {**idle, **orders}.items():
            if self._is_redundant(instance, order):
                continue
            if self._is_due(now, instance, order) and self._may_load(now, instance, order):
                self._last_orders[instance] = (order, now)
                if isinstance(order, StageModel):
                    self._staging_orders[instance] = (order.model, now)
                if isinstance(order, JoinGroup) and instance in warm_ups:
                    self._warm_up_orders[instance] = order
                self._in_flight.add(instance)
                create_task(self._send_order(instance, order))

    # Facts

    def _instance_facts(
        self, now: float, record: TargetRecord, ended: dict[InstanceId, Epoch]
    ) -> InstanceFacts:
        heartbeat = record.heartbeat
        membership = heartbeat.membership
        is_serving = membership is not None and membership.state is MemberState.OPEN
        return InstanceFacts(
            heartbeat.instance,
            heartbeat.fabric_domain,
            self._registry.is_usable(now, heartbeat.instance),
            record.draining_since is not None,
            membership.epoch if membership is not None else Epoch(0),
            is_serving,
            0,
            draining_epoch=ended.get(heartbeat.instance, Epoch(0)),
            unusable_for=max(now - record.last_contact_at, 0.0),
            staged_models=heartbeat.staged_models,
            staging_model=self._staging_model(now, record),
            known_for=now - record.appeared_at,
        )

    def _engine_states(self, now: float) -> dict[InstanceId, EngineState]:
        """Return the states of the usable engines, derived once for each round and change."""
        key = (now, self._registry.revision)
        if key != self._states_key:
            self._states = self._derive_engine_states(now)
            self._states_key = key
        return self._states

    def _derive_engine_states(self, now: float) -> dict[InstanceId, EngineState]:
        return {
            record.heartbeat.instance: EngineState(
                record.heartbeat.instance,
                record.heartbeat.membership,
                record.heartbeat.staged_models,
            )
            for record in self._registry.all()
            if record.heartbeat.service in self._engines
            and self._registry.is_usable(now, record.heartbeat.instance)
        }

    def _needs_rejoin(self, group: Group, engines: dict[InstanceId, EngineState]) -> bool:
        head = engines[group.head].membership
        if head is None or (head.group, head.epoch) != (group.id, group.epoch):
            return False
        if head.state is MemberState.BROKEN:
            return True
        return head.state is MemberState.OPEN and not is_complete(group, engines)

    def _staging_model(self, now: float, record: TargetRecord) -> str:
        """Return the model that an instance is staging as ordered, or an empty name."""
        instance = record.heartbeat.instance
        model, ordered_at = self._staging_orders.get(instance, ("", 0.0))
        retry = CONFLICT_RETRY if model == UNKNOWN_MODEL else STAGING_RETRY
        if model and (model in record.heartbeat.staged_models or now >= ordered_at + retry):
            del self._staging_orders[instance]
            return ""
        return model

    # Orders

    def _is_redundant(self, instance: InstanceId, order: EngineOrder) -> bool:
        """Return whether the order would end the work of a target that ends it anyway."""
        record = self._registry.record(instance)
        has_departed = record is not None and record.departed_at is not None
        return has_departed and isinstance(order, CloseGroup | LeaveGroup)

    def _is_due(self, now: float, instance: InstanceId, order: EngineOrder) -> bool:
        if instance in self._in_flight:
            return False
        last = self._last_orders.get(instance)
        if last is None or last[0] != order:
            return True
        retry = STAGING_RETRY if isinstance(order, StageModel) else ORDER_RETRY
        return now >= last[1] + retry

    def _may_load(self, now: float, instance: InstanceId, order: EngineOrder) -> bool:
        """Return whether the order may start its load from the weight store, if it has one.

        A permitted load is taken from the load budget.
        """
        record = self._registry.record(instance)
        if record is None or not isinstance(order, (JoinGroup, StageModel)):
            return True
        if order.model in record.heartbeat.staged_models:
            return True
        engine = self._engines[record.heartbeat.service]
        return self._load_budget.take(now, engine.load_rate)

    def _start_probes(self, now: float, instances: Iterable[InstanceId]) -> None:
        for instance in instances:
            create_task(self._probe_target(now, instance))

    async def _probe_target(self, asked_at: float, instance: InstanceId) -> None:
        try:
            outcome = await self._send_probes(instance)
        finally:
            self._probes.record_end(instance)
        if outcome is None:
            return
        verdict = self._registry.judge_probe(asked_at, instance, outcome)
        if verdict is ProbeVerdict.SOUND:
            return
        if verdict is ProbeVerdict.LOST or outcome is not ProbeOutcome.SILENT:
            self._record_death(asked_at, instance)
        log_record(_log, TargetProbed(target=instance, outcome=verdict.value))

    async def _send_probes(self, instance: InstanceId) -> ProbeOutcome | None:
        """Return the outcome of a round of probes, None if the target is not known any more."""
        outcome = ProbeOutcome.UNREACHABLE
        for attempt in range(PROBE_ATTEMPTS):
            record = self._registry.record(instance)
            if record is None:
                return None
            outcome = await self._probe(record, attempt > 0)
            if outcome in (ProbeOutcome.ANSWERED, ProbeOutcome.SILENT):
                break
        return outcome

    def _record_death(self, now: float, instance: InstanceId) -> None:
        """Record the requests that ran at a target when it died, as evidence for the quarantine."""
        self._part_evidence.record_death(now, instance)
        interrupted = self._interrupted_requests.pop(instance, {})
        recent = tuple(digest for digest, at in interrupted.items() if now - at < DEATH_WINDOW)
        if recent:
            self._deaths.append(TargetDeath(TargetDeathId(instance), recent))
            log_record(_log, TargetDied(target=instance, requests=recent))

    async def _send_order(self, instance: InstanceId, order: EngineOrder) -> None:
        record = self._registry.record(instance)
        try:
            if record is None:
                return
            outcome = await self._send(record, order, self._fence)
        finally:
            self._in_flight.discard(instance)
        log_record(_log, EngineOrdered(target=instance, order=repr(order), outcome=outcome.value))
        if outcome is OrderOutcome.CONFLICT and isinstance(order, StageModel):
            # It is staging what an earlier leader ordered, and keeps to that.
            _, ordered_at = self._last_orders.pop(instance)
            self._staging_orders[instance] = (UNKNOWN_MODEL, ordered_at)
        if outcome is OrderOutcome.FENCED and not isinstance(order, JoinGroup):
            # A newer leader has sent orders; this one sends no more.
            self._is_fenced = True
