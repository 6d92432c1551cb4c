"""Orders to the engines of direct targets, and probes of these targets."""

from asyncio import timeout

from jaylatch_core.clock import monotonic
from jaylatch_decisions.targets import EngineOrder, TargetRecord
from jaylatch_node.targets.connection import OutboundRequest, ResponseHead
from jaylatch_node.targets.dialect import OrderOutcome, TargetDialect
from jaylatch_node.targets.pool import TargetPool

ORDER_TIMEOUT = 1.0
"""Seconds after which the outcome of an order counts as unknown; heartbeats show its effect."""
PROBE_TIMEOUT = 0.2
"""Seconds to wait for the answer to a probe: links take milliseconds, and a target answers without
waiting for other work."""
SUCCESS = 200


class EngineOrderClient:
    """Sends orders to engines, and probes to all direct targets."""

    def __init__(self, dialect: TargetDialect) -> None:
        self._dialect = dialect
        self._pool = TargetPool()

    async def send(self, record: TargetRecord, order: EngineOrder, fence: int) -> OrderOutcome:
        """Send ``order``; return the engine's outcome, UNKNOWN if it did not answer."""
        heartbeat = record.heartbeat
        request = self._dialect.write_order(order, heartbeat.instance, fence)
        head = await self._exchange(heartbeat.address, request, ORDER_TIMEOUT)
        return OrderOutcome.UNKNOWN if head is None else self._dialect.read_order_outcome(head)

    async def probe(self, record: TargetRecord) -> bool:
        """Return whether the target, and no other one, answers at its address."""
        heartbeat = record.heartbeat
        request = self._dialect.write_probe(heartbeat.instance)
        head = await self._exchange(heartbeat.address, request, PROBE_TIMEOUT)
        return head is not None and head.status == SUCCESS

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _exchange(
        self, address: str, request: OutboundRequest, limit: float
    ) -> ResponseHead | None:
        """Return the head of a complete answer that arrives within ``limit`` seconds, else None."""
        heads: list[ResponseHead] = []

        def take_head(head: ResponseHead) -> bool:
            heads.append(head)
            return True

        try:
            async with timeout(limit):
                connection = self._pool.take(monotonic(), address)
                connection = connection or await self._pool.connect(address)
                if connection is None:
                    return None
                failure = await connection.exchange(request, take_head, lambda data: None)
        except TimeoutError:
            return None
        if failure is not None or not heads:
            connection.close()
            return None
        self._pool.release(monotonic(), address, connection, None)
        return heads[0]
