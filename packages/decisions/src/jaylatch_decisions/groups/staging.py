"""Staging of models on free instances, ahead of their use.

A join takes a second on an instance that has staged the model and a quarter of a minute elsewhere.
When members are lost one after another, each repair therefore depends on the staging before it.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from jaylatch_core.configuration import ModelSpecification
from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_decisions.groups.conversion import Conversion
from jaylatch_decisions.groups.facts import InstanceFacts, PlanInput
from jaylatch_decisions.groups.reserves import plan_reserves
from jaylatch_decisions.groups.spanning import home_domain, scarce_models
from jaylatch_decisions.groups.supply import (
    can_give_group,
    count_complete,
    short_models,
    supply_of,
)


def plan_staging(facts: PlanInput, conversion: Conversion | None) -> dict[InstanceId, str]:
    """Return the model that each free instance should stage, for those that should stage one.

    Each domain stages first what a broken group waits for, then what completes a wanted group, then
    spares for the existing groups, and last reserves among the members of groups. The needs of
    models that are short of groups come first, and the spares of other models serve them. The
    members of a group that is converted load its new model. Where instances may join without
    staging, nothing is staged in a domain without groups, so that no instance stages a model and
    then joins a group of another.
    """
    domains: dict[FailureDomainId, list[InstanceFacts]] = defaultdict(list)
    for item in facts.instances:
        domains[item.failure_domain].append(item)
    group_counts = Counter(group.model for group in facts.groups)
    short = short_models(facts)
    kept = scarce_models(facts) | short
    changing = facts.changing_domains
    loads: list[_Load] = []
    for domain in sorted(domains):
        needs = _Domain(facts, domain, domains[domain], group_counts, short, kept)
        if domain not in changing and (needs.has_groups or not facts.may_join_cold):
            loads += needs.plan()
    if conversion is not None:
        loads += [_Load(item, conversion.model, _Purpose.FORM) for item in conversion.loads]
    loads += [_Load(item, model, _Purpose.RESERVE) for item, model in plan_reserves(facts).items()]
    return {load.instance: load.model for load in _limit_loads(facts, loads)}


def _limit_loads(facts: PlanInput, loads: list["_Load"]) -> list["_Load"]:
    """Return all repairs, and the other loads while the weight store serves them at full speed.

    Further ones would slow down those that a broken group waits for.
    """
    if not facts.parallel_loads:
        return loads
    running = sum(bool(item.staging_model) for item in facts.instances if item.is_usable)
    ordered = sorted(loads, key=lambda load: load.purpose)
    return [
        load
        for number, load in enumerate(ordered, start=running + 1)
        if load.purpose is _Purpose.REPAIR or number <= facts.parallel_loads
    ]


class _Purpose(IntEnum):
    """Purpose of a load, the most urgent first."""

    REPAIR = 0
    FORM = 1
    SPARE = 2
    RESERVE = 3


class _Load(NamedTuple):
    instance: InstanceId
    model: str
    purpose: _Purpose


class _Domain:
    """Free instances of one domain, and the members that its groups lack."""

    def __init__(
        self,
        facts: PlanInput,
        domain: FailureDomainId,
        instances: list[InstanceFacts],
        group_counts: Counter[str],
        short: frozenset[str],
        kept: frozenset[str],
    ) -> None:
        self._models = facts.configuration.models
        self._group_counts = group_counts
        self._short = short
        self._kept = kept
        known = {item.instance: item for item in instances}
        all_known = {item.instance: item for item in facts.instances}
        self._groups = [group for group in facts.groups if home_domain(group, all_known) == domain]
        free = [
            item
            for item in facts.free_instances
            if item.failure_domain == domain and item.staged_models is not None
        ]
        self._free = sorted(free, key=lambda item: item.instance)
        self._staged = Counter(model for item in self._free for model in _models_of(item))
        self._complete = count_complete(facts)
        self._lacking = Counter[str]()
        self._exposed = Counter[str]()
        for group in self._groups:
            self._exposed[group.model] += len(group.members)
            # A remote member serves slowly until an instance of this domain replaces it.
            self._lacking[group.model] += sum(
                1
                for member in group.members
                if member not in known or not known[member].is_usable or known[member].is_drained
            )

    @property
    def has_groups(self) -> bool:
        """Return whether this domain has a group."""
        return bool(self._groups)

    def plan(self) -> list[_Load]:
        """Return the loads of this domain."""
        loads: list[_Load] = []
        taken: set[InstanceId] = set()
        while True:
            available = [
                item for item in self._free if item.instance not in taken and not item.staging_model
            ]
            idle = [item for item in available if not self._is_useful(item)]
            spares = [item for item in available if not self._is_needed(item)]
            need = self._next_need(idle, spares)
            if need is None:
                return loads
            model, purpose = need
            chosen = [item for item in idle if model not in _models_of(item)]
            if not chosen and purpose is not _Purpose.SPARE:
                # A group that is broken or missing takes precedence over a serving one's spare,
                # unless the loss of a group would hurt that one's model more.
                chosen = [
                    item
                    for item in spares
                    if model not in _models_of(item) and not self._protects_scarcer(item, model)
                ]
            if not chosen:
                return loads
            # Empty instances first: another staged model may be wanted again.
            item = min(chosen, key=lambda item: (len(_models_of(item)), item.instance))
            self._staged.subtract(_models_of(item))
            self._staged[model] += 1
            taken.add(item.instance)
            loads.append(_Load(item.instance, model, purpose))

    def _is_useful(self, item: InstanceFacts) -> bool:
        """Return whether the instance has staged a model that this domain needs."""
        has_group = any(
            group.model == model for group in self._groups for model in _models_of(item)
        )
        return has_group or self._is_needed(item) or self._completes_group(item)

    def _is_needed(self, item: InstanceFacts) -> bool:
        """Return whether the instance has staged a model that is short or that a group lacks."""
        return any(self._lacking[model] or model in self._kept for model in _models_of(item))

    def _protects_scarcer(self, item: InstanceFacts, model: str) -> bool:
        """Return whether the instance is the spare of a model that can lose a group less easily."""
        models = {known.name: known for known in self._models}
        wanted = models.get(model)
        return any(
            wanted is not None and self._exposed[stored]
            # The group that waits for the instance is not complete: the model has given it up.
            and can_give_group(
                wanted, self._complete[model] + 1, models[stored], self._complete[stored] - 1
            )
            for stored in _models_of(item)
            if stored in models
        )

    def _is_lacking(self, model: str) -> bool:
        """Return whether more members are lacking than free instances have staged ``model``."""
        return self._lacking[model] > self._staged[model]

    def _completes_group(self, item: InstanceFacts) -> bool:
        sizes = {model.name: model.instances_per_group for model in self._models}
        return any(
            self._staged[model] >= sizes.get(model, len(self._free) + 1)
            for model in _models_of(item)
        )

    def _next_need(
        self, idle: list[InstanceFacts], spares: list[InstanceFacts]
    ) -> tuple[str, _Purpose] | None:
        """Return the model that should be staged next and its purpose, or None.

        Groups are completed by ``idle`` instances, those of short models by ``spares`` too.
        """
        short = [model for model in self._models if model.name in self._short]
        return (
            self._repair_need(short)
            or self._formation_need(short, spares)
            or self._repair_need(self._models)
            or self._formation_need(self._models, idle)
            or self._spare_need()
        )

    def _repair_need(self, models: Iterable[ModelSpecification]) -> tuple[str, _Purpose] | None:
        """Return the model whose broken groups wait for the fewest loads, if any."""
        lacking = [model.name for model in models if self._is_lacking(model.name)]
        if not lacking:
            return None
        model = min(lacking, key=lambda name: self._lacking[name] - self._staged[name])
        return model, _Purpose.REPAIR

    def _formation_need(
        self, models: Iterable[ModelSpecification], usable: list[InstanceFacts]
    ) -> tuple[str, _Purpose] | None:
        """Return the model for a further group that ``usable`` instances complete, if any."""
        completable = [model for model in models if self._is_completable(model, usable)]
        if not completable:
            return None
        model = min(
            completable,
            key=lambda item: (
                self._missing(item),
                supply_of(item, self._group_counts[item.name]),
            ),
        )
        return model.name, _Purpose.FORM

    def _spare_need(self) -> tuple[str, _Purpose] | None:
        model = self._least_protected()
        return (model, _Purpose.SPARE) if model is not None else None

    def _is_completable(self, model: ModelSpecification, usable: list[InstanceFacts]) -> bool:
        """Return whether staging on ``usable`` instances alone completes a further group."""
        others = sum(model.name not in _models_of(item) for item in usable)
        return 0 < self._missing(model) <= others

    def _missing(self, model: ModelSpecification) -> int:
        return model.instances_per_group - (self._staged[model.name] - self._lacking[model.name])

    def _least_protected(self) -> str | None:
        """Return the model that loses most, for its spares, if a member is lost by chance.

        A lost member stops one group: a larger part of the work of a model with few groups.
        """
        return min(self._exposed, key=lambda model: (-self._risk(model), model), default=None)

    def _risk(self, model: str) -> float:
        return self._exposed[model] / self._group_counts[model] / (1 + self._staged[model])


def _models_of(item: InstanceFacts) -> tuple[str, ...]:
    """Return the models that the instance has staged, or the one that it is staging."""
    return (item.staging_model,) if item.staging_model else item.staged_models or ()
