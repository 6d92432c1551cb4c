"""Plain services, called over HTTP as they are."""

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from jaylatch_core.exceptions import TargetFailed
from jaylatch_core.ids import AttemptId
from jaylatch_core.messages.requests import ServiceWork

CONNECT_TIMEOUT = 0.5
HEALTH_TIMEOUT = 0.5
METHODS_WITHOUT_BODY = ("GET", "HEAD")


class ServiceAnswer(msgspec.Struct, frozen=True):
    """A service's whole answer."""

    status: int
    content_type: str
    body: bytes


class ServiceClient:
    """One service instance at ``address`` (``IP:port``)."""

    def __init__(self, address: str, client: AsyncHTTPClient) -> None:
        self._address = address
        self._client = client

    async def is_healthy(self) -> bool:
        """Return whether the service answers its health check."""
        try:
            await self._client.fetch(
                HTTPRequest(
                    f"http://{self._address}/health",
                    connect_timeout=CONNECT_TIMEOUT,
                    request_timeout=HEALTH_TIMEOUT,
                )
            )
        except (HTTPError, CurlError, OSError):
            return False
        return True

    async def call(
        self, attempt: AttemptId, work: ServiceWork, budget: float
    ) -> Result[ServiceAnswer, TargetFailed]:
        """Make the call once. Every failure after the connection counts as run."""
        has_body = work.method not in METHODS_WITHOUT_BODY
        request = HTTPRequest(
            f"http://{self._address}{work.path}",
            method=work.method,
            headers={"X-Request-Id": attempt, "Content-Type": work.content_type},
            body=work.body if has_body else None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=budget,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPError, CurlError, OSError) as error:
            return Err(TargetFailed(f"service: {error}", has_run=True))
        if response.code == 599 or response.error is not None and response.code >= 599:
            return Err(TargetFailed(f"service: {response.error}", has_run=True))
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return Success(ServiceAnswer(response.code, content_type, response.body))
