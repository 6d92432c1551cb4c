"""The records that processes log, one JSON line each. No other module knows their fields.

Each line also has ``asctime``, ``levelname``, ``name`` and ``instance``. Times are in milliseconds
where a name ends in ``_ms`` and in seconds elsewhere; ids and outcomes are plain text, so that the
lines of an older release can be read by a newer one.
"""

from typing import ClassVar

import msgspec


class LogRecord(msgspec.Struct, frozen=True, kw_only=True, tag_field="message"):
    """A line's own fields; its tag is the line's ``message``.

    ``lines_per_second`` is how many lines of the kind one process writes in a second, on average.
    """

    lines_per_second: ClassVar[float] = 50.0

    @property
    def message(self) -> str:
        """Return the name of the kind of record."""
        return str(self.__struct_config__.tag)


class RequestPlaced(LogRecord, frozen=True, kw_only=True, tag="placed"):
    """A request was sent to a target.

    ``load`` is the number of requests for each slot that the target was expected to have, as the
    keeper of its places counts (``report_age_ms`` 0) or from a report of that age (-1: none).
    ``view`` is the version of the view that named the target.
    ``resume_after`` is the last event that the caller has, -1 for none.
    """

    lines_per_second: ClassVar[float] = 500.0

    request: str
    route: str
    target: str
    send: int
    load: float
    report_age_ms: int
    candidates: int
    view: int
    time_left_ms: int
    resume_after: int = -1


class AttemptEnded(LogRecord, frozen=True, kw_only=True, tag="attempt ended"):
    """A target brought no whole answer; ``step`` was decided with ``budget`` repeats left."""

    lines_per_second: ClassVar[float] = 200.0

    request: str
    target: str
    outcome: str
    step: str
    sends: int
    budget: float


class RequestRefused(LogRecord, frozen=True, kw_only=True, tag="refused"):
    """The gateway answered by itself. ``retry_after`` is 0 where no advice was given.

    ``load`` is that of the least loaded target, where a load was the reason, ``lease_left`` the
    seconds for which this process may still act on what control has granted.
    """

    lines_per_second: ClassVar[float] = 500.0

    request: str
    route: str
    kind: str
    reason: str
    retry_after: float
    lease_left: float
    load: float = 0.0
    candidates: int = 0
    view: int = 0
    deployment: int = 0


class RequestEnded(LogRecord, frozen=True, kw_only=True, tag="ended"):
    """The caller has its answer, or is gone, or its stream was cut. ``ms`` is from its arrival."""

    lines_per_second: ClassVar[float] = 500.0

    request: str
    route: str
    outcome: str
    target: str
    sends: int
    ms: float
    first_ms: float = 0.0


class InternalError(LogRecord, frozen=True, kw_only=True, tag="own failure"):
    """An error of this program ended the handling of a request."""

    request: str
    error: str


class TargetStateChanged(LogRecord, frozen=True, kw_only=True, tag="target"):
    """Control has heard of a new target, or that one leaves: ready, draining or departed."""

    target: str
    state: str
    service: str = ""
    address: str = ""
    fabric_domain: str = ""
    staged: tuple[str, ...] = ()


class TargetProbed(LogRecord, frozen=True, kw_only=True, tag="probe"):
    """A suspected target was probed: it was heard, or it is lost."""

    target: str
    outcome: str


class TargetDied(LogRecord, frozen=True, kw_only=True, tag="target death"):
    """A target has ended while ``requests``, by their digests, were under way at it."""

    target: str
    requests: tuple[str, ...]


class EngineOrdered(LogRecord, frozen=True, kw_only=True, tag="engine order"):
    """An engine got an order; ``outcome`` is its answer, unknown if there was none."""

    target: str
    order: str
    outcome: str


class ViewPublished(LogRecord, frozen=True, kw_only=True, tag="view"):
    """The leader names these groups to the gateways from now on, as ID@EPOCH, "!" if ending."""

    version: int
    groups: tuple[str, ...]


class PlanCommitted(LogRecord, frozen=True, kw_only=True, tag="plan"):
    """The control quorum has agreed on a change of the groups."""

    command: str


class VotersChanged(LogRecord, frozen=True, kw_only=True, tag="voters"):
    """The voters of a log were to be changed."""

    log: str
    voters: tuple[str, ...]
    outcome: str


class DeploymentReceived(LogRecord, frozen=True, kw_only=True, tag="document"):
    """An operator's deployment document was accepted, or refused for ``reason``."""

    number: int
    is_accepted: bool
    reason: str = ""


class HeartbeatRefused(LogRecord, frozen=True, kw_only=True, tag="heartbeat refused"):
    """A message of a target could not be used."""

    reason: str


class EventRecorded(LogRecord, frozen=True, kw_only=True, tag="event"):
    """An event of the time line, as it was recorded."""

    lines_per_second: ClassVar[float] = 200.0

    event: str
    subject: str = ""
    request: str = ""
    detail: str = ""
    generation: int = 0


class LinesSuppressed(LogRecord, frozen=True, kw_only=True, tag="suppressed"):
    """Lines that were not written: beyond the limit of ``record``, or while the output was full."""

    record: str
    count: int
    reason: str


RECORD_TYPES: tuple[type[LogRecord], ...] = (
    RequestPlaced,
    AttemptEnded,
    RequestRefused,
    RequestEnded,
    InternalError,
    TargetStateChanged,
    TargetProbed,
    TargetDied,
    EngineOrdered,
    ViewPublished,
    PlanCommitted,
    VotersChanged,
    DeploymentReceived,
    HeartbeatRefused,
    EventRecorded,
    LinesSuppressed,
)
