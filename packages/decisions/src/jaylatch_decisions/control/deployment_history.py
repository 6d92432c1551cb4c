"""Latest deployments of the control log, and the differences that nodes lack.

Load pattern: an operator's document holds all routes, 1,400 and more, and documents follow each
other several times a second, while each of them must reach every gateway. A gateway is therefore
sent the difference from the deployment that it names. The difference is computed once, however many
gateways name the same one, and intermediate deployments are skipped.
"""

from collections import OrderedDict

from msgspec.structs import replace

from jaylatch_core.deployment import NO_DEPLOYMENT, Deployment, DeploymentNumber
from jaylatch_core.messages.deployment_changes import (
    DeploymentChange,
    RouteKey,
    pack_change,
)

EMPTY_DEPLOYMENT = Deployment(NO_DEPLOYMENT)

REMEMBERED_DEPLOYMENTS = 32
"""Deployments for which a difference is available; a node with an older one gets the whole
document. Equal routes of these are kept in memory once."""


class DeploymentHistory:
    """The deployment in force and its predecessors."""

    def __init__(self, current: Deployment = EMPTY_DEPLOYMENT) -> None:
        self._current = current
        self._known = OrderedDict({NO_DEPLOYMENT: EMPTY_DEPLOYMENT})
        self._known[current.number] = current
        self._packed: dict[DeploymentNumber, bytes] = {}

    @property
    def current(self) -> Deployment:
        """Return the deployment in force."""
        return self._current

    def publish(self, deployment: Deployment) -> None:
        """Put ``deployment`` in force; its number must be higher than the current one."""
        self._current = share_unchanged(self._current, deployment)
        self._known[deployment.number] = self._current
        self._packed.clear()
        while len(self._known) > REMEMBERED_DEPLOYMENTS:
            oldest = next(number for number in self._known if number != NO_DEPLOYMENT)
            del self._known[oldest]

    def change_since(self, number: DeploymentNumber) -> bytes:
        """Return the packed change from the deployment ``number`` to the current one.

        If that deployment is not remembered, return the change from the empty deployment.
        """
        base = number if number in self._known else NO_DEPLOYMENT
        packed = self._packed.get(base)
        if packed is None:
            packed = pack_change(compute_change(self._known[base], self._current))
            self._packed[base] = packed
        return packed


def share_unchanged(old: Deployment, new: Deployment) -> Deployment:
    """Return ``new`` with the route objects of ``old`` in place of equal ones."""
    known = {route: route for route in old.routes}
    return replace(new, routes=tuple(known.get(route, route) for route in new.routes))


def compute_change(old: Deployment, new: Deployment) -> DeploymentChange:
    """Return the change that turns ``old`` into ``new``."""
    known = {RouteKey(route.host, route.path_prefix): route for route in old.routes}
    changed = []
    for route in new.routes:
        if known.pop(RouteKey(route.host, route.path_prefix), None) != route:
            changed.append(route)
    return DeploymentChange(
        old.number,
        new.number,
        tuple(changed),
        tuple(known),
        None if new.services == old.services else new.services,
        None if new.limits == old.limits else new.limits,
        None if new.accounts == old.accounts else new.accounts,
    )


def apply_change(deployment: Deployment, change: DeploymentChange) -> Deployment | None:
    """Return the deployment after ``change``, or None if the change has another base."""
    if change.base not in (NO_DEPLOYMENT, deployment.number):
        return None
    base = deployment if change.base else EMPTY_DEPLOYMENT
    routes = {RouteKey(route.host, route.path_prefix): route for route in base.routes}
    for key in change.removed_routes:
        routes.pop(key, None)
    routes.update((RouteKey(route.host, route.path_prefix), route) for route in change.routes)
    return Deployment(
        change.number,
        tuple(routes.values()),
        base.services if change.services is None else change.services,
        base.limits if change.limits is None else change.limits,
        base.accounts if change.accounts is None else change.accounts,
    )
