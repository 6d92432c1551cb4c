"""``jaylatch checks``."""

from argparse import Namespace

from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK
from jaylatch_cli.management.base import Command as BaseCommand


class Command(BaseCommand):
    """Shows the findings of the checks on the entry's settings."""

    help = "show the findings of the settings checks"

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Print one line for each finding."""
        result = client.get("checks")
        if options.json or not is_successful(result):
            return self.print_answer(options, result)
        self.print_table(
            ("LEVEL", "ID", "SUBJECT", "TEXT", "HINT"),
            [tuple(finding.values()) for finding in result.unwrap().json()],
        )
        return EXIT_OK
