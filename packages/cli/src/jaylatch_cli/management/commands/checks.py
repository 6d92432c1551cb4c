"""``jaylatch checks``."""

import sys
from argparse import ArgumentParser, Namespace
from pathlib import Path

import msgspec
from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK, EXIT_REFUSED
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_core.checks import CheckMessage, Level, run_checks
from jaylatch_core.configuration import parse_configuration
from jaylatch_core.findings import error, format_finding
from jaylatch_core.settings import load_settings

UNREADABLE = "documents.E000"


class Command(BaseCommand):
    """Checks local files without a running deployment or, if none is given, an entry's settings."""

    help = "check settings files and configuration documents, or the settings of an entry"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the options for the files."""
        parser.add_argument(
            "--settings", nargs="*", default=[], type=Path, help="settings files of a daemon"
        )
        parser.add_argument("--configuration", nargs="*", default=[], type=Path, help="documents")

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Print the findings; exits with 1 if one of them is an error."""
        if not options.settings and not options.configuration:
            return self._check_entry(client, options)
        findings = [item for path in options.settings for item in _check_settings(path)]
        findings += [item for path in options.configuration for item in _check_configuration(path)]
        for item in findings:
            text = msgspec.json.encode(item).decode() if options.json else format_finding(item)
            print(text, file=sys.stdout if options.json else sys.stderr)
        is_refused = any(item.level >= Level.ERROR for item in findings)
        return EXIT_REFUSED if is_refused else EXIT_OK

    def _check_entry(self, client: AdministrationClient, options: Namespace) -> int:
        """Print the findings on the settings of the entry."""
        result = client.get("checks")
        if options.json or not is_successful(result):
            return self.print_answer(options, result)
        self.print_table(
            ("LEVEL", "ID", "SUBJECT", "TEXT", "HINT"),
            [tuple(finding.values()) for finding in result.unwrap().json()],
        )
        return EXIT_OK


def _check_settings(path: Path) -> list[CheckMessage]:
    loaded = load_settings(path)
    if is_successful(loaded):
        return run_checks(loaded.unwrap())
    failure = loaded.failure()
    return list(failure.findings) or [_unreadable(path, failure.detail)]


def _check_configuration(path: Path) -> list[CheckMessage]:
    try:
        document = path.read_bytes()
    except OSError as fault:
        return [_unreadable(path, str(fault))]
    parsed = parse_configuration(document)
    return [] if is_successful(parsed) else list(parsed.failure().findings)


def _unreadable(path: Path, text: str) -> CheckMessage:
    return error(UNREADABLE, str(path), text, "give the path of a readable file")
