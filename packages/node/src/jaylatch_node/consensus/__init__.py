"""Replicated logs of a control instance."""

from jaylatch_node.consensus.disk import DiskCondition, DiskState
from jaylatch_node.consensus.outbox import ConsensusOutbox
from jaylatch_node.consensus.replicated_log import ReplicatedLog, StateMachine
from jaylatch_node.consensus.voter_changes import change_voters

__all__ = [
    "ConsensusOutbox",
    "DiskCondition",
    "DiskState",
    "ReplicatedLog",
    "StateMachine",
    "change_voters",
]
