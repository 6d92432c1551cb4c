"""Steps on the log of a process."""

import logging
from asyncio import sleep

from behave import then, use_step_matcher, when
from behave.runner import Context

from jaylatch_core.event_names import EventName
from jaylatch_core.settings import load_settings
from jaylatch_node.process import Process

use_step_matcher("re")


class _Records(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


@when(r"a process with these settings records an event")
def step_record(context: Context) -> None:
    async def record() -> None:
        process = Process(load_settings(context.document).unwrap(), [])
        process.board.events.record(0.0, EventName.LEASE_HELD)
        await sleep(0)

    handler = _Records()
    logger = logging.getLogger("jaylatch.events")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        context.runner.run(record())
    finally:
        logger.removeHandler(handler)
    context.records = handler.records


@then(r"its log holds (?P<lines>\d) lines of that event")
def step_lines(context: Context, lines: str) -> None:
    found = [item for item in context.records if item.__dict__.get("event") == "lease.held"]
    assert len(found) == int(lines), context.records
