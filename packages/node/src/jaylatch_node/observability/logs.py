"""Logs in JSON lines: typed records, rate limits and non-blocking writes."""

import logging
import os
import sys
from asyncio import get_running_loop
from atexit import register
from time import sleep

import msgspec
from pythonjsonlogger.json import JsonFormatter

from jaylatch_core.clock import monotonic
from jaylatch_core.events import Event
from jaylatch_core.ids import InstanceId
from jaylatch_core.log_records import EventRecorded, LinesSuppressed, LogRecord
from jaylatch_core.settings import LogSettings
from jaylatch_node.observability.budget import LogBudget
from jaylatch_node.observability.writer import LineWriter

_log = logging.getLogger("jaylatch.events")

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
UNTYPED_LINES_PER_SECOND = 50.0
"""Limit of each logger for records that are not typed, such as warnings of libraries."""
LOSS_REPORT_INTERVAL = 1.0
"""Seconds between two reports of suppressed and lost lines."""
RETRY_INTERVAL = 0.05
"""Seconds between two attempts to write to an output whose reader is slow."""
FINAL_FLUSH_TIMEOUT = 0.2
"""Seconds for which the end of the process waits for a slow reader to take the last lines."""
FINAL_FLUSH_INTERVAL = 0.01
"""Seconds between two attempts to write the last lines."""
LOG_FILE_MODE = 0o644


class BoundedHandler(logging.Handler):
    """Formats records within their rate limits and passes the lines to a writer."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer
        self._budget = LogBudget()
        self._losses_reported_at = monotonic()
        self._is_retrying = False

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, unless its kind exceeds its limit."""
        now = monotonic()
        self._report_losses(now)
        limit = getattr(record, "line_limit", UNTYPED_LINES_PER_SECOND)
        kind = record.getMessage() if hasattr(record, "line_limit") else record.name
        if self._budget.take(now, kind, limit):
            record.__dict__.pop("line_limit", None)
            self._write(record)

    def flush(self) -> None:
        """Write as much as the output accepts without blocking."""
        self._writer.flush()

    def close(self) -> None:
        """Write the last lines, waiting at most ``FINAL_FLUSH_TIMEOUT`` for a slow reader."""
        self._report_losses(self._losses_reported_at + LOSS_REPORT_INTERVAL)
        until = monotonic() + FINAL_FLUSH_TIMEOUT
        self._writer.flush()
        while not self._writer.is_empty and monotonic() < until:
            sleep(FINAL_FLUSH_INTERVAL)
            self._writer.flush()
        super().close()

    def _report_losses(self, now: float) -> None:
        if now < self._losses_reported_at + LOSS_REPORT_INTERVAL:
            return
        self._losses_reported_at = now
        for kind, count in self._budget.take_suppressed().items():
            self._write(_make_record(LinesSuppressed(record=kind, count=count, reason="too many")))
        for reason, count in self._writer.take_losses().items():
            self._write(_make_record(LinesSuppressed(record="", count=count, reason=reason)))

    def _write(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record)
        except Exception:
            self.handleError(record)
            return
        self._writer.write(line.encode() + b"\n")
        if not self._writer.is_empty and not self._is_retrying:
            self._retry_later()

    def _retry_later(self) -> None:
        try:
            loop = get_running_loop()
        except RuntimeError:
            # Without a running loop, the next record writes the remaining lines.
            return
        self._is_retrying = True
        loop.call_later(RETRY_INTERVAL, self._retry)

    def _retry(self) -> None:
        self._is_retrying = False
        self._writer.flush()
        if not self._writer.is_empty:
            self._retry_later()


def configure_logs(settings: LogSettings, instance: InstanceId) -> None:
    """Send all log records as JSON lines to the configured file or to standard output."""
    descriptor = sys.stdout.fileno()
    if settings.file:
        descriptor = os.open(settings.file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, LOG_FILE_MODE)
    handler = BoundedHandler(LineWriter(descriptor))
    handler.setFormatter(JsonFormatter(FIELDS, static_fields={"instance": instance}))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.level)
    register(handler.close)


def log_record(logger: logging.Logger, record: LogRecord) -> None:
    """Log a typed record."""
    if not logger.isEnabledFor(logging.INFO):
        return
    fields = msgspec.structs.asdict(record)
    fields["line_limit"] = record.lines_per_second
    logger.info(record.message, extra=fields)


def log_event(event: Event) -> None:
    """Log an event of the timeline as it is recorded."""
    log_record(
        _log,
        EventRecorded(
            event=event.name,
            subject=event.subject,
            request=event.request,
            detail=event.detail,
            generation=event.generation,
        ),
    )


def _make_record(record: LogRecord) -> logging.LogRecord:
    made = logging.makeLogRecord(msgspec.structs.asdict(record))
    made.name, made.levelname, made.msg = "jaylatch.log", "WARNING", record.message
    return made
