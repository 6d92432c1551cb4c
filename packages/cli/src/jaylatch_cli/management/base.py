"""Base of all commands."""

import sys
from argparse import ArgumentParser, Namespace
from typing import Any

import msgspec
from returns.result import Result

from jaylatch_cli.client import AdministrationClient, Answer
from jaylatch_core.exceptions import Failure

EXIT_OK = 0
EXIT_REFUSED = 1


class Command:
    """One command of ``jaylatch``. ``help`` is its line in the list of commands."""

    help = ""

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the command's own arguments to ``parser``."""

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Carry out the command and return the exit code."""
        raise NotImplementedError

    def print_answer(self, options: Namespace, result: Result[Answer, Failure]) -> int:
        """Print an answer as JSON or for people, or the failure; returns the exit code."""
        match result.swap().value_or(None):
            case Failure(detail):
                print(f"refused: {detail}", file=sys.stderr)
                return EXIT_REFUSED
            case _:
                self.print_value(options, result.unwrap().json())
                return EXIT_OK

    def print_value(self, options: Namespace, value: Any) -> None:
        """Print a parsed answer."""
        if options.json:
            print(msgspec.json.encode(value).decode())
        else:
            print(msgspec.json.format(msgspec.json.encode(value)).decode())
