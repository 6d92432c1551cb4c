"""Entry point of ``jaylatch``: dispatches to the module of the command."""

import os
import sys
from argparse import ArgumentParser
from importlib import import_module
from pkgutil import iter_modules

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management import commands
from jaylatch_cli.management.base import Command

DEFAULT_ADDRESS = "127.0.0.1:8080"


def load_commands() -> dict[str, Command]:
    """Return all commands by name."""
    names = [module.name for module in iter_modules(commands.__path__)]
    return {
        name: import_module(f"jaylatch_cli.management.commands.{name}").Command() for name in names
    }


def main() -> int:
    """Parse the command line, run the command and return its exit code."""
    parser = ArgumentParser(prog="jaylatch", description="Operate a jaylatch deployment.")
    parser.add_argument("--address", default=os.environ.get("JAYLATCH_ADDRESS", DEFAULT_ADDRESS))
    parser.add_argument("--token", default=os.environ.get("JAYLATCH_TOKEN", ""))
    parser.add_argument("--json", action="store_true", help="print JSON for scripts")
    subparsers = parser.add_subparsers(dest="command", required=True)
    known = load_commands()
    for name, command in known.items():
        command.add_arguments(subparsers.add_parser(name, help=command.help))
    options = parser.parse_args()
    client = AdministrationClient(options.address, options.token)
    return known[options.command].handle(client, options)


if __name__ == "__main__":
    sys.exit(main())
