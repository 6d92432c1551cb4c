"""``jaylatch config``."""

import sys
from argparse import ArgumentParser, Namespace
from pathlib import Path

from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK, EXIT_REFUSED
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_core.configuration import parse_configuration


class Command(BaseCommand):
    """Shows, checks and replaces the configuration."""

    help = "show, check or apply the configuration"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the action and the file."""
        parser.add_argument("action", choices=["show", "check", "apply"])
        parser.add_argument("file", nargs="?", type=Path, help="TOML document")
        parser.add_argument("--expected", type=int, help="generation that the change is based on")
        parser.add_argument("--command-id", default="", help="the same id makes a resend safe")

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Carry out the action."""
        match options.action:
            case "show":
                return self._show(client)
            case "check":
                return self._check(options.file)
            case _:
                return self._apply(client, options)

    def _show(self, client: AdministrationClient) -> int:
        result = client.get("configuration")
        if not is_successful(result):
            print(f"refused: {result.failure().detail}", file=sys.stderr)
            return EXIT_REFUSED
        answer = result.unwrap()
        print(f"# generation {answer.generation}")
        print(answer.body.decode(), end="")
        return EXIT_OK

    def _check(self, path: Path) -> int:
        parsed = parse_configuration(path.read_bytes())
        if is_successful(parsed):
            print("the configuration is valid")
            return EXIT_OK
        print(f"refused: {parsed.failure().detail}", file=sys.stderr)
        return EXIT_REFUSED

    def _apply(self, client: AdministrationClient, options: Namespace) -> int:
        expected = options.expected
        if expected is None:
            expected = client.get("configuration").map(lambda answer: answer.generation).value_or(0)
        document = options.file.read_bytes()
        result = client.put("configuration", document, expected, options.command_id)
        return self.print_answer(options, result)
