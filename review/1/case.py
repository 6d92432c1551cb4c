"""Control nodes without a vote form a second quorum when the seeds name them.

The order of events: five of the eight control nodes are voters; the settings files name the other
three as seeds; these are stopped and started in turn; each then takes the seeds for the voters of
a first start, and they elect a leader of their own beside the one that serves.
"""

import os
import sys
from asyncio import run, sleep
from json import loads
from pathlib import Path
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import (  # noqa: E402
    CONTROL_PORT,
    KEY,
    NAMMIBAR_GROWN,
    SERVER_PORT,
    Answer,
    CannotRunError,
    Machines,
    Operator,
    Record,
    Server,
    ask,
    call,
    document,
    restart,
    wait_until_served,
)

ZONES = tuple(f"is-south-{letter}" for letter in "abcd" for _ in range(2))
TOLERATED_LOSSES = 2
VOTERS = 2 * TOLERATED_LOSSES + 1
OTHER_KEY = "key-two"
ROLL_GAP = 2.0
SETTLE_TIME = 10.0
OBSERVED = 4.0
"""Seconds."""
APPLY, REVOKE = (int(NAMMIBAR_GROWN[name]) / 1000 for name in ("configApplyMs", "revokeMs"))


def read_voters(machines: Machines) -> set[str]:
    """Return the machines that are voters, from what the leader has logged."""
    changes = []
    for ip in machines.ips:
        for line in machines.log_of(ip, "control").splitlines():
            if '"message": "voters"' in line:
                change = loads(line)
                if "Success" in change["outcome"]:
                    changes.append((change["asctime"], change["voters"]))
    if not changes:
        return set()
    return {voter.partition(":")[0] for voter in max(changes)[1]}


async def wait_for_voters(machines: Machines) -> set[str]:
    """Wait until as many machines are voters as the deployment needs."""
    for _ in range(200):
        voters = read_voters(machines)
        if len(voters) == VOTERS:
            return voters
        await sleep(0.2)
    raise CannotRunError(f"the voters are {sorted(read_voters(machines))}")


async def count_old_reads(machines: Machines, version: int, record: Record) -> int:
    """Read the configuration at each control node; return how many give an older version."""
    old = 0
    for address in machines.controls:
        answer: Answer = await call("GET", address, "/v1/config")
        found = loads(answer.body)["version"] if answer.status == 200 else None
        record.write(f"read     config at {address}: {answer.status}, version {found}")
        if found is not None and found < version:
            record.write(f"CONFIG: {address} answers a read with version {found}")
            old += 1
    return old


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    machines = Machines(record, ZONES, TOLERATED_LOSSES, NAMMIBAR_GROWN)
    servers: list[Server] = []
    try:
        machines.start()
        for number, zone in enumerate(ZONES[::2]):
            address = f"{machines.network}.{100 + number}:{SERVER_PORT}"
            server = Server(f"i-{zone}", "orders", zone, address, machines.controls, record)
            await server.start()
            servers.append(server)
        operator = Operator(machines.controls, record)
        await sleep(3.0)
        keys = {"name": "tenant-one", "apiKeys": [KEY, OTHER_KEY], "priority": 1}
        await operator.order("PUT", "/v1/config", document(1, tenants=[keys]))
        await wait_until_served(machines, record)
        voters = await wait_for_voters(machines)
        others = [ip for ip in machines.ips if ip not in voters]
        record.write(f"voters   {sorted(voters)}; others {others}")

        if has_trouble:
            machines.seeds = [f"{ip}:{CONTROL_PORT}" for ip in others]
            record.write(f"the settings name the seeds {machines.seeds}")
        for ip in others:
            await restart(machines, ip, record)
            await sleep(ROLL_GAP)
        await sleep(SETTLE_TIME)

        # The operator takes a key away, and calls a node that has just been restarted first.
        left = {"name": "tenant-one", "apiKeys": [OTHER_KEY], "priority": 1}
        first = machines.ips.index(others[0])
        body = document(2, tenants=[left])
        acknowledged_at = await operator.order("PUT", "/v1/config", body, first)
        record.write("version 2 is acknowledged")
        await sleep(max(APPLY, REVOKE) + 0.5)
        old_reads = await count_old_reads(machines, 2, record)
        revoked_runs = 0
        until = monotonic() + OBSERVED
        number = 0
        while monotonic() < until:
            for front in machines.fronts:
                number += 1
                attempt = f"revoked-{number}"
                answer = await ask(front, attempt, "/stock/1", 1.5)
                record.write(f"answered {attempt} by {front} with {answer.status}")
                await sleep(0.02)
        runs = {attempt for server in servers for _, attempt in server.runs}
        revoked_runs = sum(attempt.startswith("revoked-") for attempt in runs)
        record.write(
            f"CONFIG: {old_reads} control nodes answered a read with an older version;"
            f" {revoked_runs} of {number} requests with a key that was taken away ran, all"
            f" sent later than {REVOKE:.0f} s after the acknowledgement (at {acknowledged_at:.0f})"
        )
        return not old_reads and not revoked_runs
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
