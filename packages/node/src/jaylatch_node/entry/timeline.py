"""Gathers the events of all processes for the administration API."""

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


class Timeline(msgspec.Struct, frozen=True):
    """Wanted events in causal order, and what is missing among them."""

    events: tuple[Event, ...]
    gaps: tuple[EventGap, ...]
    unreachable: tuple[InstanceId, ...]


def parse_filter(arguments: Mapping[str, str]) -> Result[EventFilter, CommandRefused]:
    """Return the filter that a query asks for; unknown arguments are ignored."""
    try:
        return Success(msgspec.convert(dict(arguments), EventFilter, strict=False))
    except msgspec.ValidationError as error:
        detail = f"{error}; since and until must be numbers of seconds"
        return Err(CommandRefused(detail))


async def gather_timeline(peers: PeerPool, status: StatusReport, wanted: EventFilter) -> Timeline:
    """Ask every process that holds a lease; those that do not answer are gaps."""
    nodes = [node for node in status.nodes if wanted.node in ("", node.instance)]
    reports = await gather(*(_read(peers, node, wanted) for node in nodes))
    silent = [instance for instance in status.silent if wanted.node in ("", instance)]
    gaps = [EventGap(instance, is_unreachable=True) for instance in silent]
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


async def _read(peers: PeerPool, node: NodeStatus, wanted: EventFilter) -> EventReport | None:
    result = await peers.get(node.stream).call(ReadEvents(wanted), EVENTS_TIMEOUT)
    body = result.unwrap() if is_successful(result) else None
    return body if isinstance(body, EventReport) else None
