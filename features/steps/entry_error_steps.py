"""Steps on errors of engines and of an entry's handlers in the middle of an answer."""

from asyncio import IncompleteReadError, StreamReader, StreamWriter, open_connection, start_server

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import read_request
from returns.pipeline import is_successful
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.web import Application, HTTPError

from jaylatch_core.ids import AttemptId
from jaylatch_core.messages.requests import ModelWork
from jaylatch_core.settings import split_address
from jaylatch_node.adapters import EngineClient
from jaylatch_node.entry.base import ProblemHandler
from jaylatch_standins.ports import free_addresses

BUDGET_SECONDS = 2.0
ANSWER_LIMIT = 1 << 20
EVENTS = b'data: {"choices": [{"text": "lost"}]}\n\n' * 2 + b"data: [DONE]\n\n"
FIRST_PART = b"data: first\n\n"

use_step_matcher("re")


@given(r"an engine that answers completions with (?P<status>\d+)")
def step_engine(context: Context, status: str) -> None:
    context.runner.run(serve(context, status.encode()))


async def serve(context: Context, status: bytes) -> None:
    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        try:
            while True:
                await read_request(reader)
                head = b"HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n" % (status, len(EVENTS))
                writer.write(head + EVENTS)
        except (IncompleteReadError, ConnectionError):
            writer.close()

    context.address = free_addresses(1)[0]
    host, port = split_address(context.address)
    context.server = await start_server(handle, host, port)


@when(r"an agent runs a completion on it")
def step_complete(context: Context) -> None:
    context.runner.run(complete(context))


async def complete(context: Context) -> None:
    texts: list[str] = []
    engine = EngineClient(context.address, AsyncHTTPClient(force_instance=True))
    work = ModelWork("m", "prompt", 5, 0, 0)
    context.result = await engine.complete(
        AttemptId("a"),
        work,
        BUDGET_SECONDS,
        ANSWER_LIMIT,
        lambda tokens, text: texts.extend([text] * tokens),
    )
    context.tokens = len(texts)


@then(r"it gets (?P<tokens>\d+) tokens, and the completion (?P<result>succeeded|failed)")
def step_completed(context: Context, tokens: str, result: str) -> None:
    found = (context.tokens, is_successful(context.result))
    assert found == (int(tokens), result == "succeeded"), (found, context.result)


# Handlers of an entry


class FailingHandler(ProblemHandler):
    """Fails before, or in the middle of, its answer."""

    def initialize(self, when: str) -> None:
        """Set when to fail."""
        self._when = when

    async def get(self) -> None:
        """Send a part of an answer, and fail."""
        if "after" in self._when:
            self.write(FIRST_PART)
            await self.flush()
        raise HTTPError(502) if "HTTP" in self._when else ValueError(self._when)


@given(
    r"an interface of an entry whose handler fails (?P<when>before its answer"
    r"|after a part of its answer|with an HTTP error after such a part)"
)
def step_handler(context: Context, when: str) -> None:
    context.runner.run(listen(context, when))


async def listen(context: Context, when: str) -> None:
    context.address = free_addresses(1)[0]
    host, port = split_address(context.address)
    HTTPServer(Application([("/", FailingHandler, {"when": when})])).listen(port, host)


@when(r"a caller asks it")
def step_ask(context: Context) -> None:
    context.raw = context.runner.run(ask(context))


async def ask(context: Context) -> bytes:
    reader, writer = await open_connection(*split_address(context.address))
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    data = await reader.read()
    writer.close()
    return data


@then(r"it gets (?P<answer>500 and a problem|that part and no end)")
def step_got(context: Context, answer: str) -> None:
    if answer.startswith("500"):
        assert context.raw.startswith(b"HTTP/1.1 500") and b"internal_error" in context.raw
        return
    body = context.raw.partition(b"\r\n\r\n")[2]
    assert body == b"%x\r\n%s\r\n" % (len(FIRST_PART), FIRST_PART), context.raw
