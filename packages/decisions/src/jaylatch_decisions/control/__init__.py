"""Replicated control state: configuration, presets, groups and planned stops."""

from jaylatch_decisions.control.state import ControlState

__all__ = ["ControlState"]
