"""``jaylatchd``: runs one jaylatch process until it gets SIGTERM or SIGINT."""

import signal
import sys
from argparse import ArgumentParser
from asyncio import Event, get_running_loop, run
from pathlib import Path

from returns.pipeline import is_successful

from jaylatch_core.checks import Level, run_checks
from jaylatch_core.exceptions import JaylatchError
from jaylatch_core.findings import format_finding
from jaylatch_core.settings import NodeSettings, load_settings
from jaylatch_node.observability import configure_logs
from jaylatch_node.process import Process

EXIT_SETTINGS = 2
EXIT_STORAGE = 3


def main() -> int:
    """Parse the command line and run the daemon; returns the exit code."""
    parser = ArgumentParser(prog="jaylatchd", description="Run one jaylatch process.")
    parser.add_argument("--config", type=Path, help="settings file (TOML); default: one process")
    parser.add_argument("--check", action="store_true", help="only check the settings")
    options = parser.parse_args()
    settings = NodeSettings()
    if options.config is not None:
        loaded = load_settings(options.config)
        if not is_successful(loaded):
            print(loaded.failure().detail, file=sys.stderr)
            return EXIT_SETTINGS
        settings = loaded.unwrap()
    if not _report_checks(settings):
        return EXIT_SETTINGS
    if options.check:
        return 0
    configure_logs(settings.log, settings.instance)
    try:
        run(_serve(settings))
    except JaylatchError as error:
        print(error.failure.detail, file=sys.stderr)
        return EXIT_STORAGE
    return 0


def _report_checks(settings: NodeSettings) -> bool:
    """Print the findings of the checks; returns whether the process may start."""
    messages = run_checks(settings)
    for message in messages:
        print(format_finding(message), file=sys.stderr)
    return all(message.level < Level.ERROR for message in messages)


async def _serve(settings: NodeSettings) -> None:
    stopped = Event()
    loop = get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    process = Process(settings)
    process.start()
    await stopped.wait()
    process.stop()


if __name__ == "__main__":
    sys.exit(main())
