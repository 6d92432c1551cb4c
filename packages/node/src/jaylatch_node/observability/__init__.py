"""Logs and metrics."""

from jaylatch_node.observability.logs import configure_logs, log_event, log_record
from jaylatch_node.observability.metrics import Metrics, Timer

__all__ = ["Metrics", "Timer", "configure_logs", "log_event", "log_record"]
