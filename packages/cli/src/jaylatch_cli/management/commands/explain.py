"""``jaylatch explain``."""

import sys
from argparse import ArgumentParser, Namespace

import msgspec
from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.log_lines import LogLine, read_lines
from jaylatch_cli.management.base import EXIT_OK, EXIT_REFUSED
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_cli.story import Story, describe, tell_story


class Command(BaseCommand):
    """Tells from the logs what happened to a request, and why."""

    help = "tell the story of a request from the logs of all processes"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the request and the places of the logs."""
        parser.add_argument("request", help="the request's id")
        self.add_logs_argument(parser)

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Read the lines, then print the story as text or JSON."""
        result = read_lines(options.logs)
        if not is_successful(result):
            return self.print_failure(options, result.failure())
        story = tell_story(options.request, result.unwrap())
        if story is None:
            print(f"no line names request {options.request}", file=sys.stderr)
            return EXIT_REFUSED
        print(msgspec.json.encode(story).decode() if options.json else _render(story))
        return EXIT_OK


def _render(story: Story) -> str:
    lines = [f"request {story.request}: {story.cause}", ""]
    lines += [_render_line(line) for line in story.lines]
    if story.beliefs:
        lines += ["", "what the processes came to believe about that time"]
        lines += [_render_line(line) for line in story.beliefs]
    return "\n".join(lines)


def _render_line(line: LogLine) -> str:
    return f"{line.at}  {line.instance}  {describe(line.record)}"
