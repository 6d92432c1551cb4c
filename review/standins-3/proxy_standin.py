"""A proxy that delivers what a caller sends later by a fixed time, the end of its channel too."""

from asyncio import StreamReader, StreamWriter, create_task, open_connection, sleep, start_server
from collections.abc import Callable


class DelayProxy:
    """Forwards channels to ``target``. ``delay`` returns the seconds for a channel that opens."""

    def __init__(self, address: str, target: str, delay: Callable[[], float]) -> None:
        self.address = address
        self._target = target
        self._delay = delay

    async def start(self) -> None:
        """Accept channels."""
        host, _, port = self.address.rpartition(":")
        self._listener = await start_server(self._serve, host, int(port))

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        delay = self._delay()
        upstream, to_target = await open_connection(host, int(port))
        back = create_task(self._forward(upstream, writer, delay))
        try:
            await self._forward(reader, to_target, delay)
            await back
        except OSError:
            pass
        finally:
            writer.close()

    async def _forward(self, reader: StreamReader, writer: StreamWriter, delay: float) -> None:
        try:
            while data := await reader.read(65536):
                create_task(self._write_later(writer, data, delay))
            await sleep(delay)
        except OSError:
            await sleep(delay)
        finally:
            writer.close()

    async def _write_later(self, writer: StreamWriter, data: bytes, delay: float) -> None:
        await sleep(delay)
        if not writer.is_closing():
            writer.write(data)
