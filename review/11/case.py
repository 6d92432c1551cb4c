"""A configuration changes the size of a model.

Groups of the former size go on serving new requests, and none of them is ever replaced: control
takes one out of the routes and waits until it is closed, but never orders that.
"""

import asyncio
import sys
from pathlib import Path
from time import monotonic

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from platform_standin import TROUBLE, NotRunError, Platform, Record, run_case  # noqa: E402
from streams import (  # noqa: E402
    ask_streams,
    model,
    model_document,
    start_engines,
    stream_route,
)

SERVERS = 6
OLD_SIZE, NEW_SIZE = 2, 3
APPLY = 2.0
"""Seconds of ``configApplyMs``."""
REQUESTS = 300
"""Requests after the change: half a minute, 60 times as long as a group needs to form."""


async def run(record: Record, platform: Platform) -> bool:
    """Return whether the rule was broken."""
    platform.start()
    routes = [stream_route("chat", "llm")]
    await platform.publish(model_document(3, routes, {"llm": [model("m0", OLD_SIZE)]}))
    engines = await start_engines(platform, record, "llm", ["m0"], SERVERS)
    await platform.wait_until_ready()
    await asyncio.sleep(8.0)
    first = await ask_streams(platform, record, "/chat/1", "before", "m0", 20)
    if first.count(200) < 15:
        raise NotRunError(f"the first streams got {first}")
    size = NEW_SIZE if TROUBLE else OLD_SIZE
    await platform.publish(model_document(4, routes, {"llm": [model("m0", size)]}))
    acknowledged_at = monotonic()
    await ask_streams(platform, record, "/chat/1", "after", "m0", REQUESTS)
    begun = [
        (at - acknowledged_at, group, members)
        for engine in engines
        for at, _, group, _, members in engine.begun
        if at - acknowledged_at > APPLY
    ]
    wrong = [item for item in begun if item[2] != size]
    last = max((at for at, _, _ in wrong), default=0.0)
    record.write(
        f"result: {len(wrong)} of {len(begun)} requests that began to run later than {APPLY} s"
        f" after the ack began in a group that hasn't the {size} servers of the model,"
        f" the last one {last:.1f} s after the ack"
    )
    if not begun:
        raise NotRunError("no request ran")
    return bool(wrong)


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER / "record.txt"))
