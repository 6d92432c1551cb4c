"""Metrics of a control instance."""

from jaylatch_node.consensus import DiskState
from jaylatch_node.observability import Metrics

DISK_STATE_VALUES = {DiskState.USABLE: 0, DiskState.SLOW: 1, DiskState.FAILED: 2}


class ControlMetrics:
    """Condition of the disks of the logs."""

    def __init__(self, metrics: Metrics) -> None:
        self._disk_states = metrics.gauge(
            "control_disk_state",
            "Disk of a log: 0 usable, 1 a write takes too long, 2 writes fail (no vote).",
            ("log",),
        )

    def set_disk_state(self, log: str, state: DiskState) -> None:
        """Record the state of a log's disk."""
        self._disk_states.labels(log).set(DISK_STATE_VALUES[state])
