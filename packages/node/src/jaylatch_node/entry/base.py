"""Base of the handlers for callers: body limits, authentication and refusals."""

from asyncio import CancelledError, create_task, get_running_loop
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success
from tornado.web import HTTPError, RequestHandler, stream_request_body

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.enums import Outcome
from jaylatch_core.event_names import EventName
from jaylatch_core.exceptions import RequestRefused
from jaylatch_core.ids import IdempotencyKey
from jaylatch_core.settings import EntrySettings
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.caller_stream import DISCARD_TIME
from jaylatch_node.entry.accounts import find_account
from jaylatch_node.entry.dispatcher import Dispatcher
from jaylatch_node.entry.metrics import RequestMetrics
from jaylatch_node.entry.open_requests import OpenRequests
from jaylatch_node.entry.orders import OrderController
from jaylatch_node.entry.refusals import send_refusal_early, write_refusal
from jaylatch_node.entry.requests import CallerRequest, new_request_id

DEADLINE_HEADER = "X-Request-Timeout"
KIND_HEADER = "X-Request-Kind"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REQUEST_ID_HEADER = "X-Request-Id"
DEFAULT_KIND = "draft"
MAX_TIMEOUT = 3600.0
"""Largest value of ``X-Request-Timeout``, in seconds."""
MAX_KEY_LENGTH = 255
MAX_KIND_LENGTH = 64
CONNECTION_BODY_LIMIT = 1 << 40
"""Bytes; so large that tornado never enforces it, because the handler bounds the body itself."""


@dataclass(frozen=True)
class EntryServices:
    """Dependencies of the handlers for callers."""

    board: Blackboard
    dispatcher: Dispatcher
    orders: OrderController
    settings: EntrySettings
    metrics: RequestMetrics
    requests: OpenRequests


class ProblemHandler(RequestHandler):
    """Base handler that writes every error as a problem, including those raised by tornado."""

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Write a refusal; close the connection if a part of the answer has been sent.

        The library would end that part, which then looks like a whole answer.
        """
        if self._headers_written and not self._finished:
            self._finished = True
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        super().send_error(status_code, **kwargs)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write a refusal; after an internal error its outcome is unknown."""
        error = kwargs.get("exc_info", (None, None))[1]
        if isinstance(error, HTTPError):
            refusal = RequestRefused(
                f"{self.request.method} {self.request.path}: {self._reason}",
                status_code,
                "request_invalid",
                Outcome.NOT_RUN,
            )
        else:
            refusal = RequestRefused(
                "internal error in the entry; see the log of this process",
                status_code,
                "internal_error",
                Outcome.UNKNOWN,
            )
        write_refusal(self, refusal, new_request_id())


class UnknownPathHandler(ProblemHandler):
    """Refuses every path that has no handler."""

    def prepare(self) -> None:
        """Refuse with 404."""
        write_refusal(
            self, not_found(f"path {self.request.path!r} does not exist"), new_request_id()
        )


