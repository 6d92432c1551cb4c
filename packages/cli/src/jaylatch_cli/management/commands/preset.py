"""``jaylatch preset``."""

from argparse import ArgumentParser, Namespace
from typing import Any

import msgspec
from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK, lagging_holders
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_core.enums import Preset


class Command(BaseCommand):
    """Shows the preset in force, or switches to another one."""

    help = "show or set the preset"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the preset's name."""
        names = [preset.value for preset in Preset]
        parser.add_argument("name", nargs="?", choices=names, help="switch to this preset")
        parser.add_argument("--expected", type=int, help="preset generation to switch from")
        parser.add_argument(
            "--command-id",
            default="",
            help="id of the command; a resend with the same id has no further effect",
        )
        self.add_wait_arguments(parser)

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Print the preset, or start the switch."""
        current = client.get("preset")
        if not is_successful(current):
            return self.print_failure(options, current.failure())
        preset = current.unwrap().json()
        if options.name is None:
            self.print_value(options, preset)
            return EXIT_OK
        latest = max(preset["generation"], preset["prepared_generation"])
        expected = latest if options.expected is None else options.expected
        body = msgspec.json.encode({"preset": options.name})
        result = client.put("preset", body, expected, options.command_id)
        code = self.print_answer(options, result)
        if code != EXIT_OK or not options.wait:
            return code
        generation = result.unwrap().json()["generation"]
        return self.wait_until_done(
            client, options, "status", lambda status: _list_missing(status, generation)
        )


def _list_missing(status: Any, generation: int) -> list[str]:
    lagging = lagging_holders(status, generation, "preset")
    if not lagging and status["preset"]["generation"] < generation:
        return ["the end of the switch"]
    return lagging
