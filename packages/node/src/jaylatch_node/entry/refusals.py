"""Writing of refusals as ``application/problem+json``."""

from http.client import responses
from math import ceil

import msgspec
from tornado.httputil import HTTPHeaders
from tornado.web import RequestHandler

from jaylatch_core.enums import Outcome
from jaylatch_core.exceptions import RequestRefused
from jaylatch_node.caller_stream import closing_answer
from jaylatch_node.entry.requests import new_request_id
from jaylatch_node.targets import RefusalKind

PROBLEM_TYPE = "application/problem+json"
HEAD_REFUSALS = {
    RefusalKind.HEAD_TOO_LARGE: (431, "the head of the request is larger than this entry reads"),
    RefusalKind.HEAD_TIMED_OUT: (408, "the head of the request was not complete in time"),
}


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


def refuse_head(kind: RefusalKind) -> bytes:
    """Return the whole answer to a request of which no head could be read."""
    status, detail = HEAD_REFUSALS[kind]
    refusal = RequestRefused(detail, status, kind.value, Outcome.NOT_RUN)
    body = msgspec.json.encode(problem_of(refusal, new_request_id()))
    headers = HTTPHeaders({"Content-Type": PROBLEM_TYPE})
    return closing_answer(status, responses[status], headers, body)


def _start_refusal(handler: RequestHandler, refusal: RequestRefused, request_id: str) -> bytes:
    """Set status and headers of a refusal and return its body."""
    handler.set_status(refusal.status)
    handler.set_header("Content-Type", PROBLEM_TYPE)
    handler.set_header("X-Request-Id", request_id)
    if refusal.retry_after:
        handler.set_header("Retry-After", str(ceil(refusal.retry_after)))
    return msgspec.json.encode(problem_of(refusal, request_id))
