"""``jaylatch timeline``."""

from argparse import ArgumentParser, Namespace

import msgspec
from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_core.events import Event


class _Timeline(msgspec.Struct):
    events: list[Event]
    unreachable: list[str]


class Command(BaseCommand):
    """Shows the recent events of all processes in causal order."""

    help = "show the merged events of all processes"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the filters."""
        parser.add_argument("--request", default="", help="only events of this request id")
        parser.add_argument("--node", default="", help="only events of this instance")

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Gather, filter and print."""
        result = client.get("timeline")
        if not is_successful(result):
            return self.print_answer(options, result)
        timeline = msgspec.json.decode(result.unwrap().body, type=_Timeline)
        for event in timeline.events:
            is_wanted = options.request in ("", event.request) and options.node in ("", event.node)
            if is_wanted:
                print(msgspec.json.encode(event).decode() if options.json else _line(event))
        for node in timeline.unreachable:
            print(f"# no events from {node}: it could not be reached")
        return 0


def _line(event: Event) -> str:
    return (
        f"{event.at:.3f}.{event.counter:<3} {event.node:14} {event.name:24}"
        f" {event.subject} {event.request} {event.detail}"
    )
