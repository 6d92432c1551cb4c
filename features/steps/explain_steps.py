"""Steps on request traces and log summaries from the command line."""

import subprocess
import sys

from behave import given, then, use_step_matcher, when
from behave.runner import Context

from jaylatch_cli.log_lines import LogLine
from jaylatch_cli.management.commands.logs import summarise
from jaylatch_cli.request_trace import trace_request
from jaylatch_core.log_records import (
    AttemptEnded,
    LogRecord,
    RequestEnded,
    RequestPlaced,
    RequestRefused,
    SupplyChanged,
    TargetProbed,
)

use_step_matcher("re")


def run(context: Context, *arguments: str) -> None:
    command = [sys.executable, "-m", "jaylatch_cli.main", *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    context.code, context.output = completed.returncode, completed.stdout + completed.stderr


@when(r'jaylatch explains request (?P<request>\w+) from "(?P<path>[^"]*)"')
def step_explain(context: Context, request: str, path: str) -> None:
    run(context, "explain", request, "--logs", path)


@when(r'jaylatch summarises the logs of "(?P<path>[^"]*)"')
def step_summarise(context: Context, path: str) -> None:
    run(context, "logs", "summary", "--logs", path)


@then(r'it exits with (?P<code>\d) and prints "(?P<text>[^"]*)"')
def step_exits(context: Context, code: str, text: str) -> None:
    assert context.code == int(code), (context.code, context.output)
    assert text in context.output, context.output


@then(r'it also prints "(?P<text>[^"]*)"')
def step_shows(context: Context, text: str) -> None:
    assert text in context.output, context.output


def make_record(text: str) -> LogRecord:
    kind, _, detail = text.partition(":")
    match kind:
        case "P":
            return RequestPlaced(
                request="r",
                route="route",
                target="t",
                send=1,
                load=0.5,
                report_age_ms=0,
                candidates=1,
                view=1,
                time_left_ms=1000,
            )
        case "B":
            return AttemptEnded(
                request="r", target="t", outcome="broken", step="again", sends=1, budget=1.0
            )
        case "L":
            return TargetProbed(target="t", outcome="lost")
        case "R":
            return RequestRefused(
                request="r",
                route="route",
                kind="not_run",
                reason=detail.replace("_", " "),
                retry_after=0.5,
                lease_left=1.0,
            )
        case "K":
            return RequestRefused(
                request="r",
                route="route",
                kind="not_run",
                reason=detail,
                retry_after=0.5,
                lease_left=1.0,
                load=1.04,
                candidates=3,
                rank=2,
            )
        case "E":
            return RequestEnded(
                request="r", route="route", outcome=detail, target="t", sends=1, ms=5, first_ms=2
            )
    raise AssertionError(text)


@given(r'log lines of request r: "(?P<lines>[^"]*)"')
def step_lines(context: Context, lines: str) -> None:
    texts = (
        lines.replace("R:no ", "R:no_")
        .replace("R:at ", "R:at_")
        .replace("_valid ", "_valid_")
        .split()
    )
    context.lines = [
        LogLine(f"2026-01-01 00:00:{number:02d},000", "i", make_record(text))
        for number, text in enumerate(texts)
    ]


@then(r'its trace concludes "(?P<conclusion>[^"]*)"')
def step_conclusion(context: Context, conclusion: str) -> None:
    trace = trace_request("r", context.lines)
    assert trace is not None and trace.cause == conclusion, trace


@given(r'a refusal for model (?P<model>\w+), after supply lines "(?P<supply>[^"]*)"')
def step_supply_lines(context: Context, model: str, supply: str) -> None:
    words = supply.split()
    records: list[LogRecord] = []
    for name, counts in zip(words[::2], words[1::2], strict=True):
        groups, broken = counts.split("/")
        records.append(
            SupplyChanged(model=name, groups=int(groups), broken=int(broken), free=0, loading=0)
        )
    refusal = RequestRefused(
        request="r",
        route="route",
        kind="not_run",
        reason="full",
        retry_after=0.4,
        lease_left=1.0,
        model=model,
    )
    context.lines = [LogLine("", "i", record) for record in [*records, refusal]]


@then(
    r'the summary counts (?P<refusals>\d) refusal for (?P<model>\w+), and "(?P<supply>[^"]*)"'
    r" (?P<times>\d) times"
)
def step_summary(context: Context, refusals: str, model: str, supply: str, times: str) -> None:
    summary = summarise(context.lines)
    assert summary.refused_models == {model: int(refusals)}, summary
    assert summary.supply_changes[supply] == int(times), summary
