"""Base of all commands."""

import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Callable, Iterable
from time import monotonic, sleep
from typing import Any

import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from jaylatch_cli.client import AdministrationClient, Answer
from jaylatch_core.exceptions import Failure, GenerationConflict, LogsUnreadable, Unavailable

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_NOT_IN_FORCE = 5

DEFAULT_WAIT_TIMEOUT = 60.0
"""Seconds."""
POLL_INTERVAL = 0.1
"""Seconds between two polls of a command that waits."""

ListMissing = Callable[[Any], list[str]]
"""Takes a parsed answer; returns the names of what is still missing."""


class Command:
    """Base class of a command; ``help`` is its line in the list of commands."""

    help = ""

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the command's own arguments to ``parser``."""

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Run the command and return the exit code."""
        raise NotImplementedError

    def add_wait_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments of a command that can wait for its effect."""
        parser.add_argument(
            "--wait", action="store_true", help="return when the change is in force"
        )
        parser.add_argument(
            "--timeout",
            type=float,
            default=DEFAULT_WAIT_TIMEOUT,
            help="longest time to wait, in seconds",
        )

    def add_logs_argument(self, parser: ArgumentParser) -> None:
        """Add the sources of the logs that the command reads."""
        parser.add_argument(
            "--logs",
            action="append",
            help="a file, a folder or - for standard input; may be repeated (default: -)",
        )

    def print_answer(self, options: Namespace, result: Result[Answer, Failure]) -> int:
        """Print an answer, or the failure; return the exit code."""
        if not is_successful(result):
            return self.print_failure(options, result.failure())
        self.print_value(options, result.unwrap().json())
        return EXIT_OK

    def print_failure(self, options: Namespace, failure: Failure) -> int:
        """Print a failure and return the exit code of its type."""
        committed = (
            f" (committed first: {failure.won})" if isinstance(failure, GenerationConflict) else ""
        )
        if options.json:
            print(msgspec.json.encode(failure).decode(), file=sys.stderr)
        else:
            print(f"refused: {failure.detail}{committed}", file=sys.stderr)
        match failure:
            case GenerationConflict():
                return EXIT_CONFLICT
            case Unavailable():
                return EXIT_UNAVAILABLE
            case LogsUnreadable():
                return EXIT_USAGE
            case _:
                return EXIT_REFUSED

    def print_value(self, options: Namespace, value: Any) -> None:
        """Print a parsed answer as JSON, indented unless ``--json`` is set."""
        if options.json:
            print(msgspec.json.encode(value).decode())
        else:
            print(msgspec.json.format(msgspec.json.encode(value)).decode())

    def print_table(self, headings: tuple[str, ...], rows: Iterable[tuple[Any, ...]]) -> None:
        """Print rows as aligned columns under ``headings``."""
        lines = [headings, *(tuple(str(cell) for cell in row) for row in rows)]
        widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
        for line in lines:
            cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
            print("  ".join(cells).rstrip())

    def wait_until_done(
        self, client: AdministrationClient, options: Namespace, path: str, list_missing: ListMissing
    ) -> int:
        """Poll ``path`` until ``list_missing`` returns nothing; print its names on a timeout."""
        deadline = monotonic() + options.timeout
        missing = ["an answer"]
        while monotonic() < deadline:
            result = client.get(path)
            missing = (
                list_missing(result.unwrap().json()) if is_successful(result) else ["an answer"]
            )
            if not missing:
                print("in force everywhere", file=sys.stderr)
                return EXIT_OK
            sleep(POLL_INTERVAL)
        names = ", ".join(missing)
        print(f"not in force within {options.timeout:g} s; waiting for: {names}", file=sys.stderr)
        return EXIT_NOT_IN_FORCE


def lagging_holders(status: Any, generation: int, kind: str) -> list[str]:
    """Return the lease holders that have not acknowledged ``generation`` of ``kind``.

    ``kind`` is ``configuration`` or ``preset``.
    """
    lagging = [node["instance"] for node in status["nodes"] if node[kind] < generation]
    if not lagging and not status["knows_all_holders"]:
        return ["lease holders that the new control leader does not know yet"]
    return lagging
