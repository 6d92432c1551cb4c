"""The operators' time line: the recent events of all processes, merged."""

from asyncio import gather

import msgspec
from returns.pipeline import is_successful

from jaylatch_core.events import Event, EventFilter, EventGap, merge_events
from jaylatch_core.exceptions import CommandRefused
from jaylatch_core.messages.administration import EventReport, NodeStatus, ReadEvents
from jaylatch_node.entry.administration import AdministrationHandler

EVENTS_TIMEOUT = 1.0


class TimelineHandler(AdministrationHandler):
    """``GET /admin/v1/timeline``: the recent events of all processes, merged."""

    async def get(self) -> None:
        """Return the wanted events in causal order, and what is missing among them."""
        wanted = self._wanted()
        if wanted is None:
            return self.write_body(CommandRefused("since and until must be numbers of seconds"))
        status = await self.read_status()
        if status is None:
            return None
        nodes = [item for item in status.nodes if wanted.node in ("", item.instance)]
        reports = await gather(*(self._read(node, wanted) for node in nodes))
        events: list[Event] = []
        gaps = [EventGap(instance, is_unreachable=True) for instance in status.silent]
        for node, report in zip(nodes, reports, strict=True):
            if report is None:
                gaps.append(EventGap(node.instance, is_unreachable=True))
                continue
            events += report.events
            if report.dropped:
                gaps.append(EventGap(node.instance, report.dropped))
        self.write_json(
            {
                "events": merge_events(events),
                "gaps": gaps,
                "unreachable": [gap.node for gap in gaps if gap.is_unreachable],
            }
        )
        return None

    async def _read(self, node: NodeStatus, wanted: EventFilter) -> EventReport | None:
        peer = self._services.peers.get(node.stream)
        result = await peer.call(ReadEvents(wanted), EVENTS_TIMEOUT)
        body = result.unwrap() if is_successful(result) else None
        return body if isinstance(body, EventReport) else None

    def _wanted(self) -> EventFilter | None:
        arguments = {name: self.get_query_argument(name) for name in self.request.query_arguments}
        try:
            return msgspec.convert(arguments, EventFilter, strict=False)
        except msgspec.ValidationError:
            return None
