"""Resource usage of the processes of a running deployment over a window."""

from jaylatch_standins.cluster import Cluster
from jaylatch_standins.deployment import create_operator
from jaylatch_standins.usage import Usage, read_usage


class Meter:
    """Measures the usage of some processes since ``start``. ``roles`` maps roles to instances."""

    def __init__(self, cluster: Cluster, roles: dict[str, str], initial: dict[str, Usage]) -> None:
        self._cluster = cluster
        self._roles = roles
        self._initial = initial

    @classmethod
    async def start(cls, cluster: Cluster, roles: dict[str, str]) -> "Meter":
        """Read the initial usage of all ``roles``."""
        return cls(cluster, roles, await _read_all(cluster, roles))

    async def read(self) -> dict[str, dict[str, float]]:
        """Return the usage of each role since ``start``."""
        latest = await _read_all(self._cluster, self._roles)
        return {role: usage.since(self._initial[role]) for role, usage in latest.items()}


async def control_roles(cluster: Cluster) -> dict[str, str]:
    """Return the instances of the leader, one follower and the first entry, by role."""
    leader = (await create_operator(cluster).get("status"))["leader"]
    follower = next(name for name in cluster.controls if name != leader)
    return {"leader": leader, "follower": follower, "entry": "entry-1"}


async def _read_all(cluster: Cluster, roles: dict[str, str]) -> dict[str, Usage]:
    return {
        role: await read_usage(cluster.processes[name].pid, cluster.nodes[name].stream)
        for role, name in roles.items()
    }
