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

DEFAULT_WAIT = 60.0
POLL_INTERVAL = 0.1

Progress = Callable[[Any], list[str]]
"""Returns what a parsed answer still waits for."""


class Command:
    """One command of ``jaylatch``. ``help`` is its line in the list of commands."""

    help = ""

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the command's own arguments to ``parser``."""

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Carry out the command and return the exit code."""
        raise NotImplementedError

    def add_wait_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments of a command that can wait for its effect."""
        parser.add_argument("--wait", action="store_true", help="return when it is in force")
        parser.add_argument(
            "--timeout", type=float, default=DEFAULT_WAIT, help="seconds to wait at most"
        )

    def add_logs_argument(self, parser: ArgumentParser) -> None:
        """Add the places of the logs that the command reads."""
        parser.add_argument(
            "--logs",
            action="append",
            help="a file, a folder or - for standard input; may be given again (default: -)",
        )

    def print_answer(self, options: Namespace, result: Result[Answer, Failure]) -> int:
        """Print an answer as JSON or for people, or the failure; returns the exit code."""
        if not is_successful(result):
            return self.print_failure(options, result.failure())
        self.print_value(options, result.unwrap().json())
        return EXIT_OK

    def print_failure(self, options: Namespace, failure: Failure) -> int:
        """Print a failure and return the exit code that its type calls for."""
        won = f" (won: {failure.won})" if isinstance(failure, GenerationConflict) else ""
        if options.json:
            print(msgspec.json.encode(failure).decode(), file=sys.stderr)
        else:
            print(f"refused: {failure.detail}{won}", file=sys.stderr)
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
        """Print a parsed answer."""
        if options.json:
            print(msgspec.json.encode(value).decode())
        else:
            print(msgspec.json.format(msgspec.json.encode(value)).decode())

    def print_table(self, headings: tuple[str, ...], rows: Iterable[tuple[Any, ...]]) -> None:
        """Print rows for people, in columns under ``headings``."""
        lines = [headings, *(tuple(str(cell) for cell in row) for row in rows)]
        widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
        for line in lines:
            cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
            print("  ".join(cells).rstrip())

    def wait_until_done(
        self, client: AdministrationClient, options: Namespace, path: str, progress: Progress
    ) -> int:
        """Poll ``path`` until ``progress`` names nothing; otherwise say what is missing."""
        deadline = monotonic() + options.timeout
        missing = ["an answer"]
        while monotonic() < deadline:
            result = client.get(path)
            missing = progress(result.unwrap().json()) if is_successful(result) else ["an answer"]
            if not missing:
                print("in force everywhere", file=sys.stderr)
                return EXIT_OK
            sleep(POLL_INTERVAL)
        names = ", ".join(missing)
        print(f"not in force within {options.timeout:g} s; waits for: {names}", file=sys.stderr)
        return EXIT_NOT_IN_FORCE


def nodes_behind(status: Any, generation: int, kind: str) -> list[str]:
    """Return the lease holders that have not acknowledged ``generation`` of ``kind``.

    ``kind`` is ``configuration`` or ``preset``.
    """
    behind = [node["instance"] for node in status["nodes"] if node[kind] < generation]
    if not behind and not status["knows_all_holders"]:
        return ["holders that the new control leader does not know yet"]
    return behind
