"""Keeps this process's lease alive."""

from jaylatch_node.leases.controller import LeaseController

__all__ = ["LeaseController"]
