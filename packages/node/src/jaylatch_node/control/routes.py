"""Routes of the view to groups and plain services."""

from collections.abc import Iterable

from jaylatch_core.enums import Role, TargetKind
from jaylatch_core.messages.control import Group
from jaylatch_core.messages.membership import GroupRoute, RenewLease, ServiceRoute


def group_route(group: Group, head: RenewLease) -> GroupRoute:
    """Return the route to a group whose head sent the renewal ``head``."""
    return GroupRoute(
        group.id, group.epoch, group.model, group.head, head.stream, head.failure_domain
    )


def service_routes(renewals: Iterable[RenewLease]) -> tuple[ServiceRoute, ...]:
    """Return the routes to the plain services that ``renewals`` announce, by instance."""
    routes = []
    for renewal in renewals:
        announcement = renewal.member.announcement if renewal.member is not None else None
        if announcement is not None and announcement.kind is TargetKind.SERVICE:
            routes.append(
                ServiceRoute(
                    announcement.service, renewal.instance, renewal.stream, renewal.failure_domain
                )
            )
    return tuple(sorted(routes, key=lambda route: route.instance))


def uses_views(renewal: RenewLease) -> bool:
    """Return whether the sender of ``renewal`` routes requests by views."""
    return Role.ENTRY in renewal.roles or Role.GATEWAY in renewal.roles
