"""A configuration adds a route of streams to a service without an engine, as the page shows one.

A gateway looks for the servers of any request that names a model among the heads of groups, even
where the service of its route has none, so all requests on the added route are refused for good.
"""

import asyncio
import sys
from asyncio import StreamWriter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from platform_standin import (  # noqa: E402
    TROUBLE,
    NotRunError,
    Platform,
    Record,
    free_ports,
    run_case,
)
from server_standin import Server  # noqa: E402
from streams import (  # noqa: E402
    ask_streams,
    model,
    model_document,
    start_engines,
    stream_route,
)

SERVERS = 6
SETTLE = 10.0
"""Seconds from the ack to the requests that count, five times ``configApplyMs``."""
REQUESTS = 60
EVENTS = 5


class StreamServer(Server):
    """A server of a plain service that answers each request with a few events."""

    async def answer(
        self, line: str, headers: dict[str, str], body: bytes, writer: StreamWriter
    ) -> None:
        """Run a request; answer it with its events."""
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            self.send(writer, 421, attempt, b"", "Not-Executed: 1\r\n")
            return
        self.runs.append(attempt)
        self.record.write(f"server {self.name}: runs {attempt}")
        events = "".join(f"id: {number}\ndata: {attempt}\n\n" for number in range(EVENTS))
        self.send(writer, 200, attempt, events.encode(), "Content-Type: text/event-stream\r\n")


async def run(record: Record, platform: Platform) -> bool:
    """Return whether the rule was broken."""
    platform.start()
    first = stream_route("chat", "llm")
    models = {"llm": [model("m0", 2)]}
    await platform.publish(model_document(3, [first], models))
    await start_engines(platform, record, "llm", ["m0"], SERVERS)
    ip = platform.address(11)
    plain = [
        StreamServer(record, f"plain-{n}", "plain", f"{ip}:{port}", platform.controls())
        for n, port in enumerate(free_ports(ip, 3))
    ]
    for server in plain:
        await server.start()
    await platform.wait_until_ready()
    await asyncio.sleep(8.0)
    before = await ask_streams(platform, record, "/chat/1", "before", "m0", 20)
    if before.count(200) < 15:
        raise NotRunError(f"the first streams got {before}")
    added = stream_route("chat-2", "plain" if TROUBLE else "llm")
    await platform.publish(model_document(4, [first, added], models))
    await asyncio.sleep(SETTLE)
    old_route, new_route = await asyncio.gather(
        ask_streams(platform, record, "/chat/1", "first", "m0", REQUESTS),
        ask_streams(platform, record, "/chat-2/1", "added", "m0", REQUESTS),
    )
    served_first, served_added = old_route.count(200), new_route.count(200)
    reached = sum(len(server.runs) for server in plain)
    record.write(
        f"result: {SETTLE:.0f} s after the ack {served_added} of {REQUESTS} requests on the"
        f" added route are served, and {served_first} of {REQUESTS} on the first route;"
        f" {reached} reached the plain service"
    )
    if served_first < REQUESTS / 2:
        raise NotRunError("the first route is not served")
    return 4 * served_added < served_first


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER / "record.txt"))
