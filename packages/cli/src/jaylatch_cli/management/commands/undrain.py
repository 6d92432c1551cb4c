"""``jaylatch undrain``."""

from jaylatch_cli.management.commands.drain import Command as DrainCommand


class Command(DrainCommand):
    """Ends a planned stop."""

    help = "end a planned stop"
    is_draining = False
