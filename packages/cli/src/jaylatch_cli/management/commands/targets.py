"""``jaylatch targets``."""

from argparse import Namespace
from typing import Any

from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK
from jaylatch_cli.management.base import Command as BaseCommand


class Command(BaseCommand):
    """Shows the target of each agent, if it has announced itself."""

    help = "show the targets"

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Print one line for each agent."""
        result = client.get("targets")
        if options.json or not is_successful(result):
            return self.print_answer(options, result)
        nodes = sorted(result.unwrap().json(), key=lambda node: node["instance"])
        self.print_table(
            ("INSTANCE", "DOMAIN", "TARGET", "KIND", "HEALTHY", "GROUP", "EPOCH", "IN FLIGHT"),
            [_row(node, node["member"]) for node in nodes],
        )
        return EXIT_OK


def _row(node: Any, member: Any) -> tuple[Any, ...]:
    announcement = member["announcement"] or {"target": "", "kind": ""}
    return (
        node["instance"],
        node["failure_domain"],
        announcement["target"],
        announcement["kind"],
        "yes" if member["is_target_healthy"] else "no",
        member["group"],
        member["epoch"],
        member["in_flight"],
    )
