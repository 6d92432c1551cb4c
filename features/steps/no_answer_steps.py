"""Steps on targets whose bytes are no answer, or have no end."""

import gzip
from asyncio import StreamReader, StreamWriter
from contextlib import suppress

from behave import given, then, use_step_matcher
from behave.runner import Context
from cut_head_steps import listen
from features.support.gateway import read_request

from jaylatch_core.units import MEBIBYTE

SENT_LIMIT = 8 * MEBIBYTE
"""Bytes that a target can send until its connection is closed, with those in the sockets."""
SEND_LIMIT = 256 * MEBIBYTE
STATE = b'{"group":"g","epoch":1,"model":"m","is_loaded":true,"is_busy":false}'
EVENTS = b'data: {"choices":[{"text":"a"}]}\n\ndata: [DONE]\n\n'
PIECE = b"x" * 65536
HEADERS = b"X-More: more\r\n" * 1000
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "a head": (OK, HEADERS),
    "a body": (OK + b"\r\n", PIECE),
    "a body in chunks": (CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
    "a compressed body": (OK + b"Content-Encoding: gzip\r\n\r\n", gzip.compress(bytes(MEBIBYTE))),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", HEADERS),
    "a line of a stream": (OK + b"\r\ndata: ", PIECE),
    "events": (OK + b"\r\n", b'data: {"choices":[{"text":"%s"}]}\n\n' % PIECE),
    "odd events": (OK + b"\r\n", b'data: {"choices":[]}\n\n' * 1000),
}
"""What is sent at first, and then again and again."""

use_step_matcher("re")


@given(r"a target that answers with (?P<right>.+) or (?P<wrong>.+) as the status")
def step_statuses(context: Context, right: str, wrong: str) -> None:
    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        body = EVENTS if (await read_request(reader)).path == "/v1/completions" else STATE
        head = f"HTTP/1.1 {context.variant} Odd\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    context.variants = [*right.split(), *wrong.split()]
    context.runner.run(listen(context, handle))


@given(r"a target that sends (?P<endless>.+) without end")
def step_endless(context: Context, endless: str) -> None:
    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        await read_request(reader)
        what, (first, more) = context.variant, ENDLESS[context.variant]
        writer.write(first)
        with suppress(ConnectionError):
            while context.sent[what] < SEND_LIMIT:
                writer.write(more)
                await writer.drain()
                context.sent[what] += len(more)

    context.variants = endless.split(", ")
    context.sent = dict.fromkeys(context.variants, 0)
    context.runner.run(listen(context, handle))


@then(r"only the answers with (?P<right>.+) are taken for one")
def step_only_right(context: Context, right: str) -> None:
    assert context.taken == right.split(), context.taken


@then(r"none is taken for an answer, and the target could send less than 8 MiB of each")
def step_bounded(context: Context) -> None:
    assert not context.taken and max(context.sent.values()) < SENT_LIMIT, context.sent
