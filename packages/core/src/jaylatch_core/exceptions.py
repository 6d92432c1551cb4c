"""Failure types. Functions that can fail return ``returns.result.Result`` with one of them.

Each failure names the offending value, what was expected and what to do. ``JaylatchError`` wraps
a failure where Python's own protocol needs an exception (for example at process start).
"""

import msgspec

from jaylatch_core.enums import Outcome
from jaylatch_core.findings import CheckMessage
from jaylatch_core.ids import Generation


class Failure(msgspec.Struct, frozen=True, tag=True):
    """Base of all failures. ``detail`` is one sentence for people."""

    detail: str


class SettingsInvalid(Failure, frozen=True):
    """The node's settings file cannot be used; ``findings`` are its faults."""

    findings: tuple[CheckMessage, ...] = ()


class ConfigurationInvalid(Failure, frozen=True):
    """A configuration or deployment document is invalid; nothing was changed.

    ``findings`` are the document's faults.
    """

    findings: tuple[CheckMessage, ...] = ()


class AddressUnusable(Failure, frozen=True):
    """A process cannot listen at an address of its settings."""


class GenerationConflict(Failure, frozen=True):
    """Another change was committed first; ``current`` is the generation in the log.

    ``won`` describes that change for people.
    """

    current: Generation
    won: str = ""


class NotLeader(Failure, frozen=True):
    """This control instance is not the leader; ``leader`` is the leader's id (empty: unknown)."""

    leader: str


class CommandRefused(Failure, frozen=True):
    """An operator's command cannot be carried out in the present state."""


class DomainUnknown(Failure, frozen=True):
    """A drain names a failure domain that does not exist; nothing was changed."""


class Unavailable(Failure, frozen=True):
    """A process or a quorum could not be reached in time; a command may still take effect."""


class StorageFailed(Failure, frozen=True):
    """A write or a sync to disk failed; nothing was acknowledged."""


class StorageCorrupt(Failure, frozen=True):
    """A log file is damaged before its tail; the log must be restored from the peers."""


class LogsUnreadable(Failure, frozen=True):
    """Log lines could not be read; ``detail`` names the source."""


class StreamClosed(Failure, frozen=True):
    """A stream closed before the reply arrived."""


class RequestRefused(Failure, frozen=True):
    """A caller's request was refused.

    ``status`` is the HTTP status, ``outcome`` states whether the request ran, and ``retry_after``
    is the number of seconds after which a retry may succeed (0: no advice).
    """

    status: int
    code: str
    outcome: Outcome
    retry_after: float = 0.0


class TargetFailed(Failure, frozen=True):
    """A target answered wrongly or not at all; ``has_run`` is True unless proven otherwise.

    ``has_died`` is True if the target died while it ran the request.
    """

    has_run: bool
    has_died: bool = False


class JaylatchError(Exception):
    """Carries a ``Failure`` through code that must raise."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure
