"""Collection of the events of all processes for the administration API."""

from asyncio import gather
from collections.abc import Mapping

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.events import Event, EventFilter, EventGap, merge_events
from jaylatch_core.exceptions import CommandRefused
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.administration import (
    EventReport,
    NodeStatus,
    ReadEvents,
    StatusReport,
)
from jaylatch_node.streams import PeerPool

EVENTS_TIMEOUT = 1.0
"""Seconds to wait for the events of one process."""


class Timeline(msgspec.Struct, frozen=True):
    """Events in causal order, and the gaps among them."""

    events: tuple[Event, ...]
    gaps: tuple[EventGap, ...]
    unreachable: tuple[InstanceId, ...]


def parse_filter(arguments: Mapping[str, str]) -> Result[EventFilter, CommandRefused]:
    """Parse query arguments into an event filter; unknown arguments are ignored."""
    try:
        return Success(msgspec.convert(dict(arguments), EventFilter, strict=False))
    except msgspec.ValidationError as error:
        detail = f"{error}; since and until must be numbers of seconds"
        return Err(CommandRefused(detail))


async def gather_timeline(
    peers: PeerPool, status: StatusReport, event_filter: EventFilter
) -> Timeline:
    """Read the events of every process with a lease; an unreachable process is a gap."""
    nodes = [node for node in status.nodes if event_filter.node in ("", node.instance)]
    reports = await gather(*(_read(peers, node, event_filter) for node in nodes))
    unresponsive = [instance for instance in status.silent if event_filter.node in ("", instance)]
    gaps = [EventGap(instance, is_unreachable=True) for instance in unresponsive]
    events: list[Event] = []
    for node, report in zip(nodes, reports, strict=True):
        if report is None:
            gaps.append(EventGap(node.instance, is_unreachable=True))
            continue
        events += report.events
        if report.dropped:
            gaps.append(EventGap(node.instance, report.dropped))
    unreachable = tuple(gap.node for gap in gaps if gap.is_unreachable)
    return Timeline(tuple(merge_events(events)), tuple(gaps), unreachable)


async def _read(peers: PeerPool, node: NodeStatus, event_filter: EventFilter) -> EventReport | None:
    result = await peers.get(node.stream).call(ReadEvents(event_filter), EVENTS_TIMEOUT)
    body = result.unwrap() if is_successful(result) else None
    return body if isinstance(body, EventReport) else None
