"""Registry of the settings checks that run before a process starts."""

from collections.abc import Callable

from jaylatch_core.findings import CheckMessage
from jaylatch_core.settings import NodeSettings

Check = Callable[[NodeSettings], list[CheckMessage]]

_registry: list[Check] = []


def register(check: Check) -> Check:
    """Add ``check`` to those that ``run_checks`` runs; usable as a decorator."""
    _registry.append(check)
    return check


def run_checks(settings: NodeSettings) -> list[CheckMessage]:
    """Run every registered check and return all findings."""
    return [message for check in _registry for message in check(settings)]
