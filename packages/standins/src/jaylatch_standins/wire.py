"""A small client and server of the stream protocol, for stand-ins."""

from asyncio import (
    Future,
    StreamReader,
    StreamWriter,
    get_running_loop,
    open_connection,
    timeout_at,
)
from collections.abc import Callable
from contextlib import suppress
from time import time

from msgpack import Packer, Unpacker

from jaylatch_core.messages.frames import Body, Frame, decode_frame, encode_frame

READ_SIZE = 64 * 1024
"""Bytes read at once."""

WireHandler = Callable[["Wire", int, Body], None]
"""Called with each body that is not a reply and the call number to reply to (0: no reply)."""


class Wire:
    """One connection of the stream protocol. ``run`` reads until it closes."""

    def __init__(self, reader: StreamReader, writer: StreamWriter, handler: WireHandler) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._packer = Packer()
        self._unpacker = Unpacker()
        self._last_call = 0
        self._calls: dict[int, Future[Body]] = {}

    def send(self, body: Body, call: int = 0) -> None:
        """Send a body; a negative ``call`` marks it as the reply to that call."""
        if not self._writer.is_closing():
            frame = encode_frame(Frame(call, time(), 0, body))
            self._writer.write(self._packer.pack(frame))

    async def call(self, body: Body, timeout: float) -> Body:
        """Send a call and return its reply. Raises TimeoutError after ``timeout`` seconds."""
        self._last_call += 1
        number = self._last_call
        future: Future[Body] = get_running_loop().create_future()
        self._calls[number] = future
        self.send(body, number)
        try:
            async with timeout_at(get_running_loop().time() + timeout):
                return await future
        finally:
            self._calls.pop(number, None)

    async def run(self) -> None:
        """Handle received frames until the connection closes."""
        with suppress(ConnectionError):
            while data := await self._reader.read(READ_SIZE):
                self._unpacker.feed(data)
                for payload in self._unpacker:
                    self._receive(decode_frame(payload))
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def _receive(self, frame: Frame) -> None:
        if frame.call >= 0:
            self._handler(self, frame.call, frame.body)
            return
        future = self._calls.get(-frame.call)
        if future is not None and not future.done():
            future.set_result(frame.body)


async def connect(address: str, handler: WireHandler) -> Wire:
    """Connect to ``address`` (``IP:port``). Raises OSError if the connection fails."""
    host, _, port = address.rpartition(":")
    reader, writer = await open_connection(host, int(port))
    return Wire(reader, writer, handler)


def ignore(wire: Wire, call: int, body: Body) -> None:
    """Discard a body."""
