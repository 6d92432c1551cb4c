"""Retirement of groups that the configuration no longer wants.

A retiring group admits no new work, and is dissolved once nothing is in flight.
"""

from jaylatch_core.configuration import Configuration, ModelSpecification
from jaylatch_core.ids import GroupId, InstanceId
from jaylatch_core.messages.control import Group


def retiring_groups(
    configuration: Configuration, groups: tuple[Group, ...], lost: frozenset[InstanceId]
) -> frozenset[GroupId]:
    """Return the groups of unconfigured models, beyond the wanted number, or of another size.

    Of the groups beyond the wanted number those with most lost members retire first. Groups of
    another size retire one at a time, so that the others serve meanwhile.
    """
    retiring = {group.id for group in groups if configuration.model(group.model) is None}
    for model in configuration.models:
        own = [group for group in groups if group.model == model.name]
        retiring |= _beyond_wanted(model, own, lost) or _next_of_other_size(model, own)
    return frozenset(retiring)


def _beyond_wanted(
    model: ModelSpecification, groups: list[Group], lost: frozenset[InstanceId]
) -> set[GroupId]:
    if model.groups == 0:
        return set()
    ordered = sorted(groups, key=lambda group: (len(lost & set(group.members)), group.epoch))
    return {group.id for group in ordered[model.groups :]}


def _next_of_other_size(model: ModelSpecification, groups: list[Group]) -> set[GroupId]:
    others = [group for group in groups if len(group.members) != model.instances_per_group]
    return {min(others, key=lambda group: group.epoch).id} if others else set()
