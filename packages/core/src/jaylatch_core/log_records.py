"""Log records of the processes, one JSON line each. Their fields are defined only here.

Each line also has ``asctime``, ``levelname``, ``name`` and ``instance``. Times are in milliseconds
where a name ends in ``_ms`` and in seconds elsewhere; ids and outcomes are plain text, so that the
lines of an older release can be read by a newer one.
"""

from typing import ClassVar

import msgspec


class LogRecord(msgspec.Struct, frozen=True, kw_only=True, tag_field="message"):
    """Fields of one kind of log line; the tag is the line's ``message``.

    ``lines_per_second`` is the average rate at which a process may write lines of the kind.
    """

    lines_per_second: ClassVar[float] = 50.0

    @property
    def message(self) -> str:
        """Return the name of the kind of record."""
        return str(self.__struct_config__.tag)


class RequestPlaced(LogRecord, frozen=True, kw_only=True, tag="placed"):
    """A request was sent to a target.

    ``load`` is the expected number of requests per slot of the target, as counted by the owner of
    its places (``report_age_ms`` 0) or taken from a report of that age (-1: none). ``send`` numbers
    the sends of the request. ``view`` is the version of the view that contains the target.
    ``resume_after`` is the last event that the caller has received, -1 for none.
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
    """An attempt ended incomplete. ``step`` is the next step, with ``budget`` retries left.

    ``silent_ms`` is the time without progress. ``abandoned`` states why the gateway abandoned the
    target, and is empty if the target itself ended the attempt. ``status`` is that of the target's
    answer, 0 if there was none. ``has_begun``: the caller has received a part of an answer.
    """

    lines_per_second: ClassVar[float] = 200.0

    request: str
    target: str
    outcome: str
    step: str
    sends: int
    budget: float
    silent_ms: int = 0
    abandoned: str = ""
    status: int = 0
    has_begun: bool = False


class AnswerSkipped(LogRecord, frozen=True, kw_only=True, tag="answer skipped"):
    """A target sent an answer to another request than the one that waits on the connection.

    ``answered`` is the request that the answer names, empty if it names none.
    """

    lines_per_second: ClassVar[float] = 20.0

    request: str
    target: str
    answered: str
    status: int


class RequestRefused(LogRecord, frozen=True, kw_only=True, tag="refused"):
    """The gateway refused a request. ``retry_after`` is 0 where no advice was given.

    ``load`` is that of the least loaded target if load was the reason. ``lease_left`` is the number
    of seconds until the lease of this process expires. ``rank`` is that of the request where
    requests wait for places by rank, -1 elsewhere; ``reason`` then tells why it got none.
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
    model: str = ""
    rank: int = -1


class RequestEnded(LogRecord, frozen=True, kw_only=True, tag="ended"):
    """A request was answered, or its stream or connection ended. ``ms`` counts from its arrival.

    ``status`` is that of the last target's answer, 0 if there was none.
    """

    lines_per_second: ClassVar[float] = 500.0

    request: str
    route: str
    outcome: str
    target: str
    sends: int
    ms: float
    first_ms: float = 0.0
    status: int = 0


class LoadsMeasured(LogRecord, frozen=True, kw_only=True, tag="loads"):
    """How even the load of the targets of a model or service was over the last 10 s.

    ``counted_by`` is ``owner`` or ``gateway``; a gateway that chooses by itself knows only its own
    requests. Loads are means over the choices, in requests for each slot.
    """

    subject: str
    counted_by: str
    largest: float
    mean: float
    largest_over_mean: float
    targets: int
    choices: int


class ReaderDropped(LogRecord, frozen=True, kw_only=True, tag="reader dropped"):
    """A connection was dropped because its other end did not read, or did not go on sending a body.

    ``held`` bytes were held for it, of ``total`` in this process, and it had taken none for
    ``silent`` seconds. ``reason`` is ``behind`` if it kept a target waiting for too long, and
    ``memory`` if the process held too much.
    """

    kind: str
    reason: str
    held: int
    silent: float
    total: int


class InternalError(LogRecord, frozen=True, kw_only=True, tag="own failure"):
    """An internal error ended the handling of a request."""

    request: str
    error: str


class TargetStateChanged(LogRecord, frozen=True, kw_only=True, tag="target"):
    """A target registered at control or changed its state: ready, draining or departed."""

    target: str
    state: str
    service: str = ""
    address: str = ""
    fabric_domain: str = ""
    staged: tuple[str, ...] = ()


class DiskStateChanged(LogRecord, frozen=True, kw_only=True, tag="disk"):
    """The disk of a log became usable, slow or failed; ``since`` is the wall-clock time of it.

    While it is failed, this control instance has no vote in the log.
    """

    log: str
    state: str
    error: str
    since: float


class TargetColdnessChanged(LogRecord, frozen=True, kw_only=True, tag="cold target"):
    """Control takes a target for cold from now on, or no longer.

    ``used`` is the highest part of its bound that this leader granted in a window while the target
    was cold.
    """

    target: str
    service: str
    is_cold: bool
    used: float


class TargetProbed(LogRecord, frozen=True, kw_only=True, tag="probe"):
    """A suspected target answered no probe: it is lost or silent, or has sent a heartbeat since."""

    target: str
    outcome: str


