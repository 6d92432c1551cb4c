"""Renewal of this process's lease."""

from jaylatch_node.leases.controller import LeaseController

__all__ = ["LeaseController"]
