"""``jaylatch status``."""

from argparse import Namespace
from datetime import UTC, datetime
from typing import Any

from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.management.base import EXIT_OK
from jaylatch_cli.management.base import Command as BaseCommand


class Command(BaseCommand):
    """Shows the state of the deployment as known to the control leader."""

    help = "show leader, configuration, preset, drains and nodes"

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Print the status report."""
        result = client.get("status")
        if options.json or not is_successful(result):
            return self.print_answer(options, result)
        status = result.unwrap().json()
        self._print_summary(status)
        self.print_table(
            ("INSTANCE", "ROLES", "DOMAIN", "CONFIGURATION", "PRESET", "LEASE", "SERVES"),
            [_row(node) for node in sorted(status["nodes"], key=lambda node: node["instance"])],
        )
        return EXIT_OK

    def _print_summary(self, status: Any) -> None:
        preset = status["preset"]
        switch = f", switching to {preset['prepared']}" if preset["prepared_generation"] else ""
        print(f"leader         {status['leader']}")
        print(f"configuration  generation {status['generation']}")
        print(f"preset         {preset['preset']} (generation {preset['generation']}){switch}")
        print(f"groups         {len(status['groups'])}")
        print(f"drains         {', '.join(status['drained']) or 'none'}")
        for evacuation in status["evacuations"]:
            print(f"evacuation     {_describe(evacuation)}")
        print(f"not in force   {', '.join(status['not_in_force']) or 'none'}")
        print(f"group downtime {status['group_downtime']:.1f} s")
        print(f"stranded       {status['stranded_seconds']:.1f} accelerator seconds")


def _describe(evacuation: Any) -> str:
    """Return the domain, who evacuates it since when, and what is under way there."""
    ordered_at = datetime.fromtimestamp(evacuation["ordered_at"], UTC).isoformat(" ", "seconds")
    in_force_at = evacuation["in_force_at"]
    force = "not in force yet"
    if in_force_at is not None:
        force = f"in force since {datetime.fromtimestamp(in_force_at, UTC):%H:%M:%S}"
    text = f"{evacuation['domain']}, ordered {ordered_at} by {evacuation['operator'] or 'unknown'}"
    holding = ", ".join(evacuation["holding"]) or "none"
    working = ", ".join(evacuation["working"]) or "none"
    return f"{text}, {force}; groups that go on: {holding}; heads at work: {working}"


def _row(node: Any) -> tuple[Any, ...]:
    member = node["member"]
    serves = "" if member is None else "yes" if member["is_serving"] else "no"
    return (
        node["instance"],
        ",".join(node["roles"]),
        node["failure_domain"],
        node["configuration"],
        node["preset"],
        f"{node['lease_left']:.1f} s",
        serves,
    )
