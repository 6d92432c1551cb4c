"""Reports on the disks of a control instance's logs: log lines, metrics and events."""

import logging
from collections.abc import Collection
from typing import Any

from jaylatch_core.clock import wall
from jaylatch_core.event_names import EventName
from jaylatch_core.log_records import DiskStateChanged
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.consensus import DiskState, ReplicatedLog
from jaylatch_node.control.metrics import ControlMetrics
from jaylatch_node.observability import log_record

_log = logging.getLogger("jaylatch.control")


class DiskWatch:
    """Reports each change of state once."""

    def __init__(self, board: Blackboard, logs: Collection[ReplicatedLog[Any]]) -> None:
        self._board = board
        self._logs = logs
        self._metrics = ControlMetrics(board.metrics)
        self._reported = {log.name: DiskState.USABLE for log in logs}
        self._opened: set[str] = set()

    def report(self) -> None:
        """Report what has changed since the last call."""
        for log in self._logs:
            self._report_condition(log)
            if log.is_open and log.name not in self._opened:
                self._opened.add(log.name)
                self._report_opening(log)

    def _report_condition(self, log: ReplicatedLog[Any]) -> None:
        condition = log.disk
        self._metrics.set_disk_state(log.name, condition.state)
        if condition.state is not self._reported[log.name]:
            self._reported[log.name] = condition.state
            log_record(
                _log,
                DiskStateChanged(
                    log=log.name,
                    state=condition.state.value,
                    error=condition.error,
                    since=condition.since,
                ),
            )

    def _report_opening(self, log: ReplicatedLog[Any]) -> None:
        events = self._board.events
        if log.set_aside_folder is not None:
            events.record(wall(), EventName.STORAGE_SET_ASIDE, str(log.set_aside_folder))
        if log.is_recovering:
            events.record(wall(), EventName.STORAGE_RECOVERING, log.name)
