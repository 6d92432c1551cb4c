"""Explanation of what happened to a request, from the log lines of all processes.

A trace has the lines of the request itself and the related lines of that time: those about the
targets that it was sent to or, if no target could take it, about the groups.
"""

from datetime import datetime, timedelta

import msgspec

from jaylatch_cli.log_lines import LogLine
from jaylatch_core.log_records import (
    AnswerSkipped,
    AttemptEnded,
    EngineOrdered,
    InternalError,
    LinesSuppressed,
    LogRecord,
    PartsQuarantined,
    PlanCommitted,
    RequestEnded,
    RequestPlaced,
    RequestRefused,
    TargetConditionChanged,
    TargetDied,
    TargetProbed,
    TargetStateChanged,
    ViewPublished,
)

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
LOOKBACK_TIME = timedelta(seconds=5)
"""Time before a request in which lines may be related to it: a repair takes 3 s."""
LOOKAHEAD_TIME = timedelta(seconds=2)
"""Time after its last line: an unresponsive target is reported lost within a second."""
TARGET_RECORDS = (
    TargetStateChanged,
    TargetProbed,
    TargetDied,
    TargetConditionChanged,
    EngineOrdered,
)
RANKED_REASONS = {
    "overloaded": "no place could become free in time for it",
    "account_over_share": "its account asked for more than its share of the places",
    "deadline_too_near": "it waited until it could no longer be in time",
}
"""Causes of refusals of requests that wait for places by rank, by the reason in the log line."""
UNSERVED_REASONS = ("no target", "full", "at limit", "resting", *RANKED_REASONS)
STREAM_INTERRUPTED = "stream_cut"


class RequestTrace(msgspec.Struct, frozen=True):
    """The lines of one request, the related lines (``beliefs``) and the cause in one sentence."""

    request: str
    lines: list[LogLine]
    beliefs: list[LogLine]
    cause: str


def trace_request(request: str, lines: list[LogLine]) -> RequestTrace | None:
    """Return the trace of ``request``, or None if no line names it."""
    own_lines = [line for line in lines if _names(line.record, request)]
    if not own_lines:
        return None
    first, last = _time(own_lines[0]) - LOOKBACK_TIME, _time(own_lines[-1]) + LOOKAHEAD_TIME
    nearby_lines = [line for line in lines if first <= _time(line) <= last]
    targets = {line.record.target for line in own_lines if isinstance(line.record, RequestPlaced)}
    is_unserved = any(
        isinstance(line.record, RequestRefused) and line.record.reason in UNSERVED_REASONS
        for line in own_lines
    )
    related_lines = [
        line
        for line in nearby_lines
        if _is_related(line.record, targets, is_unserved) and not _names(line.record, request)
    ]
    return RequestTrace(request, own_lines, related_lines, _find_cause(own_lines, related_lines))


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
            status = f" with status {record.status}" if record.status else ""
            begun = ", after a part of an answer" if record.has_begun else ""
            return (
                f"the attempt at {record.target} failed{status}: {record.outcome}{begun}; next "
                f"step: {record.step} ({record.budget:.0f} retries left)"
            )
        case AnswerSkipped():
            answered = record.answered or "no request"
            return f"{record.target} answered {answered} instead, with status {record.status}"
        case RequestRefused():
            advice = f", retry after {record.retry_after:.2f} s" if record.retry_after else ""
            load = f", least load {record.load:.2f}" if record.load else ""
            return (
                f"refused by jaylatch as {record.kind}: {record.reason}{load}{advice} "
                f"(view {record.view}, deployment {record.deployment}, "
                f"lease {record.lease_left:.1f} s)"
            )
        case RequestEnded():
            first = f", first output after {record.first_ms:.0f} ms" if record.first_ms else ""
            status = f" with status {record.status}" if record.status else ""
            return (
                f"ended: {record.outcome}{status} after {record.ms:.0f} ms{first}, "
                f"{record.sends} sends"
            )
        case InternalError():
            return f"internal error of jaylatch: {record.error}"
        case TargetStateChanged():
            return f"{record.target} is {record.state}"
        case TargetProbed():
            return f"{record.target} was probed: {record.outcome}"
        case TargetDied():
            return f"{record.target} died with {len(record.requests)} requests in flight"
        case PartsQuarantined():
            return f"quarantined parts of prompts: {', '.join(record.quarantined) or 'none'}"
        case TargetConditionChanged():
            return f"{record.target} states: {record.condition} {record.value:.1f}"
        case EngineOrdered():
            return f"{record.target} was ordered {record.order}: {record.outcome}"
        case ViewPublished():
            return f"view {record.version}: groups {', '.join(record.groups) or 'none'}"
        case PlanCommitted():
            return f"committed: {record.command}"
        case LinesSuppressed():
            return (
                f"{record.count} lines of {record.record or 'any kind'} suppressed: {record.reason}"
            )
        case _:
            return record.message


