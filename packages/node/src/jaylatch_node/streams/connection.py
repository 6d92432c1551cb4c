"""One stream between two processes: frames in both directions, and calls with replies.

Each frame travels as one MessagePack ``bin`` object, so that the receiver can bound its size
before it parses it.
"""

from asyncio import Future, TimerHandle, get_running_loop
from collections.abc import Callable

import msgspec
from msgpack import Packer, Unpacker
from msgpack.exceptions import BufferFull, UnpackException
from returns.result import Failure as Err
from returns.result import Result, Success
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.events import EventLog
from jaylatch_core.exceptions import StreamClosed, Unavailable
from jaylatch_core.messages.frames import Body, Frame, decode_frame, encode_frame
from jaylatch_node.deadlines import time_limit
from jaylatch_node.sockets import detect_dead_peer
from jaylatch_node.streams.traffic import Traffic

READ_SIZE = 64 * 1024
INITIAL_BUFFER_SIZE = 4 * 1024
MAX_FRAME_SIZE = 32 * 1024 * 1024
"""Bytes; a larger frame closes the connection."""
MAX_UNSENT_SIZE = 64 * 1024 * 1024
"""Bytes; a connection with more bytes to write is closed."""
UNACKNOWLEDGED_TIMEOUT = 1.5
"""Seconds for which sent bytes may stay unacknowledged.

More than a voter's longest election timeout, so that packet loss alone closes no connection.
"""
SILENCE_TIMEOUT = 1.0
"""Seconds without a byte since the first unanswered call after which a connection is closed.

A process that is paused or slow for less than this still gets the messages behind the call, such as
the notice that gives a place back. A lease renewal that meets a dead connection is called again
within its 3.75 s. The kernel detects a peer that acknowledges nothing; this detects one whose
connection is held open by something in between.
"""
UNREAD_GRACE = 0.05
"""Seconds between the end of that time and the close, in which a process that was itself paused or
busy reads what has arrived."""

BodyHandler = Callable[["StreamConnection", int, Body], None]
"""Called for each frame that is not a reply, with the number to reply to (0: none is expected)."""

CallResult = Result[Body, StreamClosed | Unavailable]


class StreamConnection:
    """A connected stream. ``run`` reads until the stream closes."""

    def __init__(
        self,
        stream: IOStream,
        events: EventLog,
        traffic: Traffic,
        handler: BodyHandler,
        address: str = "",
    ) -> None:
        self._address = address
        self._stream = stream
        self._events = events
        self._traffic = traffic
        self._handler = handler
        self._packer = Packer()
        # The unpacker fills its whole initial buffer before it reuses any of it. A small one saves
        # memory in a process with a thousand connections that carry small frames.
        self._unpacker = Unpacker(max_buffer_size=MAX_FRAME_SIZE, read_size=INITIAL_BUFFER_SIZE)
        self._last_call = 0
        self._calls: dict[int, Future[CallResult]] = {}
        self._outgoing: list[bytes] = []
        # A peer that stops reading is disconnected before it uses more memory than this.
        stream.max_write_buffer_size = MAX_UNSENT_SIZE
        stream.set_nodelay(True)
        detect_dead_peer(stream.socket, UNACKNOWLEDGED_TIMEOUT)
        self._silent_since: float | None = None
        self._silence_timer: TimerHandle | None = None

    @property
    def address(self) -> str:
        """Return the address that was connected to, empty for an accepted stream."""
        return self._address

    @property
    def is_open(self) -> bool:
        """Return whether frames can still be sent."""
        return not self._stream.closed()

    def send(self, body: Body) -> None:
        """Send a body that needs no reply; dropped if the stream has closed."""
        self._send_frame(0, body)

    def reply(self, call: int, body: Body) -> None:
        """Send the reply to the frame that carried the number ``call``."""
        if call > 0:
            self._send_frame(-call, body)

    async def call(self, body: Body, timeout: float) -> CallResult:
        """Send a call and return its reply, or a failure after ``timeout`` seconds.

        A time-out leaves the connection open: the peer may be slow, and what is sent later must
        reach it behind the call.
        """
        if not self.is_open:
            return Err(StreamClosed("the stream has closed; the call was not sent"))
        self._last_call += 1
        number = self._last_call
        future: Future[CallResult] = get_running_loop().create_future()
        self._calls[number] = future
        self._send_frame(number, body)
        self._watch_silence()
        try:
            async with time_limit(timeout):
                return await future
        except TimeoutError:
            return Err(
                Unavailable(f"no reply within {timeout:.3f} s; the call may have been executed")
            )
        finally:
            self._calls.pop(number, None)

    async def run(self) -> None:
        """Read and dispatch frames until the stream closes."""
        try:
            while True:
                data = await self._stream.read_bytes(READ_SIZE, partial=True)
                self._silent_since = None
                self._unpacker.feed(data)
                messages = 0
                for payload in self._unpacker:
                    messages += 1
                    self._receive(decode_frame(payload))
                self._traffic.count_received(messages, len(data))
        except (StreamClosedError, BufferFull, UnpackException, msgspec.DecodeError, TypeError):
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Close the stream and fail the calls that wait for a reply."""
        self._stream.close()
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        for future in self._calls.values():
            if not future.done():
                future.set_result(Err(StreamClosed("the stream closed before the reply arrived")))

    def _watch_silence(self) -> None:
        """Start the time without a byte, unless an earlier unanswered call has started it."""
        if self._silent_since is not None:
            return
        self._silent_since = monotonic()
        if self._silence_timer is None:
            self._check_silence_in(SILENCE_TIMEOUT, is_last_check=False)

    def _check_silence_in(self, seconds: float, *, is_last_check: bool) -> None:
        self._silence_timer = get_running_loop().call_later(
            seconds, self._check_silence, is_last_check
        )

    def _check_silence(self, is_last_check: bool) -> None:
        self._silence_timer = None
        if self._silent_since is None or not self.is_open:
            return
        left = self._silent_since + SILENCE_TIMEOUT - monotonic()
        if left > 0:
            self._check_silence_in(left, is_last_check=False)
        elif not is_last_check:
            self._check_silence_in(UNREAD_GRACE, is_last_check=True)
        else:
            self.close()

    def _receive(self, frame: Frame) -> None:
        self._events.observe(wall(), frame.at, frame.counter)
        if frame.call >= 0:
            self._handler(self, frame.call, frame.body)
            return
        future = self._calls.get(-frame.call)
        if future is not None and not future.done():
            future.set_result(Success(frame.body))

    def _send_frame(self, call: int, body: Body) -> None:
        if not self.is_open:
            return
        at, counter = self._events.stamp
        payload = encode_frame(Frame(call, at, counter, body))
        if not self._outgoing:
            get_running_loop().call_soon(self._flush)
        self._outgoing.append(self._packer.pack(payload))

    def _flush(self) -> None:
        data = b"".join(self._outgoing)
        self._traffic.count_sent(len(self._outgoing), len(data))
        self._outgoing.clear()
        try:
            self._stream.write(data)
        except (StreamClosedError, StreamBufferFullError):
            self.close()
