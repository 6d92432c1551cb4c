"""A fault-injecting TCP proxy, run on the loop of the test that uses it."""

import socket
from asyncio import gather, sleep

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

READ_SIZE = 64 * 1024
BLOCK_POLL_INTERVAL = 0.01


class FaultProxy(TCPServer):
    """Forwards one port to one address, with faults that can be changed while it runs.

    ``delay`` is seconds each way; ``blocks_forward`` and ``blocks_backward`` hold back all bytes of one
    direction without closing (a one-way partition; both: half-open); ``refuses`` drops new
    connections; ``bytes_forwarded`` counts both directions; ``cut_after`` closes each connection
    after so many bytes back (mid-frame); ``cuts_next`` forwards half of the next bytes that come
    back and closes (mid-frame, once).
    """

    def __init__(self, target: str) -> None:
        super().__init__()
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._streams: set[IOStream] = set()
        self._silent: set[IOStream] = set()
        self.delay = 0.0
        self.blocks_forward = False
        self.blocks_backward = False
        self.refuses = False
        self.cut_after: int | None = None
        self.bytes_forwarded = 0
        self.cuts_next = False

    def heal(self) -> None:
        """End all faults; what was held back is forwarded, late."""
        self.delay = 0.0
        self.blocks_forward = False
        self.blocks_backward = False
        self.refuses = False
        self.cut_after = None
        self.cuts_next = False

    def stall_connections(self) -> None:
        """Hold back all bytes of the present connections for good; new ones work."""
        self._silent |= self._streams

    def drop_connections(self) -> None:
        """Close all present connections."""
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
            await gather(
                self._pump(stream, upstream, is_back=False),
                self._pump(upstream, stream, is_back=True),
            )
        except StreamClosedError:
            pass
        finally:
            stream.close()
            upstream.close()
            self._streams -= {stream, upstream}

    def _holds(self, source: IOStream, is_back: bool) -> bool:
        is_cut = self.blocks_backward if is_back else self.blocks_forward
        return is_cut or (source in self._silent and not source.closed())

    async def _pump(self, source: IOStream, sink: IOStream, *, is_back: bool) -> None:
        passed = 0
        try:
            while True:
                data = await source.read_bytes(READ_SIZE, partial=True)
                if self.delay:
                    await sleep(self.delay)
                while self._holds(source, is_back):
                    await sleep(BLOCK_POLL_INTERVAL)
                if is_back and self.cut_after is not None and passed + len(data) > self.cut_after:
                    await sink.write(data[: max(self.cut_after - passed, 0)])
                    return
                if is_back and self.cuts_next:
                    self.cuts_next = False
                    await sink.write(data[: len(data) // 2])
                    return
                passed += len(data)
                self.bytes_forwarded += len(data)
                await sink.write(data)
        except StreamClosedError:
            pass
        finally:
            source.close()
            sink.close()
