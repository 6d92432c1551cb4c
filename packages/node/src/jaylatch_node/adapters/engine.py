"""Client of the model engine's HTTP interface."""

from collections.abc import Callable

import msgspec
import pycurl
from returns.result import Failure as Err
from returns.result import Result, Success
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from jaylatch_core.exceptions import TargetFailed
from jaylatch_core.ids import AttemptId, Epoch, GroupId
from jaylatch_core.json_documents import decode_json
from jaylatch_core.messages.membership import Assignment
from jaylatch_core.messages.requests import ModelWork
from jaylatch_core.units import KIBIBYTE
from jaylatch_node.adapters.connections import (
    AnswerCutError,
    StatusError,
    fetch,
    has_connected,
    raise_unless_success,
    use_new_connection,
)

CONNECT_TIMEOUT = 0.5
"""Seconds to connect to the engine."""
STATE_TIMEOUT = 0.5
"""Seconds to read the engine's state."""
ORDER_TIMEOUT = 2.0
"""Seconds within which the engine must answer an order or a cancellation."""
EVENT_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
LINE_LIMIT = 256 * KIBIBYTE
"""Largest size in bytes of a line of a stream."""
SUCCESS = 200

INTERRUPTED_CONNECTION_ERRORS = {pycurl.E_GOT_NOTHING, pycurl.E_PARTIAL_FILE, pycurl.E_RECV_ERROR}

TokenHandler = Callable[[int, str], None]
"""Called with a number of tokens and their text."""


class EngineState(msgspec.Struct, frozen=True):
    """State that the engine reports. ``epoch`` is 0 if the engine belongs to no group."""

    group: GroupId
    epoch: Epoch
    model: str
    is_loaded: bool
    is_busy: bool


_state_decoder = msgspec.json.Decoder(EngineState)


class _Order(msgspec.Struct):
    order: str
    group: GroupId
    epoch: Epoch
    model: str
    rank: int
    size: int


class _Completion(msgspec.Struct):
    model: str
    prompt: str
    max_tokens: int
    priority: int
    seed: int
    resume_from: int
    stream: bool = True


class _Choice(msgspec.Struct):
    text: str
    tokens: int = 1


class _StreamEvent(msgspec.Struct):
    choices: tuple[_Choice, ...]


class EngineClient:
    """Client of the engine at ``address`` (``IP:port``)."""

    def __init__(self, address: str, client: AsyncHTTPClient) -> None:
        self._address = address
        self._client = client

    async def read_state(self) -> Result[EngineState, TargetFailed]:
        """Return the engine's state; a failure means that it is not healthy."""
        try:
            answer = await fetch(
                self._client,
                HTTPRequest(
                    f"http://{self._address}/state",
                    connect_timeout=CONNECT_TIMEOUT,
                    request_timeout=STATE_TIMEOUT,
                    prepare_curl_callback=use_new_connection,
                ),
            )
            return Success(decode_json(_state_decoder, raise_unless_success(answer).body))
        except (StatusError, CurlError, OSError, msgspec.DecodeError) as error:
            return Err(
                TargetFailed(f"the engine's state could not be read: {error}", has_run=False)
            )

    async def order_load(self, assignment: Assignment, rank: int) -> Result[None, TargetFailed]:
        """Order the engine to serve as member ``rank`` of the group under its epoch."""
        return await self._order(
            _Order(
                "load",
                assignment.group,
                assignment.epoch,
                assignment.model,
                rank,
                len(assignment.members),
            )
        )

    async def order_release(self, group: GroupId, epoch: Epoch) -> Result[None, TargetFailed]:
        """Order the engine to leave its group."""
        return await self._order(_Order("release", group, epoch, "", 0, 0))

    async def complete(
        self,
        attempt: AttemptId,
        work: ModelWork,
        budget: float,
        answer_limit: int,
        on_tokens: TokenHandler,
    ) -> Result[None, TargetFailed]:
        """Run a completion within ``budget`` seconds; ``on_tokens`` receives generated text.

        It fails if the text is larger than ``answer_limit`` characters.
        """
        reader = _EventReader(on_tokens, answer_limit)
        body = _Completion(
            work.model,
            work.prompt,
            work.max_tokens,
            work.priority,
            work.seed,
            work.resume_from,
        )
        try:
            answer = await fetch(
                self._client,
                HTTPRequest(
                    f"http://{self._address}/v1/completions",
                    method="POST",
                    headers={"X-Request-Id": attempt, "Content-Type": "application/json"},
                    body=msgspec.json.encode(body),
                    connect_timeout=CONNECT_TIMEOUT,
                    request_timeout=budget,
                    streaming_callback=reader.feed,
                    prepare_curl_callback=reader.attach,
                ),
                is_aborted=lambda: reader.has_failed,
            )
            raise_unless_success(answer)
        except (StatusError, CurlError, OSError) as error:
            return Err(
                TargetFailed(
                    f"completion failed at the engine: {reader.failure or error}",
                    has_run=has_connected(error),
                    has_died=not reader.has_failed and _is_interrupted(error),
                )
            )
        if reader.has_failed:
            return Err(
                TargetFailed(f"completion failed at the engine: {reader.failure}", has_run=True)
            )
        if not reader.is_complete:
            return Err(TargetFailed("the engine's stream ended without [DONE]", has_run=True))
        return Success(None)

    async def cancel(self, attempt: AttemptId) -> None:
        """Ask the engine to stop generating for ``attempt``."""
        await self._post(f"/cancel/{attempt}", b"{}", ORDER_TIMEOUT)

    async def _order(self, order: _Order) -> Result[None, TargetFailed]:
        return await self._post("/orders", msgspec.json.encode(order), ORDER_TIMEOUT)

    async def _post(self, path: str, body: bytes, timeout: float) -> Result[None, TargetFailed]:
        try:
            answer = await fetch(
                self._client,
                HTTPRequest(
                    f"http://{self._address}{path}",
                    method="POST",
                    body=body,
                    connect_timeout=CONNECT_TIMEOUT,
                    request_timeout=timeout,
                    prepare_curl_callback=use_new_connection,
                ),
            )
            raise_unless_success(answer)
            return Success(None)
        except (StatusError, CurlError, OSError) as error:
            return Err(TargetFailed(f"request {path} to the engine failed: {error}", has_run=True))


