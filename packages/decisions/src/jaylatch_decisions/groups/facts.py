"""Input of the planner: the state of the instances and groups as the leader knows it."""

from functools import cached_property

import msgspec

from jaylatch_core.configuration import Configuration, PresetPolicy
from jaylatch_core.ids import Epoch, FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import Group

RECENTLY_SEEN_TIME = 0.5
"""Seconds after which a new instance is used: the instances of a recovering domain report within a
third of a second."""


class InstanceFacts(msgspec.Struct, frozen=True):
    """State of one instance with a model engine, as the leader knows it.

    ``is_usable``: it renewed its lease recently, acts under it, and its engine is healthy;
    ``unusable_for`` is the number of seconds since it was. ``epoch`` is the one it last reported
    (0: in no group). ``is_settled``: no earlier order can still reach its engine.
    ``draining_epoch``: the epoch under which it knows that it must start no new work.
    ``staged_models`` are stored on the instance, so that it joins a group of one of them in a short
    time; None where that makes no difference or is not known. ``staging_model`` is the model that
    it is staging now, ``known_for`` the seconds since it appeared.
    """

    instance: InstanceId
    failure_domain: FailureDomainId
    is_usable: bool
    is_drained: bool
    epoch: Epoch
    is_serving: bool
    in_flight: int
    is_settled: bool = True
    draining_epoch: Epoch = Epoch(0)
    unusable_for: float = 0.0
    staged_models: tuple[str, ...] | None = None
    staging_model: str = ""
    known_for: float = 3600.0

    @property
    def is_recently_seen(self) -> bool:
        """Return whether it appeared so recently that others of its domain may follow."""
        return self.known_for < RECENTLY_SEEN_TIME


class PlanInput(msgspec.Struct, frozen=True, dict=True):
    """Complete input of the planner.

    ``may_join_cold``: instances may join groups of models that they have not staged.
    ``spanning_models`` are those whose groups serve in time, if more slowly, when their members are
    in several domains. ``parallel_loads`` is the number of loads that do not slow each other down
    (0: no limit).
    """

    configuration: Configuration
    policy: PresetPolicy
    groups: tuple[Group, ...]
    occupied: dict[InstanceId, Epoch]
    instances: tuple[InstanceFacts, ...]
    may_join_cold: bool = True
    spanning_models: frozenset[str] = frozenset()
    parallel_loads: int = 0
    expired: frozenset[GroupId] = frozenset()

    @cached_property
    def members(self) -> frozenset[InstanceId]:
        """Return the instances that are in a group."""
        return frozenset(member for group in self.groups for member in group.members)

    @cached_property
    def assigned(self) -> frozenset[InstanceId]:
        """Return the instances that are in a group, or have not confirmed that they left one."""
        return self.members | self.occupied.keys()

    @cached_property
    def lost_members(self) -> frozenset[InstanceId]:
        """Return the members of groups that are unknown or unusable."""
        return self.members - {item.instance for item in self.instances if item.is_usable}

    @cached_property
    def outdated(self) -> frozenset[GroupId]:
        """Return the groups that the configuration no longer wants as they are."""
        return outdated_groups(self.configuration, self.groups)

    @cached_property
    def free_instances(self) -> list[InstanceFacts]:
        """Return the usable instances in no group, without those that are drained."""
        return [
            item
            for item in self.instances
            if item.instance not in self.assigned and item.is_usable and not item.is_drained
        ]

    @cached_property
    def changing_domains(self) -> frozenset[FailureDomainId]:
        """Return the domains of which an instance has just appeared or still leaves a group.

        What their free instances can form or repair is known only afterwards.
        """
        return frozenset(
            item.failure_domain
            for item in self.instances
            if item.is_usable and (item.is_recently_seen or item.instance in self.occupied)
        )

    @cached_property
    def broken_groups(self) -> list[Group]:
        """Return the groups with a member that is unknown or unusable."""
        lost = self.lost_members
        return [group for group in self.groups if not lost.isdisjoint(group.members)]


def outdated_groups(configuration: Configuration, groups: tuple[Group, ...]) -> frozenset[GroupId]:
    """Return the groups of a model that is not configured, or of another size than configured."""
    return frozenset(group.id for group in groups if _is_outdated(configuration, group))


def _is_outdated(configuration: Configuration, group: Group) -> bool:
    model = configuration.model(group.model)
    return model is None or len(group.members) != model.instances_per_group
