"""Client of plain HTTP services."""

import msgspec
import pycurl
from returns.result import Failure as Err
from returns.result import Result, Success
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from jaylatch_core.exceptions import TargetFailed
from jaylatch_core.ids import AttemptId
from jaylatch_core.messages.requests import ServiceWork
from jaylatch_node.adapters.connections import (
    StatusError,
    fetch,
    has_connected,
    raise_unless_success,
    use_new_connection,
)

CONNECT_TIMEOUT = 0.5
"""Seconds to connect to the service."""
HEALTH_TIMEOUT = 0.5
"""Seconds within which the service must answer a health check."""
METHODS_WITHOUT_BODY = ("GET", "HEAD")


class ServiceAnswer(msgspec.Struct, frozen=True):
    """A service's complete answer."""

    status: int
    content_type: str
    body: bytes


class ServiceClient:
    """Client of the service at ``address`` (``IP:port``)."""

    def __init__(self, address: str, client: AsyncHTTPClient) -> None:
        self._address = address
        self._client = client

    async def is_healthy(self) -> bool:
        """Return whether the service answers its health check."""
        try:
            answer = await fetch(
                self._client,
                HTTPRequest(
                    f"http://{self._address}/health",
                    connect_timeout=CONNECT_TIMEOUT,
                    request_timeout=HEALTH_TIMEOUT,
                ),
            )
            raise_unless_success(answer)
        except (StatusError, CurlError, OSError):
            return False
        return True

    async def call(
        self, attempt: AttemptId, work: ServiceWork, budget: float, answer_limit: int
    ) -> Result[ServiceAnswer, TargetFailed]:
        """Make the call once; fails if the answer is larger than ``answer_limit`` bytes.

        After the connection is made, every failure counts as run.
        """
        try:
            request = self._request(attempt, work, budget, answer_limit)
            answer = await fetch(self._client, request, body_limit=answer_limit)
        except (CurlError, OSError) as error:
            detail = f"call to the service failed: {error}"
            return Err(TargetFailed(detail, has_run=has_connected(error)))
        content_type = answer.headers.get("Content-Type", "application/octet-stream")
        return Success(ServiceAnswer(answer.status, content_type, answer.body))

    def _request(
        self,
        attempt: AttemptId,
        work: ServiceWork,
        budget: float,
        answer_limit: int,
    ) -> HTTPRequest:
        has_body = work.method not in METHODS_WITHOUT_BODY

        def prepare(curl: pycurl.Curl) -> None:
            curl.setopt(pycurl.MAXFILESIZE, answer_limit)
            use_new_connection(curl)

        return HTTPRequest(
            f"http://{self._address}{work.path}",
            method=work.method,
            headers={"X-Request-Id": attempt, "Content-Type": work.content_type},
            body=work.body if has_body else None,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=budget,
            prepare_curl_callback=prepare,
        )
