"""``jaylatch drain``."""

from argparse import ArgumentParser, Namespace
from typing import Any

import msgspec

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_core.enums import DrainScope


class Command(BaseCommand):
    """Starts a drain: no new work is accepted and work in flight is not interrupted."""

    help = "drain an instance, a group or a failure domain"
    is_draining = True

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the scope and the id of the instance, group or failure domain."""
        parser.add_argument("scope", choices=[scope.value for scope in DrainScope])
        parser.add_argument("subject", help="id of the instance, group or failure domain")
        parser.add_argument(
            "--command-id",
            default="",
            help="id of the command; a resend with the same id has no further effect",
        )
        self.add_wait_arguments(parser)

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Send the command."""
        body = msgspec.json.encode(
            {
                "scope": options.scope,
                "subject": options.subject,
                "is_draining": self.is_draining,
            }
        )
        code = self.print_answer(options, client.put("drains", body, 0, options.command_id))
        if code != EXIT_OK or not options.wait:
            return code
        return self.wait_until_done(
            client, options, "drains", lambda drains: self._list_missing(options, drains)
        )

    def _list_missing(self, options: Namespace, drains: Any) -> list[str]:
        wanted = (options.scope, options.subject)
        for drain in drains:
            if (drain["scope"], drain["subject"]) == wanted and not drain["is_done"]:
                return drain["waiting_for"] or ["lease holders that the leader does not know yet"]
        return []
