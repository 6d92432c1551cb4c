"""Groups and instances in failure domains that are evacuated.

Load pattern: a third of the capacity is withdrawn within seconds, under full load. Planned as a
loss, it would dissolve groups that are intact, and the models that are left would be compared as
if the withdrawn groups still served. What is evacuated is therefore left out of the plan and kept
as it is. Only the last groups of a model go on until another one serves, because without them
every request of the model would be refused.
"""

from collections.abc import Collection, Iterable, Mapping

from jaylatch_core.ids import FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_decisions.groups.facts import InstanceFacts


def evacuated_groups(
    groups: Iterable[Group],
    domains: Mapping[InstanceId, FailureDomainId],
    evacuated: Collection[FailureDomainId],
) -> frozenset[GroupId]:
    """Return the groups with a member in an ``evacuated`` domain.

    ``domains`` has the domain of each member that is or was known. A group without any known member
    belongs to them too: its instances have been stopped, as is usual during an evacuation.
    """
    if not evacuated:
        return frozenset()
    return frozenset(
        group.id
        for group in groups
        if any(domains.get(member) in evacuated for member in group.members)
        or domains.keys().isdisjoint(group.members)
    )


def held_groups(
    groups: Iterable[Group],
    evacuated: Collection[GroupId],
    serving: Collection[GroupId],
    usable_elsewhere: int,
) -> frozenset[GroupId]:
    """Return the ``evacuated`` groups that should serve until one of their model does elsewhere.

    There is nothing to wait for if the ``usable_elsewhere`` instances of the other domains do not
    suffice for a group.
    """
    known = tuple(groups)
    replaced = {group.model for group in known if group.id in serving and group.id not in evacuated}
    return frozenset(
        group.id
        for group in known
        if group.id in evacuated
        and group.id in serving
        and group.model not in replaced
        and len(group.members) <= usable_elsewhere
    )


def remaining_instances(
    instances: Iterable[InstanceFacts],
    evacuated: Collection[InstanceId],
    groups: Iterable[Group],
) -> list[InstanceFacts]:
    """Return the instances that are neither ``evacuated`` nor members of evacuated ``groups``."""
    withdrawn = {member for group in groups for member in group.members}.union(evacuated)
    return [item for item in instances if item.instance not in withdrawn]
