"""Which free instances should load which model on to their hosts, ahead of its use.

Answers the loss of members one after the other: a join takes a second where the host has the model
and a quarter of a minute where it does not, so the next repair is only as fast as the last staging.
"""

from collections import Counter, defaultdict

from jaylatch_core.configuration import ModelSpecification
from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_decisions.groups.facts import InstanceFacts, PlanInput
from jaylatch_decisions.groups.spanning import home_of, scarce_models


def plan_staging(facts: PlanInput) -> dict[InstanceId, str]:
    """Return the model that each free instance should stage, for those that should stage one.

    In each domain first what a broken group waits for, then what completes a group that is wanted,
    then spares for the groups that stand. Where instances may join without staging, nothing is
    staged until groups stand, so that no host loads a model and then joins a group of another.
    """
    domains: dict[FailureDomainId, list[InstanceFacts]] = defaultdict(list)
    for item in facts.instances:
        domains[item.failure_domain].append(item)
    serving = Counter(group.model for group in facts.groups)
    lent = scarce_models(facts)
    staging: dict[InstanceId, str] = {}
    for domain in sorted(domains):
        needs = _Domain(facts, domain, domains[domain], serving, lent)
        # What a domain that comes back lacks is known once all of its hosts have reported.
        is_settled = not any(item.is_newcomer for item in domains[domain])
        if is_settled and (needs.has_groups or not facts.may_join_cold):
            staging.update(needs.plan())
    return staging


class _Domain:
    """One domain's free instances, and what its groups lack."""

    def __init__(
        self,
        facts: PlanInput,
        domain: FailureDomainId,
        instances: list[InstanceFacts],
        serving: Counter[str],
        lent: frozenset[str],
    ) -> None:
        self._models = facts.configuration.models
        self._serving = serving
        self._lent = lent
        known = {item.instance: item for item in instances}
        everywhere = {item.instance: item for item in facts.instances}
        self._groups = [group for group in facts.groups if home_of(group, everywhere) == domain]
        assigned = facts.assigned
        free = [
            item
            for item in instances
            if item.is_usable
            and not item.is_drained
            and item.instance not in assigned
            and item.staged_models is not None
        ]
        self._free = sorted(free, key=lambda item: item.instance)
        self._warm = Counter(model for item in self._free for model in _models_of(item))
        self._lacking = Counter[str]()
        for group in self._groups:
            # A member in another domain serves slowly until a host of this one replaces it.
            self._lacking[group.model] += sum(
                1
                for member in group.members
                if member not in known or not known[member].is_usable or known[member].is_drained
            )

    @property
    def has_groups(self) -> bool:
        """Return whether a group stands in this domain."""
        return bool(self._groups)

    def plan(self) -> dict[InstanceId, str]:
        """Return the staging of this domain."""
        staging: dict[InstanceId, str] = {}
        while True:
            open_to_orders = [
                item
                for item in self._free
                if item.instance not in staging and not item.staging_model
            ]
            idle = [item for item in open_to_orders if not self._is_useful(item)]
            model = self._next_model(idle)
            chosen = [item for item in idle if model not in _models_of(item)]
            if not chosen and model is not None and self._is_lacking(model):
                # A group that serves nobody outweighs the spare of one that serves.
                chosen = [item for item in open_to_orders if not self._is_needed(item)]
            if model is None or not chosen:
                return staging
            # Empty hosts first: another model on a host may be wanted again.
            item = min(chosen, key=lambda item: (len(_models_of(item)), item.instance))
            self._warm.subtract(_models_of(item))
            self._warm[model] += 1
            staging[item.instance] = model

    def _is_useful(self, item: InstanceFacts) -> bool:
        """Return whether the host holds a model that a group of this domain serves or lacks."""
        has_group = any(
            group.model == model for group in self._groups for model in _models_of(item)
        )
        return has_group or self._is_needed(item) or self._completes_group(item)

    def _is_needed(self, item: InstanceFacts) -> bool:
        """Return whether the host holds a model that a broken group waits for."""
        return any(self._lacking[model] or model in self._lent for model in _models_of(item))

    def _is_lacking(self, model: str) -> bool:
        """Return whether broken groups lack more members than there are hosts of their model."""
        return self._lacking[model] > self._warm[model]

    def _completes_group(self, item: InstanceFacts) -> bool:
        sizes = {model.name: model.instances_per_group for model in self._models}
        return any(
            self._warm[model] >= sizes.get(model, len(self._free) + 1) for model in _models_of(item)
        )

    def _next_model(self, idle: list[InstanceFacts]) -> str | None:
        """Return what one of the ``idle`` instances should stage next, or None."""
        lacking = [model for model in self._models if self._is_lacking(model.name)]
        if lacking:
            return min(
                lacking, key=lambda item: self._lacking[item.name] - self._warm[item.name]
            ).name
        completable = [model for model in self._models if self._is_completable(model, idle)]
        if completable:
            return min(
                completable,
                key=lambda item: (self._missing(item), self._serving[item.name] / item.share),
            ).name
        return self._least_protected()

    def _is_completable(self, model: ModelSpecification, idle: list[InstanceFacts]) -> bool:
        """Return whether a further group can be had by staging on idle instances alone."""
        others = sum(model.name not in _models_of(item) for item in idle)
        return 0 < self._missing(model) <= others

    def _missing(self, model: ModelSpecification) -> int:
        return model.instances_per_group - (self._warm[model.name] - self._lacking[model.name])

    def _least_protected(self) -> str | None:
        """Return the model whose groups of this domain have the fewest spares for their size."""
        exposed = Counter[str]()
        for group in self._groups:
            exposed[group.model] += len(group.members)
        if not exposed:
            return None
        return min(exposed, key=lambda model: (self._warm[model] / exposed[model], model))


def _models_of(item: InstanceFacts) -> tuple[str, ...]:
    """Return the models that the host holds, or will hold once it has loaded."""
    return (item.staging_model,) if item.staging_model else item.staged_models or ()
