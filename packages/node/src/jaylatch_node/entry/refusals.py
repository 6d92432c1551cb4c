"""Writing of refusals as ``application/problem+json``."""

from math import ceil

import msgspec
from tornado.web import RequestHandler

from jaylatch_core.exceptions import RequestRefused

PROBLEM_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True):
    """The body of a refusal. ``outcome`` is ``not_run``, ``ran`` or ``unknown``."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    request_id: str


def problem_of(refusal: RequestRefused, request_id: str) -> Problem:
    """Return the problem document of ``refusal``."""
    return Problem(
        f"urn:jaylatch:problem:{refusal.code}",
        refusal.code,
        refusal.status,
        refusal.detail,
        refusal.outcome.value,
        request_id,
    )


def write_refusal(handler: RequestHandler, refusal: RequestRefused, request_id: str) -> None:
    """Finish the response with a refusal."""
    handler.finish(_start_refusal(handler, refusal, request_id))


def send_refusal_early(handler: RequestHandler, refusal: RequestRefused, request_id: str) -> None:
    """Send a refusal while the request is still being received; the handler finishes later.

    Finishing at once would close the connection, and the caller could receive the reset before the
    refusal.
    """
    body = _start_refusal(handler, refusal, request_id)
    handler.set_header("Content-Length", str(len(body)))
    handler.write(body)
    handler.flush()


def _start_refusal(handler: RequestHandler, refusal: RequestRefused, request_id: str) -> bytes:
    """Set status and headers of a refusal and return its body."""
    handler.set_status(refusal.status)
    handler.set_header("Content-Type", PROBLEM_TYPE)
    handler.set_header("X-Request-Id", request_id)
    if refusal.retry_after:
        handler.set_header("Retry-After", str(ceil(refusal.retry_after)))
    return msgspec.json.encode(problem_of(refusal, request_id))
