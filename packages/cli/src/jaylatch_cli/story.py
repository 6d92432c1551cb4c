"""Tells what happened to a request, and why, from the lines of all processes.

The lines of the request itself come first; then what the processes came to believe about that time
of the targets that it was sent to, or of the groups where it was not sent at all.
"""

from datetime import datetime, timedelta

import msgspec

from jaylatch_cli.log_lines import LogLine
from jaylatch_core.log_records import (
    AttemptEnded,
    EngineOrdered,
    InternalError,
    LinesSuppressed,
    LogRecord,
    PlanCommitted,
    RequestEnded,
    RequestPlaced,
    RequestRefused,
    TargetDied,
    TargetProbed,
    TargetStateChanged,
    ViewPublished,
)

STAMP = "%Y-%m-%d %H:%M:%S,%f"
BEFORE = timedelta(seconds=5)
"""Time before a request in which beliefs that bear on it are looked for: a repair takes 3 s."""
AFTER = timedelta(seconds=2)
"""Time after its last line: a target that has fallen silent is found lost within a second."""
ABOUT_TARGETS = (TargetStateChanged, TargetProbed, TargetDied, EngineOrdered)
UNSERVED = ("no target", "full")
CUT = "stream_cut"


class Story(msgspec.Struct, frozen=True):
    """The lines of one request, what bears on it, and the conclusion in one sentence."""

    request: str
    lines: list[LogLine]
    beliefs: list[LogLine]
    cause: str


def tell_story(request: str, lines: list[LogLine]) -> Story | None:
    """Return the story of ``request``, or None if no line names it."""
    own = [line for line in lines if getattr(line.record, "request", None) == request]
    if not own:
        return None
    first, last = _time(own[0]) - BEFORE, _time(own[-1]) + AFTER
    near = [line for line in lines if first <= _time(line) <= last]
    targets = {line.record.target for line in own if isinstance(line.record, RequestPlaced)}
    is_unserved = any(
        isinstance(line.record, RequestRefused) and line.record.reason in UNSERVED for line in own
    )
    beliefs = [line for line in near if _bears_on(line.record, targets, is_unserved)]
    return Story(request, own, beliefs, _conclude(own, beliefs))


def describe(record: LogRecord) -> str:
    """Return a record as one sentence."""
    match record:
        case RequestPlaced():
            resumed = f", from event {record.resume_after}" if record.resume_after >= 0 else ""
            return (
                f"sent to {record.target} (send {record.send}{resumed}): load {record.load:.2f} of "
                f"{record.candidates} candidates, reported {record.report_age_ms} ms before, "
                f"view {record.view}, {record.time_left_ms} ms left"
            )
        case AttemptEnded():
            return (
                f"{record.target} brought no whole answer: {record.outcome}; decided: {record.step}"
                f" ({record.budget:.0f} repeats left)"
            )
        case RequestRefused():
            advice = f", return after {record.retry_after:.2f} s" if record.retry_after else ""
            load = f", least load {record.load:.2f}" if record.load else ""
            return (
                f"answered {record.kind} by jaylatch: {record.reason}{load}{advice} "
                f"(view {record.view}, document {record.deployment}, "
                f"lease {record.lease_left:.1f} s)"
            )
        case RequestEnded():
            first = f", begun after {record.first_ms:.0f} ms" if record.first_ms else ""
            return f"ended: {record.outcome} after {record.ms:.0f} ms{first}, {record.sends} sends"
        case InternalError():
            return f"an error of jaylatch: {record.error}"
        case TargetStateChanged():
            return f"{record.target} is {record.state}"
        case TargetProbed():
            return f"{record.target} was probed: {record.outcome}"
        case TargetDied():
            return f"{record.target} ended with {len(record.requests)} requests under way"
        case EngineOrdered():
            return f"{record.target} was ordered {record.order}: {record.outcome}"
        case ViewPublished():
            return f"view {record.version}: groups {', '.join(record.groups) or 'none'}"
        case PlanCommitted():
            return f"agreed: {record.command}"
        case LinesSuppressed():
            return (
                f"{record.count} lines of {record.record or 'any kind'} left out: {record.reason}"
            )
        case _:
            return record.message


def _time(line: LogLine) -> datetime:
    return datetime.strptime(line.at, STAMP)


def _bears_on(record: LogRecord, targets: set[str], is_unserved: bool) -> bool:
    if isinstance(record, ABOUT_TARGETS):
        return record.target in targets
    if isinstance(record, ViewPublished | PlanCommitted):
        return is_unserved or any(target in describe(record) for target in targets)
    return isinstance(record, LinesSuppressed)


def _conclude(own: list[LogLine], beliefs: list[LogLine]) -> str:
    lost = {
        line.record.target
        for line in beliefs
        if isinstance(line.record, TargetProbed) and line.record.outcome == "lost"
    }
    records = [line.record for line in own]
    failed = [item for item in records if isinstance(item, AttemptEnded)]
    died = [item.target for item in failed if item.target in lost]
    last = records[-1]
    match last:
        case RequestRefused(reason="full"):
            return (
                f"every group was full: the least loaded of {last.candidates} had "
                f"{last.load:.2f} requests for each place"
            )
        case RequestRefused(reason="no target"):
            return "no group or server that could run it was in the view"
        case RequestRefused():
            return f"jaylatch answered by itself: {last.reason}"
        case RequestEnded(outcome=outcome) if outcome.startswith(CUT):
            where = f"{died[-1]} was lost under it" if died else "its target broke off"
            return f"{where}, and it could not go on elsewhere: {outcome.partition(':')[2]}"
        case RequestEnded(outcome="answered") if died:
            return f"{died[-1]} was lost under it; answered by {last.target} all the same"
        case RequestEnded(outcome="answered") if failed:
            return (
                f"answered by {last.target} after {failed[-1].target} had not: {failed[-1].outcome}"
            )
        case RequestEnded(outcome="answered"):
            return (
                f"answered by {last.target} in {last.ms:.0f} ms, begun after {last.first_ms:.0f} ms"
            )
        case RequestEnded():
            return f"ended without an answer: {last.outcome}"
        case _:
            return "its end is not in these lines"
