"""Leases that the control leader grants, and their use by the holders."""

from jaylatch_decisions.leases.holder import HeldLease
from jaylatch_decisions.leases.table import LeaseTable

__all__ = ["HeldLease", "LeaseTable"]
