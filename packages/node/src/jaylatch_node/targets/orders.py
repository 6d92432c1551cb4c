"""Orders to the engines of direct targets, and probes of these targets."""

from asyncio import timeout

from jaylatch_core.clock import monotonic
from jaylatch_decisions.targets import EngineOrder, ProbeOutcome, TargetRecord
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
        """Send ``order``; return the engine's outcome, UNKNOWN if it did not answer.

        An answer does not name its order. That a newer leader has sent orders ends those of this
        one for good, so it is believed only on a new connection; an order may be repeated.
        """
        outcome = await self._send(record, order, fence, may_reuse=True)
        if outcome is OrderOutcome.FENCED:
            outcome = await self._send(record, order, fence, may_reuse=False)
        return outcome

    async def _send(
        self, record: TargetRecord, order: EngineOrder, fence: int, *, may_reuse: bool
    ) -> OrderOutcome:
        heartbeat = record.heartbeat
        request = self._dialect.write_order(order, heartbeat.instance, fence)
        answer = await self._exchange(heartbeat.address, request, ORDER_TIMEOUT, may_reuse)
        if isinstance(answer, ProbeOutcome):
            return OrderOutcome.UNKNOWN
        return self._dialect.read_order_outcome(answer)

    async def probe(self, record: TargetRecord, is_repeated: bool) -> ProbeOutcome:
        """Return whether the target, and no other one, answers at its address.

        A repeated probe opens a connection: an old one may be mute while new ones are answered, and
        does not show whether the target still accepts any.
        """
        heartbeat = record.heartbeat
        request = self._dialect.write_probe(heartbeat.instance)
        answer = await self._exchange(heartbeat.address, request, PROBE_TIMEOUT, not is_repeated)
        if isinstance(answer, ProbeOutcome):
            return answer
        return ProbeOutcome.ANSWERED if answer.status == SUCCESS else ProbeOutcome.REFUSED

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _exchange(
        self, address: str, request: OutboundRequest, limit: float, may_reuse: bool = True
    ) -> ResponseHead | ProbeOutcome:
        """Return the head of a complete answer within ``limit`` seconds, else the cause.

        Only a new connection that is accepted and not answered shows a silent target; a full one
        resets it. ``may_reuse`` allows an old one.
        """
        no_answer = ProbeOutcome.UNREACHABLE
        heads: list[ResponseHead] = []

        def take_head(head: ResponseHead) -> bool:
            heads.append(head)
            return True

        try:
            async with timeout(limit):
                connection = self._pool.take(monotonic(), address) if may_reuse else None
                if connection is None:
                    connection = await self._pool.connect(address)
                    if connection is None:
                        return no_answer
                    no_answer = ProbeOutcome.SILENT
                failure = await connection.exchange(request, take_head, lambda data: None)
        except TimeoutError:
            return no_answer
        if failure is not None or not heads:
            connection.close()
            return no_answer
        self._pool.release(monotonic(), address, connection, None)
        return heads[0]
