"""Streams of events that are passed on whole."""

from jaylatch_decisions.events.splitter import EventSplitter

__all__ = ["EventSplitter"]
