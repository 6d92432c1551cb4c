"""Connections to targets through libcurl."""

import re
from collections.abc import Callable
from dataclasses import dataclass

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httputil import HTTPHeaders, HTTPInputError

from jaylatch_core.http_status import is_final, is_interim
from jaylatch_core.units import KIBIBYTE

STATUS_PREFIX = b"HTTP/"
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: [^\r\n]*)?\r?\n")
END_OF_HEAD = (b"\r\n", b"\n")
HEAD_LIMIT = 64 * KIBIBYTE
"""Bytes of the heads of an answer, interim ones and trailers included."""
BODY_LIMIT = 64 * KIBIBYTE
"""Bytes of an answer to a health check, a question about the state or an order."""
ABORT = 0
"""Returned to libcurl in place of the number of bytes that were taken."""


class AnswerUnusableError(ConnectionError):
    """What a target has sent is no complete answer."""


class AnswerCutError(AnswerUnusableError):
    """The connection ended within the head of an answer."""


class AnswerTooLargeError(AnswerUnusableError):
    """The body of an answer is larger than its limit."""


class StatusError(Exception):
    """The status of an answer is not that of a success."""


@dataclass(frozen=True)
class Answer:
    """A complete answer. The body is empty if it was passed on while it arrived."""

    status: int
    headers: HTTPHeaders
    body: bytes


def use_new_connection(curl: pycurl.Curl) -> None:
    """Use a new connection for one request, and for no other one.

    On a reused one libcurl resends a request if it closes without a response, and takes a response
    that a faulty target repeats for the answer to the next request.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


async def fetch(
    client: AsyncHTTPClient,
    request: HTTPRequest,
    *,
    body_limit: int = BODY_LIMIT,
    is_aborted: Callable[[], bool] | None = None,
) -> Answer:
    """Send a request and return its complete answer, whatever its status is.

    The connection is closed at the first byte beyond a limit, and once ``is_aborted``. Raises
    AnswerUnusableError if what arrives is no answer: libcurl takes any number for a status, and a
    connection that ends within the head for a success with an empty body. Raises CurlError for all
    other failures.
    """
    head = _HeadReader()
    body = _BodyReader(body_limit)
    prepare = request.prepare_curl_callback

    def attach(curl: pycurl.Curl) -> None:
        if prepare is not None:
            prepare(curl)
        curl.setopt(pycurl.HEADERFUNCTION, head.feed)
        if request.streaming_callback is None:
            curl.setopt(pycurl.WRITEFUNCTION, body.feed)
        if is_aborted is not None:
            curl.setopt(pycurl.NOPROGRESS, 0)
            curl.setopt(pycurl.XFERINFOFUNCTION, lambda *sizes: is_aborted())

    request.prepare_curl_callback = attach
    request.follow_redirects = False
    response = await client.fetch(request, raise_error=False)
    if head.is_invalid:
        raise AnswerUnusableError("the head of the answer is not that of an HTTP response")
    if body.is_too_large:
        raise AnswerTooLargeError(f"the answer is larger than {body_limit} bytes")
    if isinstance(response.error, CurlError):
        raise response.error
    if not head.is_complete:
        raise AnswerCutError("the connection ended within the head of the answer")
    return Answer(response.code, head.headers, body.data)


def has_connected(error: Exception) -> bool:
    """Return False if the target cannot have received the request."""
    return not (isinstance(error, CurlError) and error.errno == pycurl.E_COULDNT_CONNECT)


def raise_unless_success(answer: Answer) -> Answer:
    """Return the answer. Raises StatusError if its status is not that of a success."""
    if not 200 <= answer.status < 300:
        raise StatusError(f"status {answer.status}")
    return answer


class _HeadReader:
    """Collects the lines of the head of a response; interim responses are skipped."""

    def __init__(self) -> None:
        self.headers = HTTPHeaders()
        self.is_complete = False
        self.is_invalid = False
        self._is_interim = False
        self._size = 0

    def feed(self, line: bytes) -> int:
        """Read one line of the head, or of the trailers, which are ignored."""
        self._size += len(line)
        if self._size > HEAD_LIMIT:
            return self._abort()
        if line.startswith(STATUS_PREFIX) and not self.is_complete:
            status = STATUS_LINE.fullmatch(line)
            if status is None:
                return self._abort()
            self.headers = HTTPHeaders()
            self._is_interim = is_interim(int(status[1]))
            if not self._is_interim and not is_final(int(status[1])):
                return self._abort()
        elif line in END_OF_HEAD:
            self.is_complete = not self._is_interim
        elif not self.is_complete:
            try:
                self.headers.parse_line(line.decode("latin1").rstrip())
            except HTTPInputError:
                return self._abort()
        return len(line)

    def _abort(self) -> int:
        self.is_invalid = True
        return ABORT


class _BodyReader:
    """Collects a response body up to a limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._parts: list[bytes] = []
        self._size = 0
        self.is_too_large = False

    @property
    def data(self) -> bytes:
        """Return the collected bytes."""
        return b"".join(self._parts)

    def feed(self, data: bytes) -> int:
        """Add the next bytes."""
        self._size += len(data)
        if self._size > self._limit:
            self.is_too_large = True
            self._parts.clear()
            return ABORT
        self._parts.append(data)
        return len(data)
