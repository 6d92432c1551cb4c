"""System checks: faults of settings found before start, each with an id, an object and a hint."""

from collections.abc import Callable
from enum import IntEnum

import msgspec

from jaylatch_core.settings import NodeSettings


class Level(IntEnum):
    """Severity of a check message; an ERROR prevents the start."""

    INFO = 20
    WARNING = 30
    ERROR = 40


class CheckMessage(msgspec.Struct, frozen=True):
    """One finding of a check."""

    level: Level
    id: str
    subject: str
    text: str
    hint: str = ""


Check = Callable[[NodeSettings], list[CheckMessage]]

_registry: list[Check] = []


def register(check: Check) -> Check:
    """Add ``check`` to those that ``run_checks`` runs; usable as a decorator."""
    _registry.append(check)
    return check


def run_checks(settings: NodeSettings) -> list[CheckMessage]:
    """Run every registered check and return all findings."""
    return [message for check in _registry for message in check(settings)]
