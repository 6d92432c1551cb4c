"""A fleet of engines that load, join and die in simulated time, run by the planner's decisions."""

from collections import Counter
from dataclasses import dataclass
from random import Random

from jaylatch_core.configuration import Configuration, ModelSpecification, PresetPolicy
from jaylatch_core.ids import Epoch, FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import FormGroup, Group
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.groups import (
    InstanceFacts,
    PlanInput,
    groups_to_recall,
    plan_conversion,
    plan_groups,
    plan_staging,
)

ROUND_SECONDS = 0.1
LEAD_SECONDS = 8.0
DETECTION_SECONDS = 0.6
DRAIN_SECONDS = 1.0
"""Time in which a recalled group ends its work."""
REJOIN_SECONDS = 0.2
FORM_SECONDS = 0.3
PARALLEL_LOADS = 10
NEVER = float("inf")


@dataclass(frozen=True)
class SimulatedModel:
    """A model with the times of its loads in seconds."""

    name: str
    size: int
    load_seconds: float
    warm_seconds: float


@dataclass
class Engine:
    """One engine: what its host stores and loads, and the group that it has joined."""

    domain: FailureDomainId
    stored: str
    last_model: str = ""
    loading: str = ""
    loaded_at: float = NEVER
    group: GroupId | None = None
    epoch: Epoch = Epoch(0)
    ready_at: float = NEVER
    lost_at: float = NEVER


