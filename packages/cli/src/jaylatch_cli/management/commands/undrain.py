"""``jaylatch undrain``."""

from jaylatch_cli.management.commands.drain import Command as DrainCommand


class Command(DrainCommand):
    """Ends a drain."""

    help = "end a drain"
    is_draining = False
