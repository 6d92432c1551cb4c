"""``jaylatch preset``."""

from argparse import ArgumentParser, Namespace

import msgspec
from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_core.enums import Preset


class Command(BaseCommand):
    """Shows the preset in force or switches to another."""

    help = "show or set the preset"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the preset's name."""
        names = [preset.value for preset in Preset]
        parser.add_argument("name", nargs="?", choices=names, help="switch to this preset")
        parser.add_argument("--expected", type=int, help="preset generation to switch from")

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Print the preset, or begin the switch."""
        status = client.get("status")
        if not is_successful(status):
            return self.print_answer(options, status)
        preset = status.unwrap().json()["preset"]
        if options.name is None:
            self.print_value(options, preset)
            return 0
        latest = max(preset["generation"], preset["prepared_generation"])
        expected = latest if options.expected is None else options.expected
        body = msgspec.json.encode({"preset": options.name})
        return self.print_answer(options, client.put("preset", body, expected))
