"""Consensus on a replicated log: the Raft protocol as a pure state machine."""

from jaylatch_decisions.consensus.raft import RaftNode
from jaylatch_decisions.consensus.types import Effects, RaftRole, RaftTiming

__all__ = ["Effects", "RaftNode", "RaftRole", "RaftTiming"]
