"""Client of the administration API."""

from dataclasses import dataclass
from typing import Any
from uuid import uuid4

import msgspec
import pycurl
from returns.result import Failure as Err
from returns.result import Result, Success
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClient, HTTPError, HTTPRequest

from jaylatch_core.exceptions import (
    CommandRefused,
    ConfigurationInvalid,
    Failure,
    GenerationConflict,
    Unavailable,
)
from jaylatch_core.http_status import is_final

REQUEST_TIMEOUT = 30.0
"""Seconds."""


@dataclass(frozen=True)
class Answer:
    """A successful answer: its body and the generation in its header (0: none)."""

    body: bytes
    generation: int

    def json(self) -> Any:
        """Return the parsed JSON body."""
        return msgspec.json.decode(self.body)


class AdministrationClient:
    """Sends requests to the administration API of one entry."""

    def __init__(self, address: str, token: str) -> None:
        self._base = f"http://{address}/admin/v1"
        self._token = token
        self._client = HTTPClient(CurlAsyncHTTPClient)

    def get(self, path: str) -> Result[Answer, Failure]:
        """Send a GET request for ``path``."""
        return self._fetch("GET", path, None, {})

    def delete(self, path: str, command: str = "") -> Result[Answer, Failure]:
        """Send a DELETE request for ``path``; ``command`` is its id (empty: a new one)."""
        return self._fetch("DELETE", path, None, {"X-Command-Id": command or uuid4().hex})

    def put(
        self, path: str, body: bytes, expected: int = 0, command: str = ""
    ) -> Result[Answer, Failure]:
        """Send a PUT request for ``path``; ``command`` is its id (empty: a new one).

        ``expected`` is the generation that the change is based on.
        """
        headers = {
            "X-Expected-Generation": str(expected),
            "X-Command-Id": command or uuid4().hex,
        }
        return self._fetch("PUT", path, body, headers)

    def _fetch(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> Result[Answer, Failure]:
        request = HTTPRequest(
            f"{self._base}/{path}",
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self._token}", **headers},
            request_timeout=REQUEST_TIMEOUT,
        )
        try:
            response = self._client.fetch(request, raise_error=False)
        except (OSError, HTTPError, pycurl.error) as error:
            return Err(Unavailable(f"{self._base} cannot be reached: {error}"))
        if response.code == 599 or not is_final(response.code):
            detail = response.error or f"status {response.code}"
            return Err(Unavailable(f"{self._base} cannot be reached: {detail}"))
        if response.code >= 400:
            return Err(_decode_failure(response.code, response.body))
        if not response.body:
            # libcurl reports no error if the connection ends within the head of an answer.
            return Err(Unavailable(f"{self._base}: the answer was cut off; send it again"))
        generation = int(response.headers.get("X-Generation", "0"))
        return Success(Answer(response.body, generation))


def _decode_failure(status: int, body: bytes) -> Failure:
    """Return the typed failure in ``body``, or ``CommandRefused`` with its status and text."""
    try:
        failure: Failure = _failure_decoder.decode(body)
    except msgspec.DecodeError:
        return CommandRefused(f"status {status}: {body.decode(errors='replace')}")
    return failure


_failure_decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(
    CommandRefused | ConfigurationInvalid | GenerationConflict | Unavailable
)
