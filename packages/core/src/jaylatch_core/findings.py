"""Findings of document checks, each with an id, a subject and a hint."""

from enum import IntEnum

import msgspec


class Level(IntEnum):
    """Severity of a finding; an ERROR prevents the start or the change."""

    INFO = 20
    WARNING = 30
    ERROR = 40


class CheckMessage(msgspec.Struct, frozen=True):
    """One finding of a check. ``subject`` is the item concerned, such as ``lease.duration``."""

    level: Level
    id: str
    subject: str
    text: str
    hint: str = ""


def error(identifier: str, subject: str, text: str, hint: str) -> CheckMessage:
    """Return a finding that prevents the start or the change."""
    return CheckMessage(Level.ERROR, identifier, subject, text, hint)


def warning(identifier: str, subject: str, text: str, hint: str) -> CheckMessage:
    """Return a finding that prevents neither the start nor the change."""
    return CheckMessage(Level.WARNING, identifier, subject, text, hint)


def format_finding(message: CheckMessage) -> str:
    """Return the finding as one line of text."""
    return (
        f"{message.level.name} {message.id} {message.subject}: {message.text}"
        f" (hint: {message.hint})"
    )
