"""Administration handler for the timeline of events."""

from returns.pipeline import is_successful

from jaylatch_node.entry.administration import AdministrationHandler
from jaylatch_node.entry.timeline import gather_timeline, parse_filter


class TimelineHandler(AdministrationHandler):
    """``GET /admin/v1/timeline``: the recent events of all processes, merged."""

    async def get(self) -> None:
        """Return the matching events in causal order, and the gaps among them."""
        names = self.request.query_arguments
        event_filter = parse_filter({name: self.get_query_argument(name) for name in names})
        if not is_successful(event_filter):
            return self.write_body(event_filter.failure())
        status = await self.read_status()
        if status is not None:
            timeline = await gather_timeline(self._services.peers, status, event_filter.unwrap())
            self.write_json(timeline)
        return None
