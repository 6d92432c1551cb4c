"""Gives orders to the engines of direct targets."""

from asyncio import timeout

from jaylatch_core.clock import monotonic
from jaylatch_decisions.targets import EngineOrder, TargetRecord
from jaylatch_node.targets.connection import ExchangeFailed, ResponseHead
from jaylatch_node.targets.dialect import OrderOutcome, TargetDialect
from jaylatch_node.targets.pool import TargetPool

ORDER_TIMEOUT = 1.0
"""Seconds after which the fate of an order is unknown; the target's reports show it."""


class EngineOrders:
    """Sends one order at a time to each engine that the caller names."""

    def __init__(self, dialect: TargetDialect) -> None:
        self._dialect = dialect
        self._pool = TargetPool()

    async def send(self, record: TargetRecord, order: EngineOrder, fence: int) -> OrderOutcome:
        """Give ``order``; returns what the engine answered, UNKNOWN if it did not."""
        check_in = record.check_in
        request = self._dialect.write_order(order, check_in.instance, fence)
        heads: list[ResponseHead] = []

        def take_head(head: ResponseHead) -> bool:
            heads.append(head)
            return True

        try:
            async with timeout(ORDER_TIMEOUT):
                address = check_in.address
                connection = self._pool.take(monotonic(), address)
                connection = connection or await self._pool.connect(address)
                if connection is None:
                    return OrderOutcome.UNKNOWN
                failure: ExchangeFailed | None = await connection.exchange(
                    request, take_head, lambda data: None
                )
        except TimeoutError:
            return OrderOutcome.UNKNOWN
        if failure is not None or not heads:
            connection.close()
            return OrderOutcome.UNKNOWN
        self._pool.give_back(monotonic(), address, connection, None)
        return self._dialect.read_order_outcome(heads[0])

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
