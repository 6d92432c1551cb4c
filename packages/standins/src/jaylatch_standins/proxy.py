"""A fault-injecting TCP proxy that runs on the event loop of its test."""

import socket
from asyncio import gather, sleep

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

READ_SIZE = 64 * 1024
"""Bytes read at once."""
BLOCK_POLL_INTERVAL = 0.01
"""Seconds between two checks whether a direction is still blocked."""


class FaultProxy(TCPServer):
    """Forwards one port to one address, with faults that can be changed while it runs.

    ``delay`` is in seconds for each direction; ``blocks_forward`` and ``blocks_backward`` hold back
    all bytes of one direction without closing the connection (a one-way partition; both:
    half-open); ``refuses`` closes new connections; ``bytes_forwarded`` counts both directions;
    ``truncate_after`` closes each connection after that many bytes from the target (mid-frame);
    ``truncates_next`` forwards half of the next bytes from the target and closes the connection
    (mid-frame, once).
    """

    def __init__(self, target: str) -> None:
        super().__init__()
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._streams: set[IOStream] = set()
        self._stalled: set[IOStream] = set()
        self.delay = 0.0
        self.blocks_forward = False
        self.blocks_backward = False
        self.refuses = False
        self.truncate_after: int | None = None
        self.bytes_forwarded = 0
        self.truncates_next = False

    def heal(self) -> None:
        """End all faults and forward the bytes that were held back."""
        self.delay = 0.0
        self.blocks_forward = False
        self.blocks_backward = False
        self.refuses = False
        self.truncate_after = None
        self.truncates_next = False

    def stall_connections(self) -> None:
        """Hold back all bytes of the open connections permanently; new connections work."""
        self._stalled |= self._streams

    def drop_connections(self) -> None:
        """Close all open connections."""
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Forward one accepted connection until either side closes."""
        if self.refuses:
            stream.close()
            return
        upstream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self._streams |= {stream, upstream}
        try:
            await upstream.connect(self._target)
            # As the processes do. Otherwise a call that follows a one-way message waits 40 ms for
            # a delayed acknowledgement.
            stream.set_nodelay(True)
            upstream.set_nodelay(True)
            await gather(
                self._pump(stream, upstream, is_backward=False),
                self._pump(upstream, stream, is_backward=True),
            )
        except StreamClosedError:
            pass
        finally:
            stream.close()
            upstream.close()
            self._streams -= {stream, upstream}

    def _is_blocked(self, source: IOStream, is_backward: bool) -> bool:
        is_blocked = self.blocks_backward if is_backward else self.blocks_forward
        return is_blocked or (source in self._stalled and not source.closed())

    async def _pump(self, source: IOStream, sink: IOStream, *, is_backward: bool) -> None:
        forwarded = 0
        try:
            while True:
                data = await source.read_bytes(READ_SIZE, partial=True)
                if self.delay:
                    await sleep(self.delay)
                while self._is_blocked(source, is_backward):
                    await sleep(BLOCK_POLL_INTERVAL)
                if (
                    is_backward
                    and self.truncate_after is not None
                    and forwarded + len(data) > self.truncate_after
                ):
                    await sink.write(data[: max(self.truncate_after - forwarded, 0)])
                    return
                if is_backward and self.truncates_next:
                    self.truncates_next = False
                    await sink.write(data[: len(data) // 2])
                    return
                forwarded += len(data)
                self.bytes_forwarded += len(data)
                await sink.write(data)
        except StreamClosedError:
            pass
        finally:
            source.close()
            sink.close()
