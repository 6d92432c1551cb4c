"""A stand-in server of a plain service, as the pages describe it."""

import json
from asyncio import (
    CancelledError,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    sleep,
    start_server,
)
from collections.abc import Awaitable, Callable
from time import time

from platform_standin import HEARTBEAT_MS, Answer, Record, call, read_message

Work = Callable[["Server", str, dict[str, str], bytes], Awaitable[tuple[int, bytes]]]


class Server:
    """Sends check-ins and runs requests. ``runs`` holds the attempt ids that it began to run."""

    def __init__(
        self, record: Record, name: str, service: str, address: str, controls: list[str]
    ) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.address = address
        self.controls = controls
        self.state = "ready"
        self.born = int(time() * 1000)
        self.sequence = 0
        self.runs: list[str] = []
        self.work_s = 0.09
        self._tasks: list[Task[None]] = []
        self._writers: set[StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and check in periodically."""
        host, _, port = self.address.rpartition(":")
        self._listener = await start_server(self._serve, host, int(port))
        self._tasks.append(create_task(self._check_in()))

    def end(self) -> None:
        """End: the listener and all channels close."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()

    def describe(self) -> bytes:
        """Return the body of the next check-in."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "addr": self.address,
                "zone": "zone-0",
                "version": "v1",
                "slots": 6,
                "state": self.state,
                "coldLeftMs": 0,
                "seq": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def check_in(self, body: bytes | None = None) -> Answer:
        """Send one check-in to the control processes in turn, until one acknowledges it."""
        answer = Answer(0, {}, b"")
        content = body or self.describe()
        for address in self.controls:
            answer = await call(address, "PUT", f"/v1/instances/{self.name}", content)
            if answer.status == 200:
                break
        return answer

    async def depart(self) -> Answer:
        """Send the departure, and no more check-ins."""
        for task in self._tasks:
            task.cancel()
        answer = Answer(0, {}, b"")
        for address in self.controls:
            answer = await call(address, "DELETE", f"/v1/instances/{self.name}")
            if answer.status == 200:
                break
        return answer

    async def _check_in(self) -> None:
        while True:
            await self.check_in()
            await sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                await self.answer(line, headers, body, writer)
        except (CancelledError, OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self, line: str, headers: dict[str, str], body: bytes, writer: StreamWriter
    ) -> None:
        """Run a request and answer it."""
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expect-instance", self.name)
        if expected != self.name:
            self.send(writer, 421, attempt, b"", "Not-Executed: 1\r\n")
            return
        if attempt:
            self.runs.append(attempt)
            self.record.write(f"server {self.name}: runs {attempt}")
        await sleep(self.work_s)
        self.send(writer, 200, attempt, b"done by " + self.name.encode())

    def send(
        self, writer: StreamWriter, status: int, attempt: str, body: bytes, extra: str = ""
    ) -> None:
        """Write one answer with the proof."""
        head = (
            f"HTTP/1.1 {status} Status\r\nAttempt-Id: {attempt}\r\n"
            f"Server-Stamp: {self.name}.{attempt}\r\nServer-Load: 1,0,6\r\n"
            f"{extra}Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
