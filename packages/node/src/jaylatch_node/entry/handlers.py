"""Handlers for models, plain services, health and metrics."""

import msgspec
from returns.pipeline import is_successful
from tornado.web import RequestHandler

from jaylatch_core.clock import monotonic
from jaylatch_core.enums import Outcome
from jaylatch_core.messages.journal import StoredAnswer
from jaylatch_core.messages.requests import ServiceWork
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.entry.base import (
    DEFAULT_KIND,
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    CallerHandler,
    not_found,
)
from jaylatch_node.entry.open_requests import OpenRequests
from jaylatch_node.entry.requests import ServiceRequest

SAFE_METHODS = ("GET", "HEAD")
CLOSED_CODES = ("lease_lapsed", "not_configured", "entry_stopping")
"""Codes of refusals by an entry that does not look at the journal."""


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the configured models."""
        identified = self._identify(DEFAULT_KIND)
        if not is_successful(identified):
            return self._refuse(identified.failure())
        models = self._services.board.grant.configuration.models
        data = [{"id": model.name, "object": "model"} for model in models]
        self.finish({"object": "list", "data": data})
        return None


class ServiceHandler(CallerHandler):
    """``/services/NAME/PATH`` for any method."""

    async def _call(self, name: str, path: str) -> None:
        configuration = self._services.board.grant.configuration
        service = configuration.service(name)
        method = self.request.method or "GET"
        is_idempotent = method in SAFE_METHODS or (
            service is not None and f"/{path}" in service.idempotent_paths
        )
        identified = self._identify(service.kind if service is not None else DEFAULT_KIND)
        if not is_successful(identified):
            refusal = identified.failure()
            if refusal.code in CLOSED_CODES and IDEMPOTENCY_KEY_HEADER in self.request.headers:
                # An earlier request with the key may have run; only the journal records that.
                refusal = msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)
            return self._refuse(refusal)
        if service is None:
            return self._refuse(not_found(f"service {name!r} is not configured"))
        caller = identified.unwrap()
        path_and_query = f"/{path}" + (f"?{self.request.query}" if self.request.query else "")
        content_type = self.request.headers.get("Content-Type", "")
        work = ServiceWork(name, method, path_and_query, content_type, self._body)
        request = ServiceRequest(caller, work, is_idempotent)
        if caller.key is None or is_idempotent:
            result = await self._services.dispatcher.call_service(request)
        else:
            result = await self._services.orders.run(request, caller.key)
        if not is_successful(result):
            return self._refuse(result.failure())
        return self._write_answer(result.unwrap())

    get = post = put = delete = patch = head = _call

    def _write_answer(self, answer: StoredAnswer) -> None:
        self._record_answer()
        if self._is_disconnected:
            return
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        self.set_header(REQUEST_ID_HEADER, self._request_id)
        self.finish(answer.body)


class MetricsHandler(RequestHandler):
    """``GET /metrics``."""

    def initialize(self, board: Blackboard) -> None:
        """Store the blackboard."""
        self._board = board

    def get(self) -> None:
        """Return all metrics of this process in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._board.metrics.text())


class HealthHandler(RequestHandler):
    """``GET /healthz``: the process runs; ``GET /readyz``: it takes requests."""

    def initialize(self, board: Blackboard, requests: OpenRequests, checks_readiness: bool) -> None:
        """Store the dependencies and whether the answer depends on ``is_ready``."""
        self._board = board
        self._requests = requests
        self._checks_readiness = checks_readiness

    def get(self) -> None:
        """Answer 200 or 503."""
        grant = self._board.grant
        is_acting = grant.lease.is_valid(monotonic()) and grant.has_configuration
        is_ready = self._requests.is_ready and is_acting
        if self._checks_readiness and not is_ready:
            self.set_status(503)
        self.finish({"is_ready": is_ready})
