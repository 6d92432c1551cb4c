"""An operator's order that reached a frozen control node takes effect after a later order.

The order of events: the operator withdraws an evacuation, the first node that it calls stands
still, and another node acknowledges; the operator orders the evacuation again; then the first node
wakes and reads the old call, whose sender has long given up.
"""

import os
import signal
import sys
from asyncio import create_task, run, sleep
from pathlib import Path
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import (  # noqa: E402
    BOUNDS,
    SERVER_PORT,
    CannotRunError,
    Machines,
    Operator,
    Record,
    Server,
    ask,
    document,
    wait_until_served,
)

ZONES = ("pirkanmaa-a", "pirkanmaa-b", "pirkanmaa-c")
FREEZE = 3.5
"""Seconds; the dose of node_freeze in the site file."""
REQUEST_PAUSE = 0.05
OBSERVED = 6.0
"""Seconds."""
EVACUATE, OUTER, CONTACT = (
    int(BOUNDS[name]) / 1000 for name in ("evacuateMs", "outerMs", "contactMs")
)


async def send_all_the_time(machines: Machines, frozen: str, record: Record) -> None:
    """Send a lookup after another through the machines that are never disturbed."""
    fronts = [front for front in machines.fronts if not front.startswith(f"{frozen}:")]
    number = 0
    while True:
        number += 1
        attempt = f"lookup-{number}"
        answer = await ask(fronts[number % len(fronts)], attempt, "/stock/1", 1.5)
        record.write(f"answered {attempt} with {answer.status} by {fronts[number % len(fronts)]}")
        await sleep(REQUEST_PAUSE)


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    machines = Machines(record, ZONES)
    servers: list[Server] = []
    try:
        machines.start()
        for number, zone in enumerate(ZONES * 2):
            address = f"{machines.network}.{100 + number}:{SERVER_PORT}"
            servers.append(
                Server(f"i-{zone}-{number}", "orders", zone, address, machines.controls, record)
            )
            await servers[-1].start()
        operator = Operator(machines.controls, record)
        await sleep(2.0)
        await operator.order("PUT", "/v1/config", document())
        await wait_until_served(machines, record)
        await sleep(1.0)
        leader = machines.leader()
        frozen = next(ip for ip in reversed(machines.ips) if ip != leader)
        position = machines.ips.index(frozen)
        other = machines.ips.index(leader)
        create_task(send_all_the_time(machines, frozen, record))

        # A gateway prefers its own zone, so the zone is that of a machine that stays in touch.
        evacuated = ZONES[other]
        path = f"/v1/drain/{evacuated}"
        acknowledged_at = await operator.order("POST", path, first=other)
        await sleep(EVACUATE + 1.0)
        zone_servers = [server for server in servers if server.zone == evacuated]
        if any(at > acknowledged_at + EVACUATE for server in zone_servers for at, _ in server.runs):
            raise CannotRunError("the first evacuation has no effect")

        frozen_at = monotonic()
        if has_trouble:
            machines.signal(frozen, signal.SIGSTOP)
        await operator.order("DELETE", path, first=position)
        await sleep(0.2)
        acknowledged_at = await operator.order("POST", path, first=other)
        record.write(f"the evacuation of {evacuated} is acknowledged")
        await sleep(max(frozen_at + FREEZE - monotonic(), 0.0))
        woken_at = monotonic()
        if has_trouble:
            machines.signal(frozen, signal.SIGCONT)

        counted_from = max(acknowledged_at + EVACUATE + OUTER, woken_at + CONTACT)
        await sleep(counted_from + OBSERVED - monotonic())
        late = [at for server in zone_servers for at, _ in server.runs if at > counted_from]
        total = sum(at > counted_from for server in servers for at, _ in server.runs)
        record.write(
            f"EVAC: {len(late)} of {total} requests reached {evacuated} later than"
            f" {EVACUATE + OUTER:.0f} s after the acknowledgement"
        )
        if not total:
            raise CannotRunError("nothing was served")
        return not late
    finally:
        for server in servers:
            server.stop()
        machines.stop()


def main() -> int:
    """Play the case; return the exit code."""
    record = Record(Path(__file__).parent / "record.txt")
    try:
        has_held = run(play(record, os.environ.get("TROUBLE") != "0"))
    except CannotRunError as reason:
        record.write(f"the case could not run: {reason}")
        return 2
    print("the rule held" if has_held else "the rule was broken")
    return 0 if has_held else 1


if __name__ == "__main__":
    sys.exit(main())
