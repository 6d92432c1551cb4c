"""``jaylatch explain``."""

import sys
from argparse import ArgumentParser, Namespace

import msgspec
from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.log_lines import LogLine, read_lines
from jaylatch_cli.management.base import EXIT_OK, EXIT_REFUSED
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_cli.request_trace import RequestTrace, describe, trace_request


class Command(BaseCommand):
    """Explains what happened to a request, from the logs."""

    help = "explain what happened to a request, from the logs of all processes"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the request and the sources of the logs."""
        parser.add_argument("request", help="the request's id")
        self.add_logs_argument(parser)

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Read the lines, then print the request trace as text or JSON."""
        result = read_lines(options.logs)
        if not is_successful(result):
            return self.print_failure(options, result.failure())
        trace = trace_request(options.request, result.unwrap())
        if trace is None:
            print(f"no line names request {options.request}", file=sys.stderr)
            return EXIT_REFUSED
        print(msgspec.json.encode(trace).decode() if options.json else _render(trace))
        return EXIT_OK


def _render(trace: RequestTrace) -> str:
    lines = [f"request {trace.request}: {trace.cause}", ""]
    lines += [_render_line(line) for line in trace.lines]
    if trace.beliefs:
        lines += ["", "related records of that time"]
        lines += [_render_line(line) for line in trace.beliefs]
    return "\n".join(lines)


def _render_line(line: LogLine) -> str:
    return f"{line.at}  {line.instance}  {describe(line.record)}"
