"""The callers' HTTP interface: OpenAI-compatible completions and plain services."""

from dataclasses import dataclass
from typing import Any

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.enums import Outcome
from jaylatch_core.event_names import EventName
from jaylatch_core.exceptions import RequestRefused
from jaylatch_core.ids import IdempotencyKey
from jaylatch_core.messages.journal import StoredAnswer
from jaylatch_core.messages.requests import AttemptChunk, AttemptEnd, ModelWork, ServiceWork
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.entry.accounts import find_account
from jaylatch_node.entry.dispatcher import Dispatcher
from jaylatch_node.entry.orders import OrderController
from jaylatch_node.entry.refusals import problem_of, write_refusal
from jaylatch_node.entry.requests import (
    CallerRequest,
    ModelRequest,
    ServiceRequest,
    new_request_id,
)

DEADLINE_HEADER = "X-Request-Timeout"
KIND_HEADER = "X-Request-Kind"
KEY_HEADER = "Idempotency-Key"
REQUEST_HEADER = "X-Request-Id"
DEFAULT_KIND = "draft"


@dataclass(frozen=True)
class EntryServices:
    """What the handlers work with."""

    board: Blackboard
    dispatcher: Dispatcher
    orders: OrderController


class _Message(msgspec.Struct):
    role: str
    content: str


class _CompletionBody(msgspec.Struct):
    model: str
    prompt: str = ""
    messages: tuple[_Message, ...] = ()
    max_tokens: int = 64
    stream: bool = False
    seed: int = 0


class CallerHandler(RequestHandler):
    """Base of the handlers that face callers."""

    def initialize(self, services: EntryServices) -> None:
        """Take what the handler works with."""
        self._services = services
        self._request_id = new_request_id()

    def _identify(self, default_kind: str) -> Result[CallerRequest, RequestRefused]:
        board = self._services.board
        if not board.grant.lease.is_valid(monotonic()):
            return Err(_lease_lapsed())
        configuration = board.grant.configuration
        account = find_account(configuration, self.request.headers.get("Authorization", ""))
        if not is_successful(account):
            return Err(account.failure())
        kind = configuration.kind(self.request.headers.get(KIND_HEADER, default_kind))
        timeout = _parse_timeout(self.request.headers.get(DEADLINE_HEADER), kind.deadline)
        if timeout is None:
            return Err(_bad_request(f"{DEADLINE_HEADER} must be a number of seconds above 0"))
        key = self.request.headers.get(KEY_HEADER)
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
        self._services.board.events.record(
            wall(), EventName.REQUEST_REFUSED, refusal.code, self._request_id, refusal.outcome.value
        )
        write_refusal(self, refusal, self._request_id)

    def _record_answer(self) -> None:
        self._services.board.events.record(wall(), EventName.REQUEST_ANSWERED, "", self._request_id)


class CompletionHandler(CallerHandler):
    """``POST /v1/completions``."""

    _is_chat = False

    async def post(self) -> None:
        """Run a completion, streamed or whole."""
        identified = self._identify(DEFAULT_KIND)
        if not is_successful(identified):
            return self._refuse(identified.failure())
        parsed = self._parse()
        if not is_successful(parsed):
            return self._refuse(parsed.failure())
        body = parsed.unwrap()
        request = ModelRequest(identified.unwrap(), self._work(body))
        if body.stream:
            return await self._stream(request)
        return await self._answer_whole(request)

    def _parse(self) -> Result[_CompletionBody, RequestRefused]:
        try:
            body = msgspec.json.decode(self.request.body, type=_CompletionBody)
        except msgspec.DecodeError as error:
            return Err(_bad_request(f"the body is not a completion request: {error}"))
        if self._services.board.grant.configuration.model(body.model) is None:
            return Err(_not_found(f"model {body.model!r} is not configured; see /v1/models"))
        if body.max_tokens < 1:
            return Err(_bad_request(f"max_tokens is {body.max_tokens}; give at least 1"))
        return Success(body)

    def _work(self, body: _CompletionBody) -> ModelWork:
        prompt = body.prompt
        if self._is_chat:
            prompt = "\n".join(f"{item.role}: {item.content}" for item in body.messages)
        return ModelWork(body.model, prompt, body.max_tokens, 0, body.seed)

    async def _stream(self, request: ModelRequest) -> None:
        has_started = False
        async for item in self._services.dispatcher.complete(request):
            match item:
                case RequestRefused() if not has_started:
                    return self._refuse(item)
                case RequestRefused():
                    return await self._end_torn(item)
                case AttemptChunk():
                    if not has_started:
                        self._start_stream()
                        has_started = True
                    if not await self._write_event(self._delta(request, item.data.decode())):
                        return None
                case AttemptEnd():
                    if not has_started:
                        self._start_stream()
                    self._record_answer()
                    self.write("data: [DONE]\n\n")
                    await self.finish()
        return None

    def _start_stream(self) -> None:
        self.set_header("Content-Type", "text/event-stream")
        self.set_header(REQUEST_HEADER, self._request_id)

    async def _end_torn(self, refusal: RequestRefused) -> None:
        """Tell a streaming caller that its answer is not whole: an error event and no end mark."""
        self._services.board.events.record(
            wall(), EventName.REQUEST_TORN, refusal.code, self._request_id, refusal.outcome.value
        )
        await self._write_event({"error": problem_of(refusal, self._request_id)})
        await self.finish()

    async def _write_event(self, event: object) -> bool:
        try:
            self.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
            await self.flush()
        except StreamClosedError:
            return False
        return True

    async def _answer_whole(self, request: ModelRequest) -> None:
        parts = []
        tokens = 0
        async for item in self._services.dispatcher.complete(request):
            match item:
                case RequestRefused():
                    return self._refuse(item)
                case AttemptChunk():
                    parts.append(item.data)
                    tokens += item.tokens
        text = b"".join(parts).decode()
        self.set_header("Content-Type", "application/json")
        self.set_header(REQUEST_HEADER, self._request_id)
        self._record_answer()
        await self.finish(msgspec.json.encode(self._whole(request, text, tokens)))
        return None

    def _delta(self, request: ModelRequest, text: str) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if self._is_chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        return self._envelope(request, kind, choice)

    def _whole(self, request: ModelRequest, text: str, tokens: int) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._is_chat else "text_completion"
        envelope = self._envelope(request, kind, choice)
        envelope["usage"] = {"completion_tokens": tokens}
        return envelope

    def _envelope(self, request: ModelRequest, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self._request_id,
            "object": kind,
            "created": int(wall()),
            "model": request.work.model,
            "choices": [choice],
        }


