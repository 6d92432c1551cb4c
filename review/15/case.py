"""A configuration raises the limit of a request's head; clients use it on the channels they keep.

A gateway reads the next head of a kept channel with the limit that was in force when the request
before it ended, however long ago that is. It closes the channel and answers nothing.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from platform_standin import (  # noqa: E402
    HOST,
    KEY,
    TROUBLE,
    NotRunError,
    Platform,
    Record,
    document,
    free_ports,
    read_message,
    route,
    run_case,
)
from server_standin import Server  # noqa: E402

OLD_LIMIT, NEW_LIMIT = 16384, 32768
"""``maxHeaderBytes`` of the two versions."""
NOTE_BYTES = 20000
"""Bytes of one header of the clients' later requests: allowed by the newer version only."""
APPLY = 2.0
"""Seconds of ``configApplyMs``."""
REST = 5.0
"""Seconds from the ack of the newer version to the next requests, a third of ``idleTimeoutMs``."""
CLIENTS = 12


class Client:
    """A client that keeps its channel."""

    def __init__(self, name: str, front: str, record: Record) -> None:
        self._name = name
        self._front = front
        self._record = record

    async def connect(self) -> None:
        """Open the channel."""
        host, _, port = self._front.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def ask(self, number: int, note: str = "") -> int:
        """Send one order; return the status of its answer, 0 if the channel ends without one."""
        attempt = f"{self._name}-{number}"
        head = (
            f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: 2500\r\nAuthorization: Bearer {KEY}\r\n"
            + (f"Order-Note: {note}\r\n" if note else "")
            + "Content-Length: 5\r\n\r\n"
        ).encode()
        try:
            self._writer.write(head + b"order")
            line, _, _ = await asyncio.wait_for(read_message(self._reader), 3.0)
            status = int(line.split()[1])
            result = f"answered {status}"
        except (OSError, EOFError, TimeoutError) as error:
            status = 0
            result = f"channel ended without an answer: {type(error).__name__}"
        self._record.write(f"client: {attempt}, a head of {len(head)} bytes, {result}")
        return status

    def close(self) -> None:
        """Close the channel."""
        self._writer.close()


async def run(record: Record, platform: Platform) -> bool:
    """Return whether the rule was broken."""
    clients: list[Client] = []
    platform.start()
    routes = [route("order", "unsafe", "shop")]
    limits = {
        "maxHeaderBytes": OLD_LIMIT if TROUBLE else NEW_LIMIT,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    await platform.publish(document(3, routes, limits=limits))
    address = platform.address(10)
    server = Server(
        record, "i-1", "shop", f"{address}:{free_ports(address, 1)[0]}", platform.controls()
    )
    await server.start()
    await platform.wait_until_ready()
    await asyncio.sleep(4.0)
    clients = [Client(f"order-{n}", platform.front(), record) for n in range(CLIENTS)]
    for client in clients:
        await client.connect()
    first = [await client.ask(1) for client in clients]
    if first != [200] * CLIENTS:
        raise NotRunError(f"the first orders got {first}")
    if TROUBLE:
        await platform.publish(document(4, routes, limits=limits | {"maxHeaderBytes": NEW_LIMIT}))
    acknowledged_at = record.now
    await asyncio.sleep(REST)
    since = record.now - acknowledged_at
    kept = [await client.ask(2, "n" * NOTE_BYTES) for client in clients]
    fresh = Client("order-new-channel", platform.front(), record)
    clients.append(fresh)
    await fresh.connect()
    other = await fresh.ask(1, "n" * NOTE_BYTES)
    record.write(
        f"result: {kept.count(0)} of {CLIENTS} orders on kept channels, sent {since:.3f} s"
        f" after the ack, got no answer; the same order on a new channel got {other}"
    )
    return kept.count(0) > 0 and since > APPLY


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER / "record.txt"))
