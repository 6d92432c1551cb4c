"""JSON-lines logs."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from jaylatch_core.events import Event
from jaylatch_core.ids import InstanceId
from jaylatch_core.settings import LogSettings

_log = logging.getLogger("jaylatch.events")

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logs(settings: LogSettings, instance: InstanceId) -> None:
    """Send all log records as JSON lines to the configured place."""
    handler: logging.Handler = (
        logging.FileHandler(settings.file) if settings.file else logging.StreamHandler(sys.stderr)
    )
    handler.setFormatter(JsonFormatter(FIELDS, static_fields={"instance": instance}))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.level)


def log_event(event: Event) -> None:
    """Log an event of the time line as it is recorded."""
    fields = {
        "event": event.name,
        "subject": event.subject,
        "request": event.request,
        "detail": event.detail,
        "generation": event.generation,
    }
    _log.info("event", extra={name: value for name, value in fields.items() if value})
