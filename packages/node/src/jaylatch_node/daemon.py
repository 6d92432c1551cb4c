"""``jaylatchd``: runs one jaylatch process until it gets SIGTERM or SIGINT."""

import signal
import sys
from argparse import ArgumentParser
from asyncio import Event, get_running_loop, run
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from jaylatch_core.checks import Level, run_checks
from jaylatch_core.enums import Role
from jaylatch_core.exceptions import AddressUnusable, JaylatchError
from jaylatch_core.findings import format_finding
from jaylatch_core.settings import NodeSettings, load_settings
from jaylatch_node.observability import configure_logs
from jaylatch_node.process import Process, RoleFactory
from jaylatch_node.role import NodeRole

if TYPE_CHECKING:
    from jaylatch_node.targets.orders import EngineOrderClient

EXIT_SETTINGS = 2
EXIT_STORAGE = 3
EXIT_ADDRESS = 4
MAX_HTTP_REQUESTS = 128
"""Concurrent requests of one HTTP client."""


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
        return exit_code(error)
    return 0


def exit_code(error: JaylatchError) -> int:
    """Return the exit code for ``error``."""
    return EXIT_ADDRESS if isinstance(error.failure, AddressUnusable) else EXIT_STORAGE


def _report_checks(settings: NodeSettings) -> bool:
    """Print the findings of the checks; returns whether the process may start."""
    messages = run_checks(settings)
    for message in messages:
        print(format_finding(message), file=sys.stderr)
    return all(message.level < Level.ERROR for message in messages)


def select_role_factories(settings: NodeSettings) -> list[RoleFactory]:
    """Return the factories of the roles named in ``settings``.

    A role's modules are imported only where the role runs, to save memory elsewhere.
    """
    factories: list[RoleFactory] = []
    if Role.CONTROL in settings.roles:
        factories.append(make_control_role)
    if Role.AGENT in settings.roles:
        factories.append(_make_agent)
    if Role.ENTRY in settings.roles:
        factories.append(_make_entry)
    return factories


def make_control_role(process: Process, engines: "EngineOrderClient | None" = None) -> NodeRole:
    """Return the control role; with ``engines`` its leader sends orders to direct targets."""
    if not process.settings.control.keeps_log:
        from jaylatch_node.control.relay import ControlRelay

        return ControlRelay(process.client)
    from jaylatch_node.control.role import ControlRole

    return ControlRole(process.settings, process.board, process.peers, process.client, engines)


def _make_agent(process: Process) -> NodeRole:
    from jaylatch_node.agent.role import AgentRole

    _configure_http_client()
    return AgentRole(process.settings, process.board, process.peers, process.server)


def _make_entry(process: Process) -> NodeRole:
    from jaylatch_node.entry.role import EntryRole

    _configure_http_client()
    random = Random(process.board.identity.incarnation)
    return EntryRole(process.settings, process.board, process.peers, process.client, random)


def _configure_http_client() -> None:
    from tornado.httpclient import AsyncHTTPClient

    AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=MAX_HTTP_REQUESTS
    )


def handle_stop_signals() -> Event:
    """Return an event that SIGTERM and SIGINT set; call on the running loop."""
    stopped = Event()
    loop = get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


async def _serve(settings: NodeSettings) -> None:
    process = Process(settings, select_role_factories(settings))
    process.start()
    try:
        await handle_stop_signals().wait()
        await process.drain()
    finally:
        process.stop()


if __name__ == "__main__":
    sys.exit(main())
