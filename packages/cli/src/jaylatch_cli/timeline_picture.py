"""Rendering of a timeline as SVG: a lane per process, a mark per event, a line per request."""

from xml.etree.ElementTree import Element, SubElement, tostring

from jaylatch_core.events import Event, EventGap

LANE_HEIGHT = 28
LABEL_WIDTH = 160
PLOT_WIDTH = 1000
MARGIN = 24
MARK_RADIUS = 4
COLOURS = {
    "request": "#1b6ca8",
    "attempt": "#2a9d8f",
    "group": "#d1495b",
    "plan": "#8d5a97",
    "process": "#444444",
    "engine": "#e09f3e",
}
OTHER_COLOUR = "#777777"


class _Picture:
    def __init__(self, events: list[Event], gaps: list[EventGap]) -> None:
        names = {event.node for event in events} | {str(gap.node) for gap in gaps}
        self._lanes = {name: number for number, name in enumerate(sorted(names))}
        self._first = events[0].at if events else 0.0
        self._span = max(events[-1].at - self._first, 1e-6) if events else 1.0
        height = 2 * MARGIN + LANE_HEIGHT * len(self._lanes)
        self.root = Element(
            "svg",
            xmlns="http://www.w3.org/2000/svg",
            width=str(LABEL_WIDTH + PLOT_WIDTH + MARGIN),
            height=str(height),
            attrib={"font-family": "sans-serif", "font-size": "11"},
        )

    def draw_lanes(self, gaps: list[EventGap]) -> None:
        unreachable = {str(gap.node) for gap in gaps if gap.is_unreachable}
        for name in self._lanes:
            y = self._y(name)
            label = f"{name} (unreachable)" if name in unreachable else name
            self._text(4, y + MARK_RADIUS, label)
            style = {"stroke": "#cccccc"}
            if name in unreachable:
                style = {"stroke": "#d1495b", "stroke-dasharray": "4 4"}
            right = LABEL_WIDTH + PLOT_WIDTH
            self._line(LABEL_WIDTH, y, right, y, style | {"class": "lane"})
        self._text(LABEL_WIDTH, MARGIN / 2, f"0 s = {self._first:.3f}; width {self._span:.3f} s")

    def draw_gaps(self, gaps: list[EventGap]) -> None:
        for gap in gaps:
            if gap.dropped:
                text = f"{gap.dropped} earlier events are no longer kept"
                mark = self._text(LABEL_WIDTH - 18, self._y(gap.node) + MARK_RADIUS, "⋯")
                SubElement(mark, "title").text = text

    def draw_requests(self, events: list[Event]) -> None:
        latest: dict[str, Event] = {}
        for event in events:
            if not event.request:
                continue
            previous = latest.get(event.request)
            if previous is not None:
                style = {"stroke": "#1b6ca8", "stroke-opacity": "0.4", "class": "request"}
                start = (self._x(previous), self._y(previous.node))
                self._line(*start, self._x(event), self._y(event.node), style)
            latest[event.request] = event

    def draw_events(self, events: list[Event]) -> None:
        for event in events:
            mark = SubElement(
                self.root,
                "circle",
                cx=f"{self._x(event):.1f}",
                cy=f"{self._y(event.node):.1f}",
                r=str(MARK_RADIUS),
                fill=COLOURS.get(event.name.partition(".")[0], OTHER_COLOUR),
            )
            parts = (event.name, event.subject, event.request, event.detail)
            title = " ".join(part for part in parts if part)
            SubElement(mark, "title").text = f"{event.at:.3f}.{event.counter} {title}"

    def _x(self, event: Event) -> float:
        return LABEL_WIDTH + PLOT_WIDTH * (event.at - self._first) / self._span

    def _y(self, node: str) -> float:
        return MARGIN + LANE_HEIGHT * (self._lanes[node] + 0.5)

    def _text(self, x: float, y: float, text: str) -> Element:
        item = SubElement(self.root, "text", x=f"{x:.1f}", y=f"{y:.1f}")
        item.text = text
        return item

    def _line(
        self, left: float, top: float, right: float, bottom: float, style: dict[str, str]
    ) -> None:
        ends = {"x1": left, "y1": top, "x2": right, "y2": bottom}
        coordinates = {name: f"{value:.1f}" for name, value in ends.items()}
        SubElement(self.root, "line", attrib=coordinates | style)


def draw_timeline(events: list[Event], gaps: list[EventGap]) -> str:
    """Return an SVG picture of ``events``, which must be in causal order."""
    picture = _Picture(events, gaps)
    picture.draw_lanes(gaps)
    picture.draw_gaps(gaps)
    picture.draw_requests(events)
    picture.draw_events(events)
    return tostring(picture.root, encoding="unicode")