class ChatCompletionHandler(CompletionHandler):
    """``POST /v1/chat/completions``."""

    _is_chat = True


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
        identified = self._identify(service.kind if service is not None else DEFAULT_KIND)
        if not is_successful(identified):
            return self._refuse(identified.failure())
        if service is None:
            return self._refuse(_not_found(f"service {name!r} is not configured"))
        caller = identified.unwrap()
        target = f"/{path}" + (f"?{self.request.query}" if self.request.query else "")
        work = ServiceWork(
            name,
            self.request.method or "GET",
            target,
            self.request.headers.get("Content-Type", ""),
            self.request.body,
        )
        is_idempotent = work.method in ("GET", "HEAD") or f"/{path}" in service.idempotent_paths
        request = ServiceRequest(caller, work, is_idempotent)
        if caller.key is None or is_idempotent:
            result = await self._services.dispatcher.call_service(request)
        else:
            result = await self._services.orders.run(request, caller.key)
        if not is_successful(result):
            return self._refuse(result.failure())
        return self._write_answer(result.unwrap())

    get = post = put = delete = patch = _call

    def _write_answer(self, answer: StoredAnswer) -> None:
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        self.set_header(REQUEST_HEADER, self._request_id)
        self._record_answer()
        self.finish(answer.body)


class MetricsHandler(RequestHandler):
    """``GET /metrics``."""

    def initialize(self, board: Blackboard) -> None:
        """Take the blackboard."""
        self._board = board

    def get(self) -> None:
        """Return all metrics of this process in the Prometheus text form."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._board.metrics.text())


class HealthHandler(RequestHandler):
    """``GET /healthz``: the process runs; ``GET /readyz``: it has a lease and may take work."""

    def initialize(self, board: Blackboard, needs_lease: bool) -> None:
        """Take the blackboard and whether readiness is asked for."""
        self._board = board
        self._needs_lease = needs_lease

    def get(self) -> None:
        """Answer 200 or 503."""
        is_ready = self._board.grant.lease.is_valid(monotonic())
        if self._needs_lease and not is_ready:
            self.set_status(503)
        self.finish({"is_ready": is_ready})


def _parse_timeout(text: str | None, default: float) -> float | None:
    if text is None:
        return default
    try:
        timeout = float(text)
    except ValueError:
        return None
    return timeout if 0 < timeout < float("inf") else None


def _bad_request(detail: str) -> RequestRefused:
    return RequestRefused(detail, 400, "request_invalid", Outcome.NOT_RUN)


def _not_found(detail: str) -> RequestRefused:
    return RequestRefused(detail, 404, "not_found", Outcome.NOT_RUN)


def _lease_lapsed() -> RequestRefused:
    return RequestRefused(
        "this entry is cut off from control and takes no new work",
        503,
        "lease_lapsed",
        Outcome.NOT_RUN,
        1.0,
    )
