"""The planner: a pure function from the known state of the instances to the next commands.

It proposes at most one change for each group and uses each free instance once, so the commands of
one call do not depend on each other.
"""

from collections import Counter, defaultdict

from jaylatch_core.configuration import ModelSpecification
from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_core.messages.control import (
    ConfirmRelease,
    ControlCommand,
    DissolveGroup,
    FormGroup,
    Group,
    RepairGroup,
)
from jaylatch_decisions.groups.conversion import Conversion
from jaylatch_decisions.groups.facts import PlanInput
from jaylatch_decisions.groups.retirement import retiring_groups
from jaylatch_decisions.groups.spanning import (
    MAX_SCARCE_GROUPS,
    home_domain,
    least_complete_first,
    remote_members,
)
from jaylatch_decisions.groups.supply import supply_of
from jaylatch_decisions.groups.weighing import instances_for_group, repair_timeout


def plan_groups(facts: PlanInput, conversion: Conversion | None = None) -> list[ControlCommand]:
    """Return the commands that bring the groups closer to the configuration."""
    planner = _Planner(facts)
    planner.confirm_releases()
    planner.retire_groups()
    planner.repair_groups()
    planner.form_groups()
    planner.span_domains()
    planner.dissolve_unrepairable_groups()
    planner.convert_group(conversion)
    return planner.commands


