"""System checks of settings: rules that types and bounds cannot express.

Importing this package registers the checks of the core; other packages register theirs with
``register``.
"""

from jaylatch_core.checks import addresses, roles, storage, timing
from jaylatch_core.checks.registry import Check, register, run_checks
from jaylatch_core.findings import CheckMessage, Level

__all__ = [
    "Check",
    "CheckMessage",
    "Level",
    "addresses",
    "register",
    "roles",
    "run_checks",
    "storage",
    "timing",
]
