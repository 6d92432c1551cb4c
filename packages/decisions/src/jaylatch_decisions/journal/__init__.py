"""The order journal: which attempt may run an order, and the answers of orders that ran."""

from jaylatch_decisions.journal.retention import RetentionTimes
from jaylatch_decisions.journal.state import JournalState, shard_of

__all__ = ["JournalState", "RetentionTimes", "shard_of"]
