"""Steps on log limits and on blocked or failing log outputs."""

import json
import logging
import os
from time import monotonic

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from pythonjsonlogger.json import JsonFormatter

from jaylatch_core.log_records import RECORD_TYPES, RequestEnded
from jaylatch_node.observability.budget import LogBudget
from jaylatch_node.observability.logs import FIELDS, BoundedHandler, log_record
from jaylatch_node.observability.writer import LineWriter

LINE_BYTES = 1024
BUFFERED_LIMIT_BYTES = 1024 * 1024
LONGEST_WRITE_SECONDS = 0.05
LINE_KIND = "kind"

use_step_matcher("re")


@given("a log budget")
def step_budget(context: Context) -> None:
    context.budget = LogBudget()


@when(
    r"(?P<lines>\d+) lines of a kind limited to (?P<limit>\d+) a second are logged at once,"
    r" and one more (?P<later>\d+) s later"
)
def step_lines_due(context: Context, lines: str, limit: str, later: str) -> None:
    take = context.budget.take
    context.written = sum(take(10.0, LINE_KIND, float(limit)) for _ in range(int(lines)))
    context.last = take(10.0 + float(later), LINE_KIND, float(limit))


@then(
    r"(?P<written>\d+) of the first are written, the last one (?P<last>is written|is suppressed),"
    r" and (?P<suppressed>\d+) are counted as suppressed"
)
def step_lines_written(context: Context, written: str, last: str, suppressed: str) -> None:
    assert context.written == int(written), context.written
    assert context.last is (last == "is written")
    suppressed_lines = context.budget.take_suppressed().get(LINE_KIND, 0)
    assert suppressed_lines == int(suppressed), suppressed_lines
    assert not context.budget.take_suppressed()


@given(r"a log that goes to a pipe whose reader (?P<reader>reads|does not read|has closed it)")
def step_pipe(context: Context, reader: str) -> None:
    context.read_end, write_end = os.pipe()
    os.set_blocking(context.read_end, False)
    context.reads = reader == "reads"
    if reader == "has closed it":
        os.close(context.read_end)
    context.writer = LineWriter(write_end)
    context.handler = BoundedHandler(context.writer)
    context.handler.setFormatter(JsonFormatter(FIELDS))
    context.received = b""


@when(r"(?P<lines>\d+) lines of 1 KiB are logged")
def step_log(context: Context, lines: str) -> None:
    logger = logging.Logger("log-test")
    logger.addHandler(context.handler)
    context.sent = int(lines)
    context.longest = 0.0
    for number in range(context.sent):
        started_at = monotonic()
        # High enough that the limit of the kind never applies.
        logger.info("x" * LINE_BYTES, extra={"line_limit": 1e6, "number": number})
        context.longest = max(context.longest, monotonic() - started_at)
        if context.reads:
            read_all(context)


def read_all(context: Context) -> None:
    try:
        while data := os.read(context.read_end, 65536):
            context.received += data
    except BlockingIOError:
        return


@then("no line took longer than 50 ms and less than 1 MiB is buffered")
def step_not_blocked(context: Context) -> None:
    assert context.longest < LONGEST_WRITE_SECONDS, context.longest
    assert context.writer.size < BUFFERED_LIMIT_BYTES, context.writer.size


@then(r"the reader gets complete lines, and (?P<lost>none is missing|the missing ones are counted)")
def step_received(context: Context, lost: str) -> None:
    read_all(context)
    while not context.writer.is_empty:
        context.handler.flush()
        read_all(context)
    lines = [json.loads(line) for line in context.received.splitlines()]
    numbers = [line["number"] for line in lines if "number" in line]
    assert numbers == sorted(numbers) and len(set(numbers)) == len(numbers)
    reported = sum(line["count"] for line in lines if line["message"] == "suppressed")
    missing = context.sent - len(numbers)
    pending = sum(context.writer.take_losses().values())
    assert missing == reported + pending, (missing, reported, pending)
    assert (missing > 0) is (lost == "the missing ones are counted"), missing


@then("every kind of record has fields that a logger accepts")
def step_fields(context: Context) -> None:
    reserved = set(logging.makeLogRecord({}).__dict__) | {"asctime", "instance", "line_limit"}
    for kind in RECORD_TYPES:
        assert not reserved & set(kind.__struct_fields__), kind


@then("every kind of record has a form that decodes to the same record")
def step_decodes(context: Context) -> None:
    record = RequestEnded(
        request="r", route="route", outcome="answered", target="t", sends=1, ms=2.5, first_ms=1.0
    )
    read_end, write_end = os.pipe()
    handler = BoundedHandler(LineWriter(write_end))
    handler.setFormatter(JsonFormatter(FIELDS))
    logger = logging.Logger("log-test", logging.INFO)
    logger.addHandler(handler)
    log_record(logger, record)
    line = os.read(read_end, 65536)
    assert msgspec.json.decode(line, type=RequestEnded) == record, line
    names = [kind.__struct_config__.tag for kind in RECORD_TYPES]
    assert len(set(names)) == len(names), names
