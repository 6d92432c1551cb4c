"""``jaylatch status``."""

from argparse import Namespace

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import Command as BaseCommand


class Command(BaseCommand):
    """Shows the state as the control leader knows it."""

    help = "show configuration, preset, nodes and groups"

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Print the status report."""
        return self.print_answer(options, client.get("status"))
