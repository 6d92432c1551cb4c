"""Logs, metrics and the time line."""

from jaylatch_node.observability.logs import configure_logs

__all__ = ["configure_logs"]
