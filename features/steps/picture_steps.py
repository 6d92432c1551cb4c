"""Steps that draw the timeline as SVG."""

from xml.etree import ElementTree

from behave import given, then, when
from behave.runner import Context

from jaylatch_cli.timeline_picture import draw_timeline
from jaylatch_core.event_names import EventName
from jaylatch_core.events import EventGap, EventLog, merge_events
from jaylatch_core.ids import InstanceId

SVG_NAMESPACE = "{http://www.w3.org/2000/svg}"


@given("{events:d} events of each of {nodes:d} processes, and {dropped:d} dropped at the first")
def step_many_events(context: Context, events: int, nodes: int, dropped: int) -> None:
    logs = [EventLog(f"node-{number}") for number in range(nodes)]
    for count in range(events):
        for log in logs:
            log.record(100.0 + count, EventName.GROUP_COMPLETE)
    context.events = merge_events([event for log in logs for event in log.recent()])
    context.gaps = [EventGap(InstanceId("node-0"), dropped)] if dropped else []


@given('an event whose subject is "{subject}"')
def step_subject(context: Context, subject: str) -> None:
    log = EventLog("node-0")
    log.record(100.0, EventName.GROUP_COMPLETE, subject)
    context.events, context.gaps = list(log.recent()), []


@when("the picture is drawn")
def step_draw(context: Context) -> None:
    context.picture = ElementTree.fromstring(draw_timeline(context.events, context.gaps))


@then("it has {lanes:d} lanes, {marks:d} marks and {ellipses:d} ellipses")
def step_counts(context: Context, lanes: int, marks: int, ellipses: int) -> None:
    root = context.picture
    assert (
        len([item for item in root.iter(f"{SVG_NAMESPACE}line") if item.get("class") == "lane"])
        == lanes
    )
    assert len(list(root.iter(f"{SVG_NAMESPACE}circle"))) == marks
    assert len([item for item in root.iter(f"{SVG_NAMESPACE}text") if item.text == "⋯"]) == ellipses


@then('the picture holds no element "{name}"')
def step_no_element(context: Context, name: str) -> None:
    assert not list(context.picture.iter(f"{SVG_NAMESPACE}{name}"))
    assert not list(context.picture.iter(name))
