"""Bounds on what a process holds for those that read slowly."""

from jaylatch_decisions.readers.pressure import (
    NEW_REQUEST_FRACTION,
    Reader,
    choose_dropped,
    is_behind,
    is_overdue,
    process_bound,
)

__all__ = [
    "NEW_REQUEST_FRACTION",
    "Reader",
    "choose_dropped",
    "is_behind",
    "is_overdue",
    "process_bound",
]
