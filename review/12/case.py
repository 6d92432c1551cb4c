"""A configuration replaces a model by another one and adds a route for it.

Control never ends the groups of the former model, so no server becomes free, and no group of the
new model is formed: all requests on the new route are refused for good.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from platform_standin import (  # noqa: E402
    TROUBLE,
    NotRunError,
    Platform,
    Record,
    free_ports,
    route,
    run_case,
)
from server_standin import Server  # noqa: E402
from streams import (  # noqa: E402
    ask_orders,
    ask_streams,
    model,
    model_document,
    start_engines,
    stream_route,
)

SERVERS = 6
SETTLE = 30.0
"""Seconds from the ack to the requests that count; a group forms in 1 s here."""
REQUESTS = 60


async def run(record: Record, platform: Platform) -> bool:
    """Return whether the rule was broken."""
    platform.start()
    order = route("order", "unsafe", "shop")
    chat, chat_2 = stream_route("chat", "llm"), stream_route("chat-2", "llm")
    await platform.publish(model_document(3, [order, chat], {"llm": [model("m0", 2)]}))
    await start_engines(platform, record, "llm", ["m0", "m1"], SERVERS)
    ip = platform.address(11)
    shop = Server(record, "shop-1", "shop", f"{ip}:{free_ports(ip, 1)[0]}", platform.controls())
    await shop.start()
    await platform.wait_until_ready()
    await asyncio.sleep(8.0)
    first = await ask_streams(platform, record, "/chat/1", "before", "m0", 20)
    if first.count(200) < 15:
        raise NotRunError(f"the first streams got {first}")
    new = "m1" if TROUBLE else "m0"
    await platform.publish(model_document(4, [order, chat_2], {"llm": [model(new, 2)]}))
    await asyncio.sleep(SETTLE)
    orders, streams = await asyncio.gather(
        ask_orders(platform, record, "order", REQUESTS),
        ask_streams(platform, record, "/chat-2/1", "added", new, REQUESTS),
    )
    served_first, served_added = orders.count(200), streams.count(200)
    record.write(
        f"result: {SETTLE:.0f} s after the ack {served_added} of {REQUESTS} requests on the"
        f" added route are served, and {served_first} of {REQUESTS} on the first route"
    )
    if served_first < REQUESTS / 2:
        raise NotRunError("the first route is not served")
    return 4 * served_added < served_first


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER / "record.txt"))
