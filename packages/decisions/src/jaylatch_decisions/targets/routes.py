"""Lookup of the route and the account of a request."""

from collections.abc import Mapping

from jaylatch_core.deployment import AccountProfile, Deployment, RouteSpecification


class RouteTable:
    """The routes and keys of one deployment, indexed for lookup."""

    def __init__(self, deployment: Deployment) -> None:
        self._routes = {(route.host, route.path_prefix): route for route in deployment.routes}
        self._accounts: Mapping[str, AccountProfile] = {
            key: account for account in deployment.accounts for key in account.keys
        }
        self._needs_key = bool(deployment.accounts)

    def find_route(self, host: str, path: str) -> RouteSpecification | None:
        """Return the route of ``host`` with the longest path prefix of ``path``, or None."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_account(self, key: str | None) -> AccountProfile | None:
        """Return the account that holds ``key``, or None."""
        return self._accounts.get(key) if key is not None else None

    def needs_key(self, route: RouteSpecification) -> bool:
        """Return whether a request on ``route`` must carry a known key."""
        return self._needs_key and not route.is_public
