"""Leases granted by the control leader, on the side of the grantor and of the holder."""

from jaylatch_decisions.leases.announcements import AnnouncedDeployments
from jaylatch_decisions.leases.holder import HeldLease
from jaylatch_decisions.leases.table import LeaseTable

__all__ = ["AnnouncedDeployments", "HeldLease", "LeaseTable"]
