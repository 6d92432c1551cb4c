"""``jaylatch drain``."""

from argparse import ArgumentParser, Namespace

import msgspec

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_core.enums import DrainScope


class Command(BaseCommand):
    """Starts a planned stop: no new work, and nothing in flight is cut."""

    help = "start a planned stop of an instance, a group or a failure domain"
    is_draining = True

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add what is to be stopped."""
        parser.add_argument("scope", choices=[scope.value for scope in DrainScope])
        parser.add_argument("subject", help="its id")

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Send the command."""
        body = msgspec.json.encode(
            {
                "scope": options.scope,
                "subject": options.subject,
                "is_draining": self.is_draining,
            }
        )
        return self.print_answer(options, client.put("drains", body))
