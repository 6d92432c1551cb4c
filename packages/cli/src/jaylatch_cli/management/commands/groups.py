"""``jaylatch groups``."""

from argparse import Namespace

from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK
from jaylatch_cli.management.base import Command as BaseCommand


class Command(BaseCommand):
    """Shows the replica groups."""

    help = "show the replica groups"

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Print one line for each group."""
        result = client.get("groups")
        if options.json or not is_successful(result):
            return self.print_answer(options, result)
        self.print_table(
            ("GROUP", "EPOCH", "MODEL", "HEAD", "OTHER MEMBERS"),
            [
                (
                    group["id"],
                    group["epoch"],
                    group["model"],
                    group["members"][0],
                    " ".join(group["members"][1:]),
                )
                for group in result.unwrap().json()
            ],
        )
        return EXIT_OK
