"""Read-only calls of operators and their replies."""

import msgspec

from jaylatch_core.configuration import Configuration
from jaylatch_core.events import Event, EventFilter
from jaylatch_core.ids import FailureDomainId, Generation, GroupId, InstanceId
from jaylatch_core.messages.control import ConfigurationRecord, Group
from jaylatch_core.messages.membership import MemberReport, PresetState


class ReadStatus(msgspec.Struct, frozen=True, tag=True):
    """Asks the leader for its complete state; refused while it cannot confirm that it leads."""


class NodeStatus(msgspec.Struct, frozen=True):
    """A lease holder as the leader sees it."""

    instance: InstanceId
    roles: tuple[str, ...]
    failure_domain: FailureDomainId
    stream: str
    configuration: Generation
    preset: Generation
    lease_left: float
    member: MemberReport | None


class EvacuationStatus(msgspec.Struct, frozen=True):
    """An evacuation that ``operator`` ordered at the wall-clock time ``ordered_at``.

    ``in_force_at`` is when the leader knew that every gateway keeps to it, None until then.
    ``holding`` are the last groups of their models, which go on for a moment. ``working`` are the
    heads of the other groups that may have requests in flight.
    """

    domain: FailureDomainId
    operator: str
    ordered_at: float
    in_force_at: float | None
    holding: tuple[GroupId, ...]
    working: tuple[InstanceId, ...]


class StatusReport(msgspec.Struct, frozen=True, tag=True):
    """The answer to ``ReadStatus``.

    ``not_in_force`` lists the lease holders that do not yet apply the newest configuration, preset
    and deployment. ``silent`` are the instances whose lease has expired since the leader was
    elected. ``knows_all_holders`` is False while a lease granted by an earlier leader may still be
    valid. ``group_downtime`` and ``stranded_seconds`` are totals of the leader's term in seconds.
    """

    leader: InstanceId
    generation: Generation
    configuration: Configuration
    preset: PresetState
    nodes: tuple[NodeStatus, ...]
    groups: tuple[Group, ...]
    drained: tuple[str, ...]
    not_in_force: tuple[InstanceId, ...]
    group_downtime: float
    stranded_seconds: float
    silent: tuple[InstanceId, ...] = ()
    knows_all_holders: bool = True
    evacuations: tuple[EvacuationStatus, ...] = ()


class ReadHistory(msgspec.Struct, frozen=True, tag=True):
    """Asks for the latest accepted configurations; refused like ``ReadStatus``."""


class HistoryReport(msgspec.Struct, frozen=True, tag=True):
    """The answer to ``ReadHistory``, oldest first."""

    records: tuple[ConfigurationRecord, ...]


class ReadEvents(msgspec.Struct, frozen=True, tag=True):
    """Asks a process for its recent events that match the filter ``wanted``."""

    wanted: EventFilter = EventFilter()


class EventReport(msgspec.Struct, frozen=True, tag=True):
    """The answer to ``ReadEvents``; ``dropped`` events of this incarnation are no longer kept."""

    events: tuple[Event, ...]
    dropped: int = 0


class ReadMetrics(msgspec.Struct, frozen=True, tag=True):
    """Asks a process for its metrics."""


class MetricsReport(msgspec.Struct, frozen=True, tag=True):
    """The answer to ``ReadMetrics``: metrics in the Prometheus text format."""

    text: bytes
