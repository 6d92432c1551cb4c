"""Replicated logs of a control instance."""

from jaylatch_node.consensus.disk import DiskCondition, DiskState
from jaylatch_node.consensus.outbox import ConsensusOutbox
from jaylatch_node.consensus.replicated_log import ReplicatedLog, StateMachine

__all__ = ["ConsensusOutbox", "DiskCondition", "DiskState", "ReplicatedLog", "StateMachine"]
