"""Permits to load models, within the weight store's limit, in order of usefulness."""

import msgspec

from jaylatch_core.ids import Epoch, InstanceId
from jaylatch_core.messages.control import Group

LoadPermit = tuple[InstanceId, Epoch]
"""The instance that may load, and the epoch for which it loads."""


class LoadRequest(msgspec.Struct, frozen=True):
    """A group and its members that have not loaded for its epoch yet."""

    group: Group
    waiting: tuple[InstanceId, ...]


def grant_load_permits(
    requests: list[LoadRequest], held: frozenset[LoadPermit], limit: int
) -> frozenset[LoadPermit]:
    """Return the permits that are in force now, at most ``limit`` (0: no limit).

    Permits already held are kept until the load is done. Then groups with the fewest outstanding
    loads come first, so a repair precedes a new group.
    """
    wanted = [
        (member, request.group.epoch)
        for request in sorted(requests, key=lambda item: (len(item.waiting), item.group.epoch))
        for member in request.waiting
    ]
    if limit == 0:
        return frozenset(wanted)
    kept = [permit for permit in wanted if permit in held]
    fresh = [permit for permit in wanted if permit not in held]
    return frozenset(kept + fresh[: max(limit - len(kept), 0)])
