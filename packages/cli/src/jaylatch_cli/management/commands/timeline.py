"""``jaylatch timeline``."""

from argparse import ArgumentParser, Namespace
from pathlib import Path
from urllib.parse import urlencode

import msgspec
from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_cli.timeline_picture import draw_timeline
from jaylatch_core.events import Event, EventGap

FORMATS = ("text", "json", "svg")
FILTERS = {
    "request": "only events of this request id",
    "group": "only events of this group",
    "target": "only events of the process beside this target, and events about it",
    "node": "only events of this instance's process",
    "since": "only events from this time on (seconds since 1970)",
    "until": "only events up to this time (seconds since 1970)",
}


class _Timeline(msgspec.Struct):
    events: list[Event]
    gaps: list[EventGap]


class Command(BaseCommand):
    """Shows the recent events of all processes in causal order, and the gaps."""

    help = "show the merged events of all processes"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the filters and the output format."""
        for name, text in FILTERS.items():
            parser.add_argument(f"--{name}", default="", help=text)
        parser.add_argument("--format", choices=FORMATS, default="text", help="default: text")
        parser.add_argument("--output", type=Path, help="write to this file")

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Fetch the timeline, then print it or write it to a file."""
        filters = {name: getattr(options, name) for name in FILTERS if getattr(options, name)}
        result = client.get(f"timeline?{urlencode(filters)}")
        if not is_successful(result):
            return self.print_answer(options, result)
        timeline = msgspec.json.decode(result.unwrap().body, type=_Timeline)
        text = _render(timeline, "json" if options.json else options.format)
        if options.output is not None:
            options.output.write_text(text + "\n")
        else:
            print(text)
        return EXIT_OK


def _render(timeline: _Timeline, form: str) -> str:
    match form:
        case "json":
            items: list[Event | EventGap] = [*timeline.events, *timeline.gaps]
            return "\n".join(msgspec.json.encode(item).decode() for item in items)
        case "svg":
            return draw_timeline(timeline.events, timeline.gaps)
        case _:
            lines = [_event_line(event) for event in timeline.events]
            return "\n".join(lines + [_gap_line(gap) for gap in timeline.gaps])


def _event_line(event: Event) -> str:
    numbers = {"group": event.group, "generation": event.generation, "epoch": event.epoch}
    labels = " ".join(f"{name}={value}" for name, value in numbers.items() if value)
    return (
        f"{event.at:.3f}.{event.counter:<3} {event.node:14} {event.name:24}"
        f" {event.subject} {event.request} {event.detail} {labels}"
    ).rstrip()


def _gap_line(gap: EventGap) -> str:
    if gap.is_unreachable:
        return f"# no events from {gap.node}: it could not be reached"
    return f"# {gap.dropped} earlier events of {gap.node} are no longer kept"
