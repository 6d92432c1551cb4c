"""HTTP connections to direct targets, and the dialect that translates their platform's HTTP."""

from jaylatch_node.targets.connection import (
    Exchange,
    ExchangeFailed,
    OutboundRequest,
    ResponseHead,
    TargetConnection,
)
from jaylatch_node.targets.dialect import (
    InboundRequest,
    OrderOutcome,
    Refusal,
    RefusalKind,
    ResponseFacts,
    TargetDialect,
)
from jaylatch_node.targets.pool import TargetPool

__all__ = [
    "Exchange",
    "ExchangeFailed",
    "InboundRequest",
    "OrderOutcome",
    "OutboundRequest",
    "Refusal",
    "RefusalKind",
    "ResponseFacts",
    "ResponseHead",
    "TargetConnection",
    "TargetDialect",
    "TargetPool",
]
