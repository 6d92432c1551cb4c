"""``jaylatch config``."""

import sys
from argparse import ArgumentParser, Namespace
from datetime import UTC, datetime
from pathlib import Path

from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK, EXIT_USAGE, lagging_holders
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_core.configuration import parse_configuration


class Command(BaseCommand):
    """Shows, checks, replaces and compares the configuration."""

    help = "show, check or apply the configuration, or show its history"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the action and its arguments."""
        actions = ["show", "check", "apply", "history", "diff"]
        parser.add_argument("action", choices=actions)
        parser.add_argument(
            "arguments",
            nargs="*",
            help="check, apply: a TOML file; show: a generation; diff: two generations",
        )
        parser.add_argument("--expected", type=int, help="generation that the change is based on")
        parser.add_argument(
            "--command-id",
            default="",
            help="id of the command; a resend with the same id has no further effect",
        )
        self.add_wait_arguments(parser)

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Run the action."""
        match options.action, options.arguments:
            case "show", [] | [_]:
                return self._show(client, options)
            case "check", [path]:
                return self._check(options, Path(path))
            case "apply", [path]:
                return self._apply(client, options, Path(path))
            case "history", []:
                return self._history(client, options)
            case "diff", [old, new]:
                return self._diff(client, options, old, new)
            case _:
                print(
                    f"config {options.action}: wrong arguments; see jaylatch config --help",
                    file=sys.stderr,
                )
                return EXIT_USAGE

    def _show(self, client: AdministrationClient, options: Namespace) -> int:
        result = client.get("/".join(["configuration", *options.arguments]))
        if not is_successful(result):
            return self.print_failure(options, result.failure())
        answer = result.unwrap()
        print(f"# generation {answer.generation}")
        print(answer.body.decode(), end="")
        return EXIT_OK

    def _check(self, options: Namespace, path: Path) -> int:
        document = _read(path)
        if document is None:
            return EXIT_USAGE
        parsed = parse_configuration(document)
        if not is_successful(parsed):
            return self.print_failure(options, parsed.failure())
        print("the configuration is valid")
        return EXIT_OK

    def _apply(self, client: AdministrationClient, options: Namespace, path: Path) -> int:
        document = _read(path)
        if document is None:
            return EXIT_USAGE
        expected = options.expected
        if expected is None:
            expected = client.get("configuration").map(lambda answer: answer.generation).value_or(0)
        result = client.put("configuration", document, expected, options.command_id)
        code = self.print_answer(options, result)
        if code != EXIT_OK or not options.wait:
            return code
        generation = result.unwrap().json()["generation"]
        return self.wait_until_done(
            client,
            options,
            "status",
            lambda status: lagging_holders(status, generation, "configuration"),
        )

    def _history(self, client: AdministrationClient, options: Namespace) -> int:
        result = client.get("configuration/history")
        if options.json or not is_successful(result):
            return self.print_answer(options, result)
        self.print_table(
            ("GENERATION", "OPERATOR", "AT", "COMMAND"),
            [
                (
                    record["generation"],
                    record["operator"],
                    datetime.fromtimestamp(record["at"], UTC).isoformat(timespec="seconds"),
                    record["command"],
                )
                for record in result.unwrap().json()
            ],
        )
        return EXIT_OK

    def _diff(self, client: AdministrationClient, options: Namespace, old: str, new: str) -> int:
        result = client.get(f"configuration/{old}/diff/{new}")
        if options.json or not is_successful(result):
            return self.print_answer(options, result)
        print(result.unwrap().json()["diff"], end="")
        return EXIT_OK


def _read(path: Path) -> bytes | None:
    try:
        return path.read_bytes()
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
        return None
