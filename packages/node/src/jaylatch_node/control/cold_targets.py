"""The leader's knowledge of which direct targets are cold, and the report on them."""

import logging
from collections.abc import Callable, Mapping
from functools import partial
from math import inf

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, wall
from jaylatch_core.deployment import Deployment
from jaylatch_core.ids import InstanceId
from jaylatch_core.log_records import TargetColdnessChanged
from jaylatch_decisions.places import EVIDENCE_VALIDITY, ColdLimits
from jaylatch_decisions.targets import TargetRecord, TargetRegistry
from jaylatch_decisions.targets.coldness import ColdFacts, is_cold
from jaylatch_node.observability import Metrics, log_record

FIRST_REGISTRATION_TIME = 2.6
"""Seconds of the first leadership in which the targets of a deployment register: two heartbeat
intervals and a margin. Those that were there before the first group served count too."""
KNOWN_WARM_LIFETIME = 0.05
"""Seconds for which the list of warm targets is not derived anew: a small part of the time for
which a heartbeat shows that a target is warm."""
MAX_UPTIME = 365 * 86_400.0
"""Seconds since a start beyond which the stated time of the start is no time at all."""

_log = logging.getLogger("jaylatch.targets")


class ColdTargets:
    """Which targets are cold, from the heartbeats that this control instance has."""

    def __init__(self, registry: TargetRegistry, now: float, has_served: bool) -> None:
        self._registry = registry
        self._deployment: Deployment | None = None
        self._cold_times: dict[str, float] = {}
        self._registered_until = now + FIRST_REGISTRATION_TIME
        self._has_traffic = has_served
        if has_served:
            self._registered_until = -inf

    def use_deployment(self, deployment: Deployment) -> None:
        """Use the cold times of the services of ``deployment``."""
        if deployment is self._deployment:
            return
        self._deployment = deployment
        self._cold_times = {
            service.name: service.cold_time
            for service in deployment.services
            if service.may_be_cold
        }

    def note_traffic(self, now: float) -> None:
        """Record that a group serves: a target that appears later starts during traffic."""
        if not self._has_traffic:
            self._has_traffic = True
            self._registered_until = max(self._registered_until, now)

    def is_cold(self, now: float, record: TargetRecord) -> bool:
        """Return whether the target is cold, or not known to be warm."""
        heartbeat = record.heartbeat
        cold_time = self._cold_times.get(heartbeat.service)
        if cold_time is None:
            return False
        uptime = None
        if record.appeared_at < self._registry.complete_at:
            stated = wall() - heartbeat.born_at / MILLISECONDS_PER_SECOND
            uptime = stated if stated <= MAX_UPTIME else None
        was_before = record.appeared_at <= self._registered_until
        facts = ColdFacts(
            record.appeared_at, record.reported_at, heartbeat.cold_left, was_before, uptime
        )
        return is_cold(now, facts, cold_time)

    def is_known_warm(self, now: float, instance: InstanceId) -> bool:
        """Return whether a recent heartbeat of the target shows that it is warm."""
        record = self._registry.record(instance)
        if record is None or now > record.reported_at + EVIDENCE_VALIDITY:
            return False
        has_cold_time = record.heartbeat.service in self._cold_times
        return has_cold_time and not self.is_cold(now, record)

    def list_known_warm(self, now: float) -> frozenset[InstanceId]:
        """Return all targets that are known to be warm."""
        if not self._cold_times:
            return frozenset()
        instances = (record.heartbeat.instance for record in self._registry.all())
        return frozenset(item for item in instances if self.is_known_warm(now, item))

    def is_cold_at(self, now: float) -> Callable[[TargetRecord], bool]:
        """Return the check whether a target is cold at the time ``now``."""
        return partial(self.is_cold, now)

    def list_cold(self, now: float) -> dict[InstanceId, str]:
        """Return the usable targets that are cold, with their services."""
        if not self._cold_times:
            return {}
        return {
            record.heartbeat.instance: record.heartbeat.service
            for record in self._registry.all()
            if self.is_cold(now, record)
            and self._registry.is_usable(now, record.heartbeat.instance)
        }


class KnownWarm:
    """The targets that a control instance itself knows to be warm, leader or not."""

    def __init__(self, registry: TargetRegistry, now: float) -> None:
        self._registry = registry
        self._targets = ColdTargets(registry, now, has_served=True)
        self._known: frozenset[InstanceId] = frozenset()
        self._renew_at = -inf

    def instances(self, now: float, deployment: Deployment) -> frozenset[InstanceId]:
        """Return the targets of ``deployment`` that are known to be warm."""
        if now >= self._renew_at:
            self._targets.use_deployment(deployment)
            self._known = self._targets.list_known_warm(now)
            self._renew_at = now + KNOWN_WARM_LIFETIME
        return self._known


class ColdReport:
    """Log and metrics of the cold targets, and of the part of their bound that is used."""

    def __init__(self, metrics: Metrics, limits: ColdLimits) -> None:
        self._limits = limits
        self._count = metrics.gauge(
            "cold_targets",
            "Direct targets that this control leader takes for cold, by service.",
            ("service",),
        )
        self._used = metrics.gauge(
            "cold_rate_used",
            "Highest part of its bound that a cold target got in the last second, by service.",
            ("service",),
        )
        self._cold: dict[InstanceId, str] = {}
        self._highest: dict[InstanceId, float] = {}

    def update(self, now: float, cold: Mapping[InstanceId, str]) -> None:
        """Report the targets that are cold now, while this process leads."""
        if not cold and not self._cold:
            return
        used = {instance: self._limits.used(now, instance) for instance in cold}
        for instance in self._cold.keys() - cold.keys():
            self._log(instance, self._cold[instance], False, self._highest.pop(instance, 0.0))
        for instance, service in cold.items():
            if instance not in self._cold:
                self._log(instance, service, True, 0.0)
            self._highest[instance] = max(self._highest.get(instance, 0.0), used[instance])
        for service in {*self._cold.values(), *cold.values()}:
            parts = [used[instance] for instance, name in cold.items() if name == service]
            self._count.labels(service).set(len(parts))
            self._used.labels(service).set(round(max(parts, default=0.0), 3))
        self._cold = dict(cold)

    def clear(self) -> None:
        """Report no cold targets, as this process does not lead any more."""
        self._highest.clear()
        for service in set(self._cold.values()):
            self._count.labels(service).set(0)
            self._used.labels(service).set(0.0)
        self._cold = {}

    def _log(self, instance: InstanceId, service: str, cold: bool, used: float) -> None:
        log_record(
            _log,
            TargetColdnessChanged(
                target=instance, service=service, is_cold=cold, used=round(used, 3)
            ),
        )
