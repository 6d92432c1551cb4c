"""``jaylatch logs``."""

from argparse import ArgumentParser, Namespace
from collections import Counter

import msgspec
from returns.pipeline import is_successful

from jaylatch_cli.client import AdministrationClient
from jaylatch_cli.log_lines import LogLine, read_lines
from jaylatch_cli.management.base import EXIT_OK
from jaylatch_cli.management.base import Command as BaseCommand
from jaylatch_core.log_records import (
    AttemptEnded,
    LinesSuppressed,
    RequestEnded,
    RequestRefused,
    SupplyChanged,
)


class Summary(msgspec.Struct):
    """Number of occurrences of each refusal, outcome, failed attempt and suppressed record.

    ``refused_models`` counts the refusals of each model, ``supply_changes`` how often a model's
    supply of groups became the named one.
    """

    refusals: Counter[str]
    refused_models: Counter[str]
    outcomes: Counter[str]
    failed_attempts: Counter[str]
    supply_changes: Counter[str]
    suppressed: Counter[str]


class Command(BaseCommand):
    """Counts refusals, outcomes and failed attempts in the logs of all processes."""

    help = "summarise the logs of all processes"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the action and the sources of the logs."""
        parser.add_argument("action", choices=("summary",))
        self.add_logs_argument(parser)

    def handle(self, client: AdministrationClient, options: Namespace) -> int:
        """Read the lines, then print the counts as text or JSON."""
        result = read_lines(options.logs)
        if not is_successful(result):
            return self.print_failure(options, result.failure())
        summary = summarise(result.unwrap())
        print(msgspec.json.encode(summary).decode() if options.json else _render(summary))
        return EXIT_OK


def summarise(lines: list[LogLine]) -> Summary:
    """Return the counts of ``lines``: refusals by kind, reason and route, attempts by target."""
    summary = Summary(*(Counter() for _ in Summary.__struct_fields__))
    for line in lines:
        match line.record:
            case RequestRefused(kind=kind, reason=reason, route=route, model=model):
                summary.refusals[f"{kind}: {reason} ({route or 'no route'})"] += 1
                if model:
                    summary.refused_models[model] += 1
            case RequestEnded(outcome=outcome, route=route):
                summary.outcomes[f"{outcome} ({route})"] += 1
            case AttemptEnded(outcome=outcome, target=target):
                summary.failed_attempts[f"{outcome} at {target}"] += 1
            case SupplyChanged(model=model, groups=groups, broken=broken):
                summary.supply_changes[
                    f"{model}: {groups - broken} of {groups} groups complete"
                ] += 1
            case LinesSuppressed(record=record, count=count, reason=reason):
                summary.suppressed[f"{record or 'any kind'}: {reason}"] += count
    return summary


def _render(summary: Summary) -> str:
    blocks = []
    for title in summary.__struct_fields__:
        counts: Counter[str] = getattr(summary, title)
        rows = [f"{count:8d}  {name}" for name, count in counts.most_common()]
        blocks.append("\n".join([title.replace("_", " "), *(rows or ["       0"])]))
    return "\n\n".join(blocks)
