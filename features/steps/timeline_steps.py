"""Steps that record, gather and merge events."""

import ast
import subprocess
import sys
from pathlib import Path
from xml.etree import ElementTree

import msgspec
from behave import given, then, when
from behave.runner import Context

from jaylatch_core.event_names import EventName
from jaylatch_core.events import Event, EventFilter, EventGap, EventLog, merge_events
from jaylatch_core.ids import GroupId, RequestId
from jaylatch_standins.cluster import OPERATOR_TOKEN
from jaylatch_standins.deployment import create_operator, read_status, wait_until

PACKAGES = Path(__file__).resolve().parents[2] / "packages"
SVG_NAMESPACE = "{http://www.w3.org/2000/svg}"
WAIT_TIMEOUT = 60.0
"""Seconds."""


@given("process a, whose clock is {a:g} s, and process b, whose clock is {b:g} s")
def step_two_processes(context: Context, a: float, b: float) -> None:
    context.clocks = {"a": a, "b": b}
    context.logs = {name: EventLog(name) for name in context.clocks}


@when('a records "{cause}", its stamp reaches b, and b records "{effect}"')
def step_cause(context: Context, cause: str, effect: str) -> None:
    logs, clocks = context.logs, context.clocks
    logs["a"].record(clocks["a"], cause)
    logs["b"].observe(clocks["b"], *logs["a"].stamp)
    logs["b"].record(clocks["b"], effect)


@then('the merged names are "{names}"')
def step_merged(context: Context, names: str) -> None:
    events = [event for log in reversed(context.logs.values()) for event in log.recent()]
    assert [event.name for event in merge_events(events)] == names.split(), events


@given("an event log of capacity {capacity:d}")
def step_log(context: Context, capacity: int) -> None:
    context.log = EventLog("a", capacity)


@when("{number:d} events are recorded")
def step_record_many(context: Context, number: int) -> None:
    for count in range(number):
        context.log.record(float(count), EventName.GROUP_COMPLETE)


@then("{kept:d} events are kept and {dropped:d} are counted as dropped")
def step_kept(context: Context, kept: int, dropped: int) -> None:
    assert len(context.log.recent()) == kept
    assert context.log.dropped == dropped


@given("events of two requests, two groups and two targets")
def step_events(context: Context) -> None:
    first, second = EventLog("engine-1"), EventLog("engine-2")
    first.record(10.0, "attempt.started", "one", RequestId("r-1"), group=GroupId("g-1"))
    second.record(20.0, "attempt.started", "two", RequestId("r-2"), group=GroupId("g-2"))
    second.record(30.0, "group.broken", "g-2", group=GroupId("g-2"))
    context.events = merge_events([*second.recent(), *first.recent()])


@when("they are filtered by {field} = {value}")
def step_filter(context: Context, field: str, value: str) -> None:
    wanted = msgspec.convert({field: value}, EventFilter, strict=False)
    context.kept = [event.subject for event in context.events if wanted.matches(event)]


@then('the kept subjects are "{subjects}"')
def step_kept_subjects(context: Context, subjects: str) -> None:
    assert context.kept == subjects.split(), context.kept


@then('the kept subjects are ""')
def step_no_subjects(context: Context) -> None:
    assert context.kept == [], context.kept


@then("each name that the packages record is a documented EventName")
def step_documented(context: Context) -> None:
    untyped = [
        f"{path.name}:{call.lineno}"
        for path in PACKAGES.rglob("*.py")
        for call in ast.walk(ast.parse(path.read_text()))
        if _is_record_call(call) and isinstance(call.args[1], ast.Constant | ast.JoinedStr)
    ]
    assert not untyped, f"these calls do not name their event by EventName: {untyped}"
    assert all(name.documentation for name in EventName)


def _is_record_call(node: ast.AST) -> bool:
    if not isinstance(node, ast.Call) or len(node.args) < 2:
        return False
    function = node.func
    return isinstance(function, ast.Attribute) and ast.unparse(function).endswith("events.record")


@when('the instance "{name}" is killed and its lease has lapsed')
def step_kill_instance(context: Context, name: str) -> None:
    context.cluster.kill_instance(name)

    async def has_lapsed() -> bool:
        status = await read_status(context.cluster)
        return bool(status and name in status.get("silent", ()))

    context.runner.run(wait_until(has_lapsed, WAIT_TIMEOUT, "the lease has lapsed"))


def run_timeline(context: Context, *arguments: str) -> str:
    command = [sys.executable, "-m", "jaylatch_cli.main", "--token", OPERATOR_TOKEN]
    command += ["--address", context.cluster.entries[0], "timeline", *arguments]
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=WAIT_TIMEOUT, check=True
    )
    return completed.stdout


def read_json_lines(text: str) -> tuple[list[Event], list[EventGap]]:
    lines = text.splitlines()
    events = [msgspec.json.decode(line, type=Event) for line in lines if '"at"' in line]
    return events, [
        msgspec.json.decode(line, type=EventGap) for line in lines if '"at"' not in line
    ]


@then('the timeline as text shows the request\'s events in the order "{names}"')
def step_text(context: Context, names: str) -> None:
    events, _ = read_json_lines(run_timeline(context, "--format", "json"))
    context.request = next(event.request for event in events if event.request)
    text = run_timeline(context, "--request", context.request)
    found = [line.split()[2] for line in text.splitlines() if not line.startswith("#")]
    assert found == names.split(), text


@then('the timeline as text reports that "{name}" could not be reached')
def step_text_gap(context: Context, name: str) -> None:
    assert f"# no events from {name}: it could not be reached" in run_timeline(context)


@then("the timeline of the request as JSON lines holds only that request's events")
def step_json(context: Context) -> None:
    text = run_timeline(context, "--request", context.request, "--format", "json")
    events, gaps = read_json_lines(text)
    assert events and {event.request for event in events} == {context.request}, events
    assert [gap.node for gap in gaps if gap.is_unreachable] == ["engine-1-3"], gaps


@then("the timeline as a picture has a lane for each process and one marked unreachable")
def step_picture(context: Context) -> None:
    path = context.folder / "timeline.svg"
    run_timeline(context, "--format", "svg", "--output", str(path))
    root = ElementTree.parse(path).getroot()
    lanes = [line for line in root.iter(f"{SVG_NAMESPACE}line") if line.get("class") == "lane"]
    assert len(lanes) == len(context.cluster.nodes), len(lanes)
    labels = [text.text or "" for text in root.iter(f"{SVG_NAMESPACE}text")]
    assert sum("unreachable" in label for label in labels) == 1, labels
    assert list(root.iter(f"{SVG_NAMESPACE}circle"))


@then('a timeline since "{text}" is refused')
def step_filter_refused(context: Context, text: str) -> None:
    answer = context.runner.run(create_operator(context.cluster).get(f"timeline?since={text}"))
    assert "must be numbers" in answer["detail"], answer


@then('the timeline of the node "{node}" holds only events of "{same}"')
def step_one_node(context: Context, node: str, same: str) -> None:
    events, _ = read_json_lines(run_timeline(context, "--node", node, "--format", "json"))
    assert events and {event.node for event in events} == {same}, events
