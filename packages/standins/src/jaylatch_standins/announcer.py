"""Periodic announcement of a stand-in target to the agent of its instance."""

from asyncio import sleep
from contextlib import suppress

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError

ANNOUNCE_INTERVAL = 0.5
"""Seconds."""


class Announcement(msgspec.Struct):
    """The body of ``POST /announce``."""

    target: str
    kind: str
    address: str
    checks_fencing: bool
    service: str = ""


async def announce_forever(agent: str, announcement: Announcement) -> None:
    """Post ``announcement`` to the agent at ``agent`` (``IP:port``) until cancelled."""
    client = AsyncHTTPClient()
    body = msgspec.json.encode(announcement)
    while True:
        with suppress(HTTPError, OSError):
            await client.fetch(f"http://{agent}/announce", method="POST", body=body)
        await sleep(ANNOUNCE_INTERVAL)
