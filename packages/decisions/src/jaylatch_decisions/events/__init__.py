"""Event streams that are forwarded in complete events."""

from jaylatch_decisions.events.splitter import EventSplitter

__all__ = ["EventSplitter"]