class StagedFleet:
    """Domains of equal engines; ``groups`` of each model are formed in each domain at the start."""

    def __init__(
        self,
        models: tuple[SimulatedModel, ...],
        domains: int,
        engines: int,
        groups: dict[str, int],
        random: Random,
    ) -> None:
        self._models = {model.name: model for model in models}
        self._random = random
        self._state = ControlState()
        self._engines: dict[InstanceId, Engine] = {}
        self._recalled_at: dict[GroupId, float] = {}
        self._now = 0.0
        self._has_traffic = False
        specifications = tuple(
            ModelSpecification(model.name, model.size, 0, groups[model.name] / engines)
            for model in models
        )
        self._configuration = Configuration(models=specifications)
        for number in range(domains):
            self._add_domain(number, engines, groups)
        self._initial = Counter(group.model for group in self._state.groups.values())

    def prepare(self) -> None:
        """Give the fleet time to stage, as before the first request: loads take a tenth."""
        self._advance(LEAD_SECONDS)
        self._has_traffic = True

    def run(self, seconds: float, loss_interval: float) -> dict[str, float]:
        """Lose an engine every ``loss_interval``; return the served part of each model's groups."""
        served: Counter[str] = Counter()
        for _ in range(round(seconds / loss_interval)):
            served.update(self._advance(loss_interval))
            alive = [name for name, engine in self._engines.items() if engine.lost_at == NEVER]
            self._engines[self._random.choice(alive)].lost_at = self._now
        return {
            name: served[name] * ROUND_SECONDS / seconds / count
            for name, count in self._initial.items()
        }

    def lose_member(self, model: str, domain: str) -> None:
        """Lose a member of the first serving group of ``model`` in ``domain``."""
        group = next(
            group
            for group in self._groups
            if group.model == model and self._serves(group) and group.head.startswith(domain)
        )
        self._engines[group.members[1]].lost_at = self._now

    def outage(self, model: str, seconds: float) -> float:
        """Return how long, within ``seconds``, fewer groups of ``model`` serve than at first."""
        rounds = round(seconds / ROUND_SECONDS)
        complete = sum(
            self._advance(ROUND_SECONDS)[model] >= self._initial[model] for _ in range(rounds)
        )
        return (rounds - complete) * ROUND_SECONDS

    def _advance(self, seconds: float) -> Counter[str]:
        """Let time pass; return the rounds in which a group served, by model."""
        served: Counter[str] = Counter()
        for _ in range(round(seconds / ROUND_SECONDS)):
            self._now += ROUND_SECONDS
            self._follow()
            self._plan()
            served.update(group.model for group in self._groups if self._serves(group))
        return served

    @property
    def _groups(self) -> tuple[Group, ...]:
        return tuple(self._state.groups.values())

    def _add_domain(self, number: int, engines: int, groups: dict[str, int]) -> None:
        """Start a domain with its groups; the rest stores what the planner chooses."""
        domain = FailureDomainId(f"d{number}")
        names = [InstanceId(f"{domain}-{engine:03}") for engine in range(engines)]
        self._engines.update((name, Engine(domain, "")) for name in names)
        for model, count in groups.items():
            size = self._models[model].size
            for _ in range(count):
                members, names = tuple(names[:size]), names[size:]
                self._state.apply(FormGroup(model, members))
                group = self._groups[-1]
                for member in members:
                    engine = self._engines[member]
                    engine.stored = engine.last_model = model
                    engine.group, engine.epoch, engine.ready_at = group.id, group.epoch, 0.0

    def _follow(self) -> None:
        """Let the engines load, join and leave as they were told."""
        assigned = {member: group for group in self._groups for member in group.members}
        for name, engine in self._engines.items():
            if engine.loading and self._now >= engine.loaded_at:
                engine.stored, engine.loading, engine.loaded_at = engine.loading, "", NEVER
            group = assigned.get(name)
            if group is None:
                engine.group, engine.epoch, engine.ready_at = None, Epoch(0), NEVER
            elif engine.epoch != group.epoch:
                engine.group, engine.epoch = group.id, group.epoch
                engine.ready_at = self._now + self._join_seconds(engine, group.model)
                engine.last_model = group.model

    def _join_seconds(self, engine: Engine, model: str) -> float:
        times = self._models[model]
        if engine.last_model == model:
            return REJOIN_SECONDS
        return times.warm_seconds if engine.stored == model else times.load_seconds

    def _plan(self) -> None:
        facts = self._input()
        conversion = plan_conversion(facts)
        commands = plan_groups(facts, conversion)
        recalled = groups_to_recall(facts)
        if conversion is not None and conversion.is_ready:
            recalled |= {conversion.group}
        self._recalled_at = {group: self._recalled_at.get(group, self._now) for group in recalled}
        for command in commands:
            self._state.apply(command)
        if not commands:
            for name, model in plan_staging(facts, conversion).items():
                engine = self._engines[name]
                engine.loading = model
                load_seconds = self._models[model].load_seconds
                engine.loaded_at = self._now + load_seconds * (1.0 if self._has_traffic else 0.1)

    def _serves(self, group: Group) -> bool:
        if group.id in self._recalled_at:
            return False
        engines = [self._engines[member] for member in group.members]
        return all(
            engine.lost_at == NEVER
            and engine.epoch == group.epoch
            and self._now >= engine.ready_at + (FORM_SECONDS if engine.ready_at else 0.0)
            for engine in engines
        )

    def _input(self) -> PlanInput:
        return PlanInput(
            self._configuration,
            PresetPolicy(),
            self._groups,
            dict(self._state.occupied),
            tuple(self._facts(name, engine) for name, engine in self._engines.items()),
            may_join_cold=False,
            parallel_loads=PARALLEL_LOADS,
        )

    def _facts(self, name: InstanceId, engine: Engine) -> InstanceFacts:
        is_lost = self._now >= engine.lost_at + DETECTION_SECONDS
        recalled_at = self._recalled_at.get(engine.group) if engine.group is not None else None
        has_ended = recalled_at is not None and self._now >= recalled_at + DRAIN_SECONDS
        return InstanceFacts(
            name,
            engine.domain,
            not is_lost,
            False,
            engine.epoch,
            False,
            0,
            draining_epoch=engine.epoch if has_ended else Epoch(0),
            unusable_for=self._now - engine.lost_at if is_lost else 0.0,
            staged_models=(engine.stored,) if engine.stored else (),
            staging_model=engine.loading,
        )