class _Planner:
    """Working state of one call: the instances still free, and the commands so far."""

    def __init__(self, facts: PlanInput) -> None:
        self.commands: list[ControlCommand] = []
        self._facts = facts
        self._known = {item.instance: item for item in facts.instances}
        self._lost = frozenset(
            member
            for group in facts.groups
            for member in group.members
            if member not in self._known
            or not self._known[member].is_usable
            or self._counts_as_lost(group, member)
        )
        self._retiring = retiring_groups(facts)
        self._broken: dict[FailureDomainId, list[Group]] = defaultdict(list)
        self._free: dict[FailureDomainId, list[InstanceId]] = defaultdict(list)
        self._leaving: dict[FailureDomainId, list[InstanceId]] = defaultdict(list)
        self._groups_in: Counter[FailureDomainId] = Counter()
        self._existing: Counter[str] = Counter()
        self._existing_in: Counter[tuple[str, FailureDomainId]] = Counter()
        self._sort_instances()
        for group in facts.groups:
            self._count(group, 1)

    def confirm_releases(self) -> None:
        """Confirm the release of instances that report, under a live lease, to be in no group."""
        for instance, epoch in self._facts.occupied.items():
            item = self._known.get(instance)
            if item is not None and item.is_usable and item.is_settled and item.epoch == 0:
                self.commands.append(ConfirmRelease(instance, epoch))

    def retire_groups(self) -> None:
        """Dissolve the retiring groups that are broken or have nothing in flight."""
        for group in self._facts.groups:
            if group.id in self._retiring and (self._is_broken(group) or self._is_idle(group)):
                self._dissolve(group)

    def repair_groups(self) -> None:
        """Replace lost, drained and remote members.

        Groups with the fewest lost members come first, so that most groups serve. Outdated groups
        are not repaired.
        """
        ending = self._retiring | self._facts.outdated
        groups = [group for group in self._facts.groups if group.id not in ending]
        for group in sorted(groups, key=lambda group: len(self._lost & set(group.members))):
            if self._is_broken(group):
                self._repair(group)
            elif self._drained_members(group) and self._is_idle(group):
                self._replace_drained(group)
            elif remote_members(group, self._known) and self._is_idle(group):
                self._replace(group, remote_members(group, self._known))

    def form_groups(self) -> None:
        """Form wanted groups, evenly over models and domains, leaving the configured spares."""
        while (choice := self._next_to_form()) is not None:
            model, domain = choice
            members = tuple(self._take_free(domain, model.name, model.instances_per_group))
            self._count_in(model.name, domain, 1)
            self.commands.append(FormGroup(model.name, members))

    def span_domains(self) -> None:
        """Repair groups of scarce models with instances of other domains."""
        for model in sorted(self._facts.spanning_models):
            broken = [
                group
                for groups in self._broken.values()
                for group in groups
                if group.model == model
            ]
            waiting = least_complete_first(broken, self._lost)
            serving = self._existing[model] - len(waiting)
            while waiting and serving <= MAX_SCARCE_GROUPS:
                base = waiting.pop()
                if not self._repair_across_domains(base, serving):
                    self._free_survivors(base, waiting)
                    break
                self._broken[self._domain_of(base)].remove(base)
                serving += 1

    def dissolve_unrepairable_groups(self) -> None:
        """Dissolve broken groups whose survivors complete another group of the domain."""
        for domain, broken in self._broken.items():
            self._dissolve_donors(domain, broken)

    def convert_group(self, conversion: Conversion | None) -> None:
        """Dissolve the group that gives way to one of a short model, once it has no more work."""
        if conversion is None or not conversion.is_ready:
            return
        group = next(item for item in self._facts.groups if item.id == conversion.group)
        if self._is_idle(group) and not self.commands:
            self._dissolve(group)

    # Repair

    def _repair(self, group: Group) -> None:
        lost = [member for member in group.members if member in self._lost]
        if len(lost) == len(group.members):
            if self._is_repair_overdue(group):
                self._dissolve(group)
            return
        if not self._replace(group, lost):
            self._broken[self._domain_of(group)].append(group)

    def _replace_drained(self, group: Group) -> None:
        if not self._replace(group, self._drained_members(group)):
            self._dissolve(group)

    def _replace(self, group: Group, leaving: list[InstanceId]) -> bool:
        staying = [member for member in group.members if member not in leaving]
        domain = self._domain_of(group)
        if not staying or len(self._joinable(domain, group.model)) < len(leaving):
            return False
        joining = self._take_free(domain, group.model, len(leaving))
        self.commands.append(RepairGroup(group.id, group.epoch, tuple(staying + joining)))
        return True

    def _repair_across_domains(self, group: Group, serving: int) -> bool:
        """Replace the lost members by free instances of any domain.

        Returns False if there are too few. An instance of a domain where a group of the model
        serves is used only if no group of the model serves anywhere.
        """
        lost = [member for member in group.members if member in self._lost]
        staying = [member for member in group.members if member not in self._lost]
        source_domains = [
            domain
            for domain in sorted(self._free)
            if self._is_fully_reported(domain)
            and (not serving or not self._serves_in(group.model, domain))
        ]
        replacements = [
            item for domain in source_domains for item in self._joinable(domain, group.model)
        ]
        replacements = replacements[: len(lost)]
        if not staying or len(replacements) < len(lost):
            return False
        for domain in source_domains:
            self._free[domain] = [item for item in self._free[domain] if item not in replacements]
        self.commands.append(RepairGroup(group.id, group.epoch, tuple(staying + replacements)))
        return True

    def _free_survivors(self, group: Group, donors: list[Group]) -> None:
        """Dissolve the fewest broken groups of the model whose survivors can complete ``group``."""
        missing = len(self._lost & set(group.members))
        chosen: list[Group] = []
        for donor in donors:
            if missing <= 0:
                break
            chosen.append(donor)
            missing -= len(self._survivors(donor))
        if missing > 0:
            return
        for donor in chosen:
            self._broken[self._domain_of(donor)].remove(donor)
            self._dissolve(donor)

    def _serves_in(self, model: str, domain: FailureDomainId) -> bool:
        return any(
            group.model == model and self._domain_of(group) == domain and not self._is_broken(group)
            for group in self._facts.groups
        )

    def _dissolve_donors(self, domain: FailureDomainId, broken: list[Group]) -> None:
        """Dissolve the fewest groups, least complete first, whose survivors complete another."""
        pool = [*self._free[domain], *self._leaving[domain]]
        donors = [group for group in broken if self._is_repair_overdue(group)]
        donors.sort(key=lambda group: -len(self._lost & set(group.members)))
        chosen: list[Group] = []
        while donors and not self._is_pool_useful(domain, broken, chosen, pool):
            chosen.append(donors.pop(0))
            pool += self._survivors(chosen[-1])
        if chosen and self._is_pool_useful(domain, broken, chosen, pool):
            for group in chosen:
                self._dissolve(group)

    def _is_pool_useful(
        self,
        domain: FailureDomainId,
        broken: list[Group],
        chosen: list[Group],
        pool: list[InstanceId],
    ) -> bool:
        """Return whether the ``pool`` repairs a group or forms one in place of ``chosen``."""
        if not pool:
            return False
        kept = [group for group in broken if group not in chosen]
        if any(
            len(self._lost & set(group.members)) <= self._count_joinable(pool, group.model)
            for group in kept
        ):
            return True
        return any(
            self._needed(model, domain, chosen) <= self._count_joinable(pool, model.name)
            and self._is_wanted(model, sum(group.model == model.name for group in chosen))
            for model in self._facts.configuration.models
        )

    def _count_joinable(self, pool: list[InstanceId], model: str) -> int:
        """Return how many instances of ``pool`` may join a group of ``model``."""
        if self._facts.may_join_cold:
            return len(pool)
        return sum(self._staging_rank(item, model) == 0 for item in pool)

    def _survivors(self, group: Group) -> list[InstanceId]:
        return [
            member
            for member in group.members
            if member not in self._lost and not self._known[member].is_drained
        ]

    # Formation

    def _next_to_form(self) -> tuple[ModelSpecification, FailureDomainId] | None:
        choices = [
            (model, domain)
            for model in self._facts.configuration.models
            for domain in sorted(self._free)
            if self._is_wanted(model, self._count_unrepairable(model))
            and self._fits(model, domain)
            and self._is_fully_reported(domain)
        ]
        if not choices:
            return None
        return min(
            choices,
            key=lambda choice: (
                supply_of(choice[0], self._existing[choice[0].name]),
                self._existing_in[choice[0].name, choice[1]],
            ),
        )

    def _fits(self, model: ModelSpecification, domain: FailureDomainId) -> bool:
        return len(self._joinable(domain, model.name)) >= self._needed(model, domain, [])

    def _is_fully_reported(self, domain: FailureDomainId) -> bool:
        """Return whether no free instance has just appeared: others that fit better may follow."""
        return not any(self._known[item].is_recently_seen for item in self._free[domain])

    def _joinable(self, domain: FailureDomainId, model: str) -> list[InstanceId]:
        """Return the free instances that may join a group of ``model``."""
        if self._facts.may_join_cold:
            return self._free[domain]
        return [item for item in self._free[domain] if self._staging_rank(item, model) == 0]

    def _take_free(self, domain: FailureDomainId, model: str, count: int) -> list[InstanceId]:
        """Take free instances: those with the model staged first, those with another last."""
        free = self._free[domain]
        taken = sorted(free, key=lambda item: self._staging_rank(item, model))[:count]
        self._free[domain] = [item for item in free if item not in taken]
        return taken

    def _staging_rank(self, instance: InstanceId, model: str) -> int:
        item = self._known[instance]
        staged = item.staged_models
        if staged is None or (model in staged and not item.staging_model):
            return 0
        return 2 if staged or item.staging_model else 1

    def _needed(
        self, model: ModelSpecification, domain: FailureDomainId, dissolved: list[Group]
    ) -> int:
        """Return how many free instances a new group requires, including the spares.

        Where instances join only groups of the model that they have staged, a spare protects no
        others.
        """
        if self._facts.may_join_cold:
            protected = self._groups_in[domain] - len(dissolved)
        else:
            others = sum(group.model == model.name for group in dissolved)
            protected = self._existing_in[model.name, domain] - others
        return instances_for_group(self._facts, model, protected)

    def _is_wanted(self, model: ModelSpecification, dissolved: int) -> bool:
        return model.groups == 0 or self._existing[model.name] - dissolved < model.groups

    def _count_unrepairable(self, model: ModelSpecification) -> int:
        """Return how many broken groups of the model cannot be repaired at present."""
        return sum(
            group.model == model.name and self._is_repair_overdue(group)
            for broken in self._broken.values()
            for group in broken
        )

    # Facts

    def _sort_instances(self) -> None:
        taken = {member for group in self._facts.groups for member in group.members}
        for item in sorted(self._facts.instances, key=lambda item: item.instance):
            if not item.is_usable or item.is_drained or item.instance in taken:
                continue
            if item.instance in self._facts.occupied:
                self._leaving[item.failure_domain].append(item.instance)
            elif item.epoch == 0 and item.is_settled:
                self._free[item.failure_domain].append(item.instance)

    def _count(self, group: Group, change: int) -> None:
        """Count a group; outdated ones are replaced, so they need no spares and fill no need."""
        if group.id not in self._facts.outdated:
            self._count_in(group.model, self._domain_of(group), change)

    def _count_in(self, model: str, domain: FailureDomainId, change: int) -> None:
        self._groups_in[domain] += change
        self._existing[model] += change
        self._existing_in[model, domain] += change

    def _dissolve(self, group: Group) -> None:
        self._count(group, -1)
        self.commands.append(DissolveGroup(group.id, group.epoch))

    def _domain_of(self, group: Group) -> FailureDomainId:
        return home_domain(group, self._known)

    def _counts_as_lost(self, group: Group, member: InstanceId) -> bool:
        """Return whether a draining member of an idle group counts as lost.

        This applies where instances join only groups of models that they have staged: the group
        waits until a replacement has staged the model. If it were dissolved, its other members
        could join groups of other models.
        """
        is_leaving = self._known[member].is_drained and self._is_idle(group)
        return is_leaving and not self._facts.may_join_cold

    def _is_broken(self, group: Group) -> bool:
        return not self._lost.isdisjoint(group.members)

    def _is_repair_overdue(self, group: Group) -> bool:
        limit = repair_timeout(self._facts.configuration.weights)
        known = [self._known[member] for member in group.members if member in self._known]
        waits = [item.unusable_for for item in known if item.instance in self._lost]
        return not waits or max(waits) >= limit

    def _drained_members(self, group: Group) -> list[InstanceId]:
        return [member for member in group.members if self._known[member].is_drained]

    def _is_idle(self, group: Group) -> bool:
        """Return whether the head knows that it must start no new work and has none left."""
        head = self._known.get(group.head)
        return head is not None and head.draining_epoch == group.epoch and head.in_flight == 0