class TargetDied(LogRecord, frozen=True, kw_only=True, tag="target death"):
    """A target died while ``requests``, named by their digests, were in flight at it."""

    target: str
    requests: tuple[str, ...]


class PartsQuarantined(LogRecord, frozen=True, kw_only=True, tag="quarantine"):
    """The parts of prompts whose requests are refused, or that are suspected, have changed."""

    quarantined: tuple[str, ...]
    suspected: tuple[str, ...]


class TargetConditionChanged(LogRecord, frozen=True, kw_only=True, tag="target condition"):
    """The answer of a target to ``request`` states another condition than those before it.

    ``condition`` is ``limit``, with the requests a second that the target takes from all gateways
    together as its ``value``, or ``limit ended``, ``rest``, with the seconds for which it wants no
    request from this gateway, ``leaving``, or ``cold``, with the seconds for which it stays so.
    """

    target: str
    request: str
    condition: str
    value: float = 0.0


class EngineOrdered(LogRecord, frozen=True, kw_only=True, tag="engine order"):
    """An order was sent to an engine; ``outcome`` is its answer, unknown if there was none."""

    target: str
    order: str
    outcome: str


class ViewPublished(LogRecord, frozen=True, kw_only=True, tag="view"):
    """The leader published a view with these groups, as ID@EPOCH, with "!" if ending."""

    version: int
    groups: tuple[str, ...]


class PlanCommitted(LogRecord, frozen=True, kw_only=True, tag="plan"):
    """The control quorum committed a change of the groups."""

    command: str


class SupplyChanged(LogRecord, frozen=True, kw_only=True, tag="supply"):
    """The supply of a model has changed.

    ``broken`` of its ``groups`` lack a member. Of the instances in no group, ``free`` store the
    model and ``loading`` load it.
    """

    model: str
    groups: int
    broken: int
    free: int
    loading: int


class EvacuationChanged(LogRecord, frozen=True, kw_only=True, tag="evacuation"):
    """The evacuation of a failure domain reached a ``state``.

    The states are ``ordered``, ``taken over`` by a new leader, ``holding`` while the last groups of
    a model go on, ``stopped`` when none does, ``in force`` when every gateway keeps to it, and
    ``ended``. ``operator`` asked for it, or for its end.
    """

    domain: str
    state: str
    operator: str = ""
    holding: tuple[str, ...] = ()


class GroupsRetired(LogRecord, frozen=True, kw_only=True, tag="retirement"):
    """The groups that the configuration no longer wants, or those that retire, have changed.

    Of the ``outdated`` groups those ``retiring`` take no new work, and the others serve until their
    turn comes. ``deployment`` is the number of the one in force.
    """

    deployment: int
    outdated: tuple[str, ...]
    retiring: tuple[str, ...]


class VotersChanged(LogRecord, frozen=True, kw_only=True, tag="voters"):
    """The leader tried to change the voters of a log; ``outcome`` is the result."""

    log: str
    voters: tuple[str, ...]
    outcome: str


class LeaderChanged(LogRecord, frozen=True, kw_only=True, tag="leader"):
    """This instance follows another leader of a log, or leads it; ``leader`` is empty: none."""

    log: str
    leader: str
    term: int


class VoteHandedOn(LogRecord, frozen=True, kw_only=True, tag="vote"):
    """This instance is about to end; it keeps its vote if no other instance can take it over."""

    log: str
    keeps_vote: bool


class DeploymentReceived(LogRecord, frozen=True, kw_only=True, tag="document"):
    """An operator's deployment document was accepted, or refused for ``reason``."""

    number: int
    is_accepted: bool
    reason: str = ""


class HeartbeatRefused(LogRecord, frozen=True, kw_only=True, tag="heartbeat refused"):
    """A heartbeat of a target was invalid; ``target`` is the id that it names."""

    reason: str
    target: str = ""


class EventRecorded(LogRecord, frozen=True, kw_only=True, tag="event"):
    """A timeline event, as it was recorded."""

    lines_per_second: ClassVar[float] = 200.0

    event: str
    subject: str = ""
    request: str = ""
    detail: str = ""
    generation: int = 0


class LinesSuppressed(LogRecord, frozen=True, kw_only=True, tag="suppressed"):
    """Lines not written: above the limit of ``record``, or because the output was full or failed.

    ``record`` is empty in the second case.
    """

    record: str
    count: int
    reason: str


RECORD_TYPES: tuple[type[LogRecord], ...] = (
    RequestPlaced,
    AttemptEnded,
    AnswerSkipped,
    RequestRefused,
    RequestEnded,
    LoadsMeasured,
    ReaderDropped,
    InternalError,
    TargetStateChanged,
    DiskStateChanged,
    TargetColdnessChanged,
    TargetProbed,
    TargetDied,
    PartsQuarantined,
    TargetConditionChanged,
    EngineOrdered,
    ViewPublished,
    PlanCommitted,
    SupplyChanged,
    EvacuationChanged,
    GroupsRetired,
    VotersChanged,
    LeaderChanged,
    VoteHandedOn,
    DeploymentReceived,
    HeartbeatRefused,
    EventRecorded,
    LinesSuppressed,
)
