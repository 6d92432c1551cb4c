"""Replicated control state: configuration, presets, groups and drains."""

from jaylatch_decisions.control.accounts import AccountChange, change_account, remove_account
from jaylatch_decisions.control.deployment_history import apply_change
from jaylatch_decisions.control.progress import DrainProgress, drain_progress
from jaylatch_decisions.control.state import ControlState

__all__ = [
    "AccountChange",
    "ControlState",
    "DrainProgress",
    "apply_change",
    "change_account",
    "drain_progress",
    "remove_account",
]
