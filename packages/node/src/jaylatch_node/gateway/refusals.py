"""Refusals: the gateway's own answers to callers."""

import logging
from random import Random

from tornado.httputil import HTTPHeaders, RequestStartLine

from jaylatch_core.clock import monotonic
from jaylatch_core.log_records import RequestRefused
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.caller_stream import closing_answer
from jaylatch_node.gateway.caller import Caller
from jaylatch_node.gateway.metrics import GatewayMetrics
from jaylatch_node.gateway.placement import NoPlacement
from jaylatch_node.observability import log_record
from jaylatch_node.targets import InboundRequest, Refusal, RefusalKind, TargetDialect

RETRY_JITTER = 0.5
"""Fraction by which a retry delay is varied, so that callers do not return at the same time."""
MEMORY_RETRY = 1.0
"""Seconds after which there is room again: those that do not read are dropped within a second."""
NO_MEMORY = "this instance holds too much for others"
UNREAD_REASONS = {
    RefusalKind.HEAD_TOO_LARGE: "the head is larger than the limit",
    RefusalKind.HEAD_TIMED_OUT: "the head was not complete in time",
    RefusalKind.BODY_TOO_LARGE: "the body is larger than the limit",
}

_log = logging.getLogger("jaylatch.request")


class Refusals:
    """Writes and logs the refusals of one gateway."""

    def __init__(
        self, board: Blackboard, dialect: TargetDialect, metrics: GatewayMetrics, random: Random
    ) -> None:
        self._board = board
        self._dialect = dialect
        self._metrics = metrics
        self._random = random

    def add_jitter(self, retry_after: float) -> float:
        """Vary a retry delay."""
        return retry_after * (1 + RETRY_JITTER * (2 * self._random.random() - 1))

    def refuse(
        self,
        caller: Caller,
        request: InboundRequest | None,
        refusal: Refusal,
        route: str,
        found: NoPlacement | None = None,
    ) -> None:
        """Refuse a request; ``found`` is set if no target took it."""
        attempt = request.attempt if request is not None else None
        caller.send_answer(*self._dialect.write_refusal(refusal, attempt))
        self._record(request, refusal, route, found)

    def refuse_for_memory(
        self, start_line: RequestStartLine, headers: HTTPHeaders, caller: Caller
    ) -> None:
        """Refuse a request whose body was not kept; nothing has been sent to a target."""
        refusal = Refusal(RefusalKind.NOT_RUN, NO_MEMORY, self.add_jitter(MEMORY_RETRY))
        self.refuse(caller, self._read_head(start_line, headers), refusal, "")

    def refuse_body(
        self, start_line: RequestStartLine, headers: HTTPHeaders, caller: Caller
    ) -> None:
        """Refuse a request whose body is larger than the limit."""
        refusal = _refusal_of_unread(RefusalKind.BODY_TOO_LARGE)
        self.refuse(caller, self._read_head(start_line, headers), refusal, "")

    def refuse_head(self, kind: RefusalKind) -> bytes:
        """Return the whole answer to a request of which no head could be read."""
        refusal = _refusal_of_unread(kind)
        status, reason, headers, body = self._dialect.write_refusal(refusal, None)
        self._record(None, refusal, "", None)
        return closing_answer(status, reason, headers, body)

    def _read_head(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> InboundRequest | None:
        read = self._dialect.read_request(start_line, headers, b"")
        return read if isinstance(read, InboundRequest) else None

    def _record(
        self,
        request: InboundRequest | None,
        refusal: Refusal,
        route: str,
        found: NoPlacement | None,
    ) -> None:
        self._metrics.count_refusal(refusal.kind.value)
        rank = found.rank if found is not None else None
        if rank is not None:
            self._metrics.count_ranked_refusal(refusal.reason, rank)
        now = monotonic()
        grant = self._board.grant
        log_record(
            _log,
            RequestRefused(
                request=request.attempt if request is not None else "",
                route=route,
                kind=refusal.kind.value,
                reason=refusal.reason,
                retry_after=round(refusal.retry_after, 3),
                lease_left=round(grant.lease.expires_at - now, 3),
                load=round(found.load, 2) if found is not None else 0.0,
                candidates=found.candidates if found is not None else 0,
                view=grant.view.version,
                deployment=grant.deployment.number,
                model=(request.model if request is not None else None) or "",
                rank=rank if rank is not None else -1,
            ),
        )


def _refusal_of_unread(kind: RefusalKind) -> Refusal:
    return Refusal(kind, UNREAD_REASONS[kind])
