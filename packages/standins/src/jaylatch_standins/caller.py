"""HTTP clients for callers and operators of a running deployment."""

from dataclasses import dataclass
from secrets import token_hex
from time import monotonic
from typing import Any

import msgspec
import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from jaylatch_standins.engine import expected_text

MAX_CLIENTS = 512
"""Maximum number of concurrent requests of one client."""
TIMEOUT_MARGIN = 5.0
"""Seconds after its deadline at which the client gives up on a request."""


@dataclass(frozen=True)
class CallerOutcome:
    """The result of a request as the caller saw it.

    ``status`` is 0 if the connection failed; ``outcome`` is empty if the request was not refused.
    ``is_complete`` is true if the answer is complete and correct. Times are in seconds.
    """

    status: int
    is_complete: bool
    outcome: str
    code: str
    body: bytes
    first_token: float
    duration: float


class Caller:
    """Client of one entry (``IP:port``) that authenticates as one account."""

    def __init__(self, entry: str, key: str) -> None:
        self._entry = entry
        self._key = key
        self._client = AsyncHTTPClient(max_clients=MAX_CLIENTS)

    async def complete(
        self,
        model: str,
        prompt: str,
        tokens: int,
        *,
        is_streamed: bool,
        timeout: float = 30.0,
        kind: str = "",
    ) -> CallerOutcome:
        """Request a completion and compare the answer with the text that every engine generates."""
        body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": is_streamed}
        expected = expected_text(prompt, 0, tokens)
        reader = _StreamReader()
        response = await self._fetch(
            "/v1/completions",
            msgspec.json.encode(body),
            timeout,
            {"X-Request-Kind": kind} if kind else {},
            reader if is_streamed else None,
        )
        if not is_streamed or (response.code != 200):
            is_complete = response.code == 200 and _completion_text(response) == expected
            return _outcome(
                response, reader.body or response.body, is_complete, response.request_time
            )
        is_complete = reader.is_ended and reader.text() == expected
        first_token = reader.first_at - reader.started_at
        return _outcome(response, reader.body, is_complete, first_token)

    async def order(
        self, service: str, path: str, order: str, key: str | None, timeout: float = 30.0
    ) -> CallerOutcome:
        """Send a non-idempotent order; ``order`` identifies it in the ledger."""
        headers = {"Idempotency-Key": key} if key is not None else {}
        response = await self._fetch(
            f"/services/{service}/{path}", order.encode(), timeout, headers, None
        )
        is_complete = response.code == 200 and order.encode() in (response.body or b"")
        return _outcome(response, response.body or b"", is_complete, response.request_time)

    async def read(self, service: str, path: str, timeout: float = 30.0) -> CallerOutcome:
        """Send an idempotent request to a plain service."""
        response = await self._fetch(f"/services/{service}/{path}", None, timeout, {}, None)
        return _outcome(response, response.body or b"", response.code == 200, response.request_time)

    async def _fetch(
        self,
        path: str,
        body: bytes | None,
        timeout: float,
        headers: dict[str, str],
        reader: "_StreamReader | None",
    ) -> HTTPResponse:
        request = HTTPRequest(
            f"http://{self._entry}{path}",
            method="GET" if body is None else "POST",
            body=body,
            headers={
                "Authorization": f"Bearer {self._key}",
                "X-Request-Timeout": str(timeout),
                "X-Request-Id": token_hex(8),
                **headers,
            },
            request_timeout=timeout + TIMEOUT_MARGIN,
            streaming_callback=reader.feed if reader is not None else None,
            prepare_curl_callback=_use_new_connection if body is not None else None,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, CurlError, OSError) as error:
            return HTTPResponse(request, 599, error=error)


class Operator:
    """Client of the administration API of one entry."""

    def __init__(self, entry: str, token: str) -> None:
        self._base = f"http://{entry}/admin/v1"
        self._token = token
        self._client = AsyncHTTPClient(max_clients=MAX_CLIENTS)

    async def get(self, path: str) -> Any:
        """Return the decoded answer, or None if there is none."""
        return await self._fetch("GET", path, None, {})

    async def put(self, path: str, body: bytes, headers: dict[str, str] | None = None) -> Any:
        """Send a command and return the decoded answer, or None if there is none."""
        return await self._fetch("PUT", path, body, headers or {})

    async def _fetch(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> Any:
        request = HTTPRequest(
            f"{self._base}/{path}",
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self._token}", **headers},
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, CurlError, OSError):
            return None
        if response.code == 599 or not response.body:
            return None
        return msgspec.json.decode(response.body)


class _StreamReader:
    """Collects a streamed completion."""

    def __init__(self) -> None:
        self.started_at = monotonic()
        self.first_at = 0.0
        self.body = b""

    @property
    def is_ended(self) -> bool:
        """Return whether the end marker has been received."""
        return self.body.rstrip().endswith(b"data: [DONE]")

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        if not self.first_at:
            self.first_at = monotonic()
        self.body += data

    def text(self) -> str:
        """Return the concatenated text of all events."""
        parts = []
        for line in self.body.split(b"\n"):
            if line.startswith(b"data: {"):
                event = msgspec.json.decode(line[len(b"data: ") :])
                parts += [choice["text"] for choice in event.get("choices", [])]
        return "".join(parts)


def _use_new_connection(curl: pycurl.Curl) -> None:
    """Use a new connection: libcurl resends a request when a reused connection closes."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _completion_text(response: HTTPResponse) -> str:
    return str(msgspec.json.decode(response.body)["choices"][0]["text"])


def _outcome(
    response: HTTPResponse, body: bytes, is_complete: bool, first_token: float | None
) -> CallerOutcome:
    outcome, code = "", ""
    if response.code >= 400 and response.code != 599:
        problem = msgspec.json.decode(body or b"{}")
        outcome, code = problem.get("outcome", ""), problem.get("title", "")
    status = 0 if response.code == 599 else response.code
    return CallerOutcome(
        status, is_complete, outcome, code, body, first_token or 0.0, response.request_time or 0.0
    )