@stream_request_body
class CallerHandler(ProblemHandler):
    """Base of the handlers for callers."""

    def initialize(self, services: EntryServices) -> None:
        """Store the dependencies and reset the state of the request."""
        self._services = services
        self._request_id = new_request_id()
        self._started_at = monotonic()
        self._parts: list[bytes] = []
        self._size = 0
        self._is_disconnected = False
        self._is_refused_early = False
        self._cancel_on_disconnect: Any = None

    def prepare(self) -> None:
        """Refuse a body whose ``Content-Length`` exceeds the limit."""
        self._services.requests.add(self)
        # The handler enforces the body limit itself, so that the refusal is written as a problem.
        self.request.connection.set_max_body_size(CONNECTION_BODY_LIMIT)  # type: ignore[union-attr]
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self._services.settings.body_limit:
            self._refuse_body()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body, and refuse it above the limit."""
        if self._is_refused_early:
            return
        self._size += len(chunk)
        if self._size > self._services.settings.body_limit:
            self._parts.clear()
            self._refuse_body()
        else:
            self._parts.append(chunk)

    def on_connection_close(self) -> None:
        """Cancel work that only this caller needs when the caller disconnects."""
        self._is_disconnected = True
        self._close_request()
        if self._cancel_on_disconnect is not None:
            self._cancel_on_disconnect()

    def on_finish(self) -> None:
        """Record that the answer has been written."""
        self._close_request()

    def interrupt(self) -> None:
        """Answer at the end of the grace period; an answer that has begun is broken off."""
        if self._finished or self._is_disconnected:
            return
        if self._headers_written:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self._refuse(interrupted())
        self._is_disconnected = True
        if self._cancel_on_disconnect is not None:
            self._cancel_on_disconnect()

    @property
    def _body(self) -> bytes:
        return b"".join(self._parts)

    def _close_request(self) -> None:
        stream = self.request.connection.stream  # type: ignore[union-attr]
        self._services.requests.discard(self, stream)

    def _refuse_body(self) -> None:
        """Refuse at once, and discard the rest of the body for ``DISCARD_TIME`` before closing."""
        limit = self._services.settings.body_limit
        refusal = RequestRefused(
            f"the body is larger than {limit} bytes", 413, "body_too_large", Outcome.NOT_RUN
        )
        self.set_header("Connection", "close")
        self._is_refused_early = True
        self._record_refusal(refusal)
        send_refusal_early(self, refusal, self._request_id)
        get_running_loop().call_later(DISCARD_TIME, self._end_early_refusal)

    def _end_early_refusal(self) -> None:
        if not self._finished and not self._is_disconnected:
            self.finish()

    async def _run_while_connected(self, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work``, and cancel it when the caller disconnects."""
        task = create_task(work)
        self._cancel_on_disconnect = task.cancel
        try:
            await task
        except CancelledError:
            if not self._is_disconnected:
                raise
            self._services.metrics.record_disconnect()
            self._services.board.events.record(
                wall(), EventName.REQUEST_DISCONNECTED, "", self._request_id
            )
            self._finished = True

    def _identify(self, default_kind: str) -> Result[CallerRequest, RequestRefused]:
        if self._is_refused_early:
            return Err(bad_request("the body was refused while it was received"))
        if not self._services.requests.is_admitting:
            self.set_header("Connection", "close")
            return Err(stopping())
        board = self._services.board
        if not board.grant.lease.is_valid(monotonic()):
            return Err(lease_lapsed())
        if not board.grant.has_configuration:
            return Err(not_configured())
        configuration = board.grant.configuration
        headers = self.request.headers
        account = find_account(configuration, headers.get("Authorization", ""))
        if not is_successful(account):
            return Err(account.failure())
        kind = configuration.kind(headers.get(KIND_HEADER, default_kind))
        if len(kind.name) > MAX_KIND_LENGTH:
            return Err(bad_request(f"{KIND_HEADER} is longer than {MAX_KIND_LENGTH} characters"))
        timeout = _parse_timeout(headers.get(DEADLINE_HEADER), kind.deadline)
        if timeout is None:
            return Err(
                bad_request(
                    f"{DEADLINE_HEADER} must be a number of seconds above 0 and at most"
                    f" {MAX_TIMEOUT:.0f}"
                )
            )
        key = headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            return Err(
                bad_request(f"{IDEMPOTENCY_KEY_HEADER} must have 1 to {MAX_KEY_LENGTH} characters")
            )
        return Success(
            CallerRequest(
                self._request_id,
                account.unwrap(),
                kind.name,
                monotonic() + timeout,
                IdempotencyKey(key) if key else None,
                kind.weight,
            )
        )

    def _refuse(self, refusal: RequestRefused) -> None:
        if self._is_refused_early:
            return self._end_early_refusal()
        self._record_refusal(refusal)
        if not self._is_disconnected:
            write_refusal(self, refusal, self._request_id)
        return None

    def _record_refusal(self, refusal: RequestRefused) -> None:
        self._services.board.events.record(
            wall(), EventName.REQUEST_REFUSED, refusal.code, self._request_id, refusal.outcome.value
        )
        self._services.metrics.record_refusal(refusal)

    def _record_answer(self) -> None:
        self._services.metrics.record_answer(monotonic() - self._started_at)
        self._services.board.events.record(wall(), EventName.REQUEST_ANSWERED, "", self._request_id)


def bad_request(detail: str) -> RequestRefused:
    """Return the refusal of an invalid request."""
    return RequestRefused(detail, 400, "request_invalid", Outcome.NOT_RUN)


def not_found(detail: str) -> RequestRefused:
    """Return the refusal of a request for something that does not exist."""
    return RequestRefused(detail, 404, "not_found", Outcome.NOT_RUN)


def lease_lapsed() -> RequestRefused:
    """Return the refusal of a request while this entry has no valid lease."""
    return RequestRefused(
        "this entry has no valid lease from control and accepts no new requests",
        503,
        "lease_lapsed",
        Outcome.NOT_RUN,
        1.0,
    )


def not_configured() -> RequestRefused:
    """Return the refusal of a request before this entry knows any account, model or service."""
    return RequestRefused(
        "no configuration has been applied yet, so no account is known",
        503,
        "not_configured",
        Outcome.NOT_RUN,
        1.0,
    )


def stopping() -> RequestRefused:
    """Return the refusal of a new request while this entry stops."""
    return RequestRefused(
        "this entry stops and accepts no new requests; another one does",
        503,
        "entry_stopping",
        Outcome.NOT_RUN,
        1.0,
    )


def interrupted() -> RequestRefused:
    """Return the refusal of a request that is still at work when this entry must end."""
    return RequestRefused(
        "this entry had to end before the answer came", 503, "entry_stopped", Outcome.UNKNOWN
    )


def _parse_timeout(text: str | None, default: float) -> float | None:
    if text is None:
        return default
    try:
        timeout = float(text)
    except ValueError:
        return None
    return timeout if 0 < timeout <= MAX_TIMEOUT else None
