"""Order journal: the attempt that may run each order, and the answers of completed orders."""

from jaylatch_decisions.journal.retention import RetentionTimes
from jaylatch_decisions.journal.state import JournalState, shard_of

__all__ = ["JournalState", "RetentionTimes", "shard_of"]
