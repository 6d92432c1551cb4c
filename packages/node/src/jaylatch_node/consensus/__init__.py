"""Runs the replicated logs of a control instance."""

from jaylatch_node.consensus.host import ReplicatedLog, StateMachine
from jaylatch_node.consensus.outbox import ConsensusOutbox

__all__ = ["ConsensusOutbox", "ReplicatedLog", "StateMachine"]
