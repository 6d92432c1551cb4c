"""Runs the replicated logs of a control instance."""

from jaylatch_node.consensus.host import ReplicatedLog

__all__ = ["ReplicatedLog"]