def _is_interrupted(error: Exception) -> bool:
    """Return whether the engine closed the connection in the middle of its answer."""
    if isinstance(error, AnswerCutError):
        return True
    return isinstance(error, CurlError) and error.errno in INTERRUPTED_CONNECTION_ERRORS


class _EventReader:
    """Parses a server-sent event stream of tokens.

    Once a line, or the text of all events, is larger than its limit, or an event cannot be read,
    ``failure`` says so, and nothing more is read.
    """

    def __init__(self, on_tokens: TokenHandler, text_limit: int) -> None:
        self._on_tokens = on_tokens
        self._text_left = text_limit
        self._partial_line = b""
        self._decoder = msgspec.json.Decoder(_StreamEvent)
        self._curl: pycurl.Curl | None = None
        self.is_complete = False
        self.failure = ""

    @property
    def has_failed(self) -> bool:
        """Return whether what has arrived is no stream of events."""
        return bool(self.failure)

    def attach(self, curl: pycurl.Curl) -> None:
        """Read the response of the request that ``curl`` is about to send."""
        use_new_connection(curl)
        self._curl = curl

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the response body; that of an error is no stream."""
        assert self._curl is not None
        if self.has_failed or self._curl.getinfo(pycurl.RESPONSE_CODE) != SUCCESS:
            return
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > LINE_LIMIT:
            self._fail(f"a line of the stream is longer than {LINE_LIMIT} bytes")
            return
        try:
            self._read_lines(lines)
        except (msgspec.DecodeError, IndexError) as error:
            self._fail(f"an event of the stream cannot be read: {error}")

    def _read_lines(self, lines: list[bytes]) -> None:
        tokens = 0
        texts = []
        for line in lines:
            if not line.startswith(EVENT_PREFIX):
                continue
            payload = line[len(EVENT_PREFIX) :].strip()
            if payload == END_OF_STREAM:
                self.is_complete = True
                continue
            choice = self._decoder.decode(payload).choices[0]
            tokens += choice.tokens
            texts.append(choice.text)
            self._text_left -= len(choice.text)
        if self._text_left < 0:
            self._fail("the stream is larger than the limit of an answer")
        elif texts:
            self._on_tokens(tokens, "".join(texts))

    def _fail(self, failure: str) -> None:
        self.failure = failure
        self._partial_line = b""
