"""A server's first check-ins arrive seconds late, after its departure was acknowledged.

The control leader acknowledges the departure of a server that it does not know yet, and forgets it.
A late check-in then lists the server for new requests again.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from platform_standin import (  # noqa: E402
    KEY,
    TROUBLE,
    NotRunError,
    Platform,
    Record,
    call,
    document,
    free_ports,
    route,
    run_case,
)
from proxy_standin import DelayProxy  # noqa: E402
from server_standin import Server  # noqa: E402

CHECK_IN_DELAY = 5.0
"""Seconds by which the check-ins of the new server arrive late."""
DEPARTS_AFTER = 3.5
"""Seconds from the start of the new server to its departure."""
DRAIN = 2.0
"""Seconds of ``drainMs``."""
SERVES_FOR = 3.2
"""Seconds for which the server goes on serving after the acknowledgement of its departure."""
REQUEST_INTERVAL = 0.02


class LeavingServer(Server):
    """Records when each request reaches it."""

    acknowledged_at = float("inf")

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.late: list[float] = []

    async def answer(self, line, headers, body, writer):  # type: ignore[no-untyped-def]
        if headers.get("expect-instance", self.name) == self.name and "attempt-id" in headers:
            since = self.record.now - self.acknowledged_at
            if since > DRAIN:
                self.late.append(since)
                text = f"{headers['attempt-id']} reaches it {since:.3f} s after the ack"
                self.record.write(f"server {self.name}: {text}")
        await super().answer(line, headers, body, writer)


async def send_orders(
    platform: Platform, record: Record, until: float, answers: dict[str, int]
) -> None:
    """Send orders at a steady rate, and note the answer to each in ``answers``."""

    async def send(number: int) -> None:
        fields = {
            "Attempt-Id": f"order-{number}",
            "Deadline-Ms": "2500",
            "Authorization": f"Bearer {KEY}",
        }
        answer = await call(platform.front(), "POST", "/order/1", b"order", fields, limit=2.5)
        answers[f"order-{number}"] = answer.status
        record.write(f"client: order-{number} answered {answer.status} {answer.error}")

    tasks = []
    number = 0
    while record.now < until:
        number += 1
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(REQUEST_INTERVAL)
    await asyncio.gather(*tasks)


async def run(record: Record, platform: Platform) -> bool:
    """Return whether the rule was broken."""
    platform.start()
    await platform.publish(document(3, [route("order", "unsafe", "shop")]))
    ports = free_ports(platform.address(10), 4)
    stays = Server(
        record, "i-stays", "shop", f"{platform.address(10)}:{ports[0]}", platform.controls()
    )
    await stays.start()
    await platform.wait_until_ready()
    await asyncio.sleep(4.0)
    delay = CHECK_IN_DELAY if TROUBLE else 0.0
    proxies = [
        DelayProxy(f"{platform.address(10)}:{port}", control, lambda: delay)
        for port, control in zip(ports[1:], platform.controls(), strict=True)
    ]
    for proxy in proxies:
        await proxy.start()
    leaves = LeavingServer(
        record,
        "i-leaves",
        "shop",
        f"{platform.address(11)}:{free_ports(platform.address(11), 1)[0]}",
        [proxy.address for proxy in proxies],
    )
    await leaves.start()
    record.write(f"server i-leaves: starts; its check-ins arrive {delay} s late")
    answers: dict[str, int] = {}
    traffic = asyncio.create_task(
        send_orders(platform, record, record.now + DEPARTS_AFTER + SERVES_FOR + 1.0, answers)
    )
    await asyncio.sleep(DEPARTS_AFTER)
    leaves.controls = platform.controls()
    answer = await leaves.depart()
    if answer.status != 200:
        raise NotRunError(f"the departure got {answer.status}")
    leaves.acknowledged_at = record.now
    record.write("server i-leaves: its departure is acknowledged with 200")
    await asyncio.sleep(SERVES_FOR)
    leaves.end()
    record.write("server i-leaves: exits")
    await traffic
    broken = [item for item in leaves.runs if answers.get(item) != 200]
    record.write(f"orders that it began and that were not answered with success: {broken}")
    last = max(leaves.late, default=0.0)
    record.write(
        f"result: {len(leaves.late)} orders reached it over {DRAIN} s after the ack,"
        f" the last one {last:.3f} s after it; {len(stays.runs)} ran at the other server"
    )
    if not stays.runs:
        raise NotRunError("no order ran at all")
    return bool(leaves.late)


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER / "record.txt"))
