"""Open connections to direct targets, kept for reuse: a new one costs both ends."""

from asyncio import get_running_loop
from collections import defaultdict

from jaylatch_node.targets.connection import TargetConnection

CONNECT_TIMEOUT = 0.35
"""Seconds to wait for a new connection. Links take milliseconds; a target that is gone says
nothing, and its share of the caller's time should go to another one."""
IDLE_LIMIT = 8.0
"""Seconds for which an idle connection is kept where the target states no time-out."""
REUSE_MARGIN = 0.5
"""Seconds before the target's own time-out at which a connection is no longer used."""


class TargetPool:
    """Idle connections by address, the one used last first."""

    def __init__(self) -> None:
        self._idle: dict[str, list[TargetConnection]] = defaultdict(list)

    def take(self, now: float, address: str) -> TargetConnection | None:
        """Return an idle connection that can carry a request, or None."""
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            connection.unwatch()
            if connection.is_reusable and now < connection.usable_until:
                return connection
            connection.close()
        return None

    async def connect(self, address: str) -> TargetConnection | None:
        """Return a new connection, or None if the target does not answer in time."""
        return await TargetConnection.connect(address, CONNECT_TIMEOUT)

    def release(
        self, now: float, address: str, connection: TargetConnection, keep_alive: float | None
    ) -> None:
        """Keep a connection whose last exchange ended whole."""
        if not connection.is_reusable:
            connection.close()
            return
        limit = IDLE_LIMIT if keep_alive is None else keep_alive - REUSE_MARGIN
        if limit <= 0:
            connection.close()
            return
        connection.idle_since = now
        connection.usable_until = now + limit
        idle = self._idle[address]
        idle.append(connection)
        connection.watch(lambda: self._drop(address, connection))
        get_running_loop().call_later(limit, self._expire, address, connection, now)

    def keep(self, addresses: set[str]) -> None:
        """Close the idle connections to all other addresses."""
        for address in [item for item in self._idle if item not in addresses]:
            for connection in self._idle.pop(address):
                connection.unwatch()
                connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        self.keep(set())

    def _drop(self, address: str, connection: TargetConnection) -> None:
        idle = self._idle.get(address)
        if idle and connection in idle:
            idle.remove(connection)

    def _expire(self, address: str, connection: TargetConnection, idle_since: float) -> None:
        idle = self._idle.get(address)
        if idle and connection in idle and connection.idle_since == idle_since:
            idle.remove(connection)
            connection.unwatch()
            connection.close()
