"""OpenAI-compatible completion handlers."""

from asyncio import timeout_at
from contextlib import aclosing
from typing import Any

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success
from tornado.iostream import StreamClosedError

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.enums import Outcome
from jaylatch_core.event_names import EventName
from jaylatch_core.exceptions import RequestRefused
from jaylatch_core.json_documents import decode_json
from jaylatch_core.messages.requests import AttemptChunk, AttemptEnd, ModelWork
from jaylatch_node.deadlines import loop_time
from jaylatch_node.entry.base import (
    DEFAULT_KIND,
    REQUEST_ID_HEADER,
    CallerHandler,
    bad_request,
    not_found,
)
from jaylatch_node.entry.refusals import problem_of
from jaylatch_node.entry.requests import ModelRequest

SLOW_READER_GRACE = 5.0
"""Seconds after the deadline of a request for which its caller may still read the stream."""


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


_body_decoder = msgspec.json.Decoder(_CompletionBody)


class CompletionHandler(CallerHandler):
    """``POST /v1/completions``."""

    _is_chat = False

    async def post(self) -> None:
        """Run a completion and answer it as a stream or as one body."""
        identified = self._identify(DEFAULT_KIND)
        if not is_successful(identified):
            return self._refuse(identified.failure())
        parsed = self._parse()
        if not is_successful(parsed):
            return self._refuse(parsed.failure())
        body = parsed.unwrap()
        request = ModelRequest(identified.unwrap(), self._work(body))
        if body.stream:
            return await self._run_while_connected(self._stream_until_deadline(request))
        return await self._run_while_connected(self._answer_complete(request))

    def _parse(self) -> Result[_CompletionBody, RequestRefused]:
        try:
            body = decode_json(_body_decoder, self._body)
        except msgspec.DecodeError as error:
            return Err(bad_request(f"the body is not a completion request: {error}"))
        if self._services.board.grant.configuration.model(body.model) is None:
            return Err(not_found(f"model {body.model!r} is not configured; see /v1/models"))
        limit = self._services.settings.token_limit
        if not 1 <= body.max_tokens <= limit:
            return Err(bad_request(f"max_tokens is {body.max_tokens}; give 1 to {limit}"))
        return Success(body)

    def _work(self, body: _CompletionBody) -> ModelWork:
        prompt = body.prompt
        if self._is_chat:
            prompt = "\n".join(f"{item.role}: {item.content}" for item in body.messages)
        return ModelWork(body.model, prompt, body.max_tokens, 0, body.seed)

    async def _stream_until_deadline(self, request: ModelRequest) -> None:
        """Stream the answer, and close the connection ``SLOW_READER_GRACE`` after the deadline."""
        try:
            async with timeout_at(loop_time(request.caller.deadline + SLOW_READER_GRACE)):
                await self._stream(request)
        except TimeoutError:
            self.request.connection.stream.close()  # type: ignore[union-attr]

    async def _stream(self, request: ModelRequest) -> None:
        has_started = False
        prefix, suffix = self._event_frame(request)
        async with aclosing(self._services.dispatcher.complete(request)) as items:
            async for item in items:
                match item:
                    case RequestRefused() if not has_started:
                        return self._refuse(item)
                    case RequestRefused():
                        return await self._end_incomplete(item)
                    case AttemptChunk():
                        if not has_started:
                            self._start_stream()
                            has_started = True
                        text = msgspec.json.encode(item.data.decode())
                        if not await self._write(prefix + text + suffix):
                            return None
                    case AttemptEnd():
                        if not has_started:
                            self._start_stream()
                        self._record_answer()
                        self.write(b"data: [DONE]\n\n")
                        await self.finish()
        return None

    def _start_stream(self) -> None:
        self._services.metrics.record_first_token(monotonic() - self._started_at)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header(REQUEST_ID_HEADER, self._request_id)

    async def _end_incomplete(self, refusal: RequestRefused) -> None:
        """End an incomplete stream with an error event and without ``[DONE]``."""
        self._services.metrics.record_incomplete(refusal)
        self._services.board.events.record(
            wall(),
            EventName.REQUEST_INTERRUPTED,
            refusal.code,
            self._request_id,
            refusal.outcome.value,
        )
        event = msgspec.json.encode({"error": problem_of(refusal, self._request_id)})
        await self._write(b"data: " + event + b"\n\n")
        await self.finish()

    async def _write(self, data: bytes) -> bool:
        try:
            self.write(data)
            await self.flush()
        except StreamClosedError:
            return False
        return True

    async def _answer_complete(self, request: ModelRequest) -> None:
        limit = self._services.settings.answer_limit
        parts = []
        size = tokens = 0
        async with aclosing(self._services.dispatcher.complete(request)) as items:
            async for item in items:
                match item:
                    case RequestRefused():
                        return self._refuse(item)
                    case AttemptChunk():
                        parts.append(item.data)
                        size += len(item.data)
                        tokens += item.tokens
                if size > limit:
                    return self._refuse(_answer_too_large(limit))
        text = b"".join(parts).decode()
        self.set_header("Content-Type", "application/json")
        self.set_header(REQUEST_ID_HEADER, self._request_id)
        self._record_answer()
        await self.finish(msgspec.json.encode(self._completion_body(request, text, tokens)))
        return None

    def _event_frame(self, request: ModelRequest) -> tuple[bytes, bytes]:
        """Return the bytes before and after the text in each event of one answer."""
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        envelope = msgspec.json.encode(self._envelope(request, kind))
        prefix = b'{"index":0,"finish_reason":null,'
        prefix += b'"delta":{"content":' if self._is_chat else b'"text":'
        suffix = b"}}]}\n\n" if self._is_chat else b"}]}\n\n"
        return b"data: " + envelope[:-1] + b',"choices":[' + prefix, suffix

    def _completion_body(self, request: ModelRequest, text: str, tokens: int) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._is_chat else "text_completion"
        usage = {"completion_tokens": tokens}
        return {**self._envelope(request, kind), "choices": [choice], "usage": usage}

    def _envelope(self, request: ModelRequest, kind: str) -> dict[str, Any]:
        return {
            "id": self._request_id,
            "object": kind,
            "created": int(wall()),
            "model": request.work.model,
        }


class ChatCompletionHandler(CompletionHandler):
    """``POST /v1/chat/completions``."""

    _is_chat = True


def _answer_too_large(limit: int) -> RequestRefused:
    return RequestRefused(
        f"the answer is larger than {limit} bytes; request a streamed answer",
        502,
        "answer_too_large",
        Outcome.RAN,
    )