def _time(line: LogLine) -> datetime:
    return datetime.strptime(line.at, TIME_FORMAT)


def _names(record: LogRecord, request: str) -> bool:
    return getattr(record, "request", None) == request


def _is_related(record: LogRecord, targets: set[str], is_unserved: bool) -> bool:
    if isinstance(record, TARGET_RECORDS):
        return record.target in targets
    if isinstance(record, ViewPublished | PlanCommitted | PartsQuarantined):
        return is_unserved or any(target in describe(record) for target in targets)
    return isinstance(record, LinesSuppressed)


def _find_cause(own_lines: list[LogLine], related_lines: list[LogLine]) -> str:
    lost_targets = {
        line.record.target
        for line in related_lines
        if isinstance(line.record, TargetProbed) and line.record.outcome == "lost"
    }
    records = [line.record for line in own_lines]
    failed = [item for item in records if isinstance(item, AttemptEnded)]
    lost_in_flight = [item.target for item in failed if item.target in lost_targets]
    last = records[-1]
    match last:
        case RequestRefused(reason="full"):
            return (
                f"every group was full: the least loaded of {last.candidates} had "
                f"{last.load:.2f} requests per slot"
            )
        case RequestRefused(rank=rank) if rank >= 0 and last.reason in RANKED_REASONS:
            return (
                f"{RANKED_REASONS[last.reason]}: rank {rank}, {last.load:.2f} requests per slot at "
                f"the least loaded of {last.candidates} groups"
            )
        case RequestRefused(reason="at limit"):
            return f"each of {last.candidates} targets had reached the limit that it states"
        case RequestRefused(reason="resting"):
            return f"each of {last.candidates} targets had asked this gateway for rest"
        case RequestRefused(reason="no target"):
            return "no target that could run it was in the view"
        case RequestRefused():
            return f"refused by jaylatch: {last.reason}"
        case RequestEnded(outcome=outcome) if outcome.startswith(STREAM_INTERRUPTED):
            interruption = (
                f"{lost_in_flight[-1]} was lost while serving it"
                if lost_in_flight
                else "its stream was interrupted"
            )
            return (
                f"{interruption}, and it could not be resumed elsewhere: "
                f"{outcome.partition(':')[2]}"
            )
        case RequestEnded(outcome="answered") if lost_in_flight:
            return f"{lost_in_flight[-1]} was lost while serving it; then answered by {last.target}"
        case RequestEnded(outcome="answered") if failed:
            return (
                f"answered by {last.target} after a failed attempt at {failed[-1].target}: "
                f"{failed[-1].outcome}"
            )
        case RequestEnded(outcome="answered"):
            return (
                f"answered by {last.target} in {last.ms:.0f} ms, "
                f"first output after {last.first_ms:.0f} ms"
            )
        case RequestEnded():
            return f"ended without an answer: {last.outcome}"
        case _:
            return "the end of the request is not in these logs"
