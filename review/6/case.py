"""The control quorum is lost for good when two of its machines are replaced in turn, as planned.

Two new machines serve control for longer than ``catchUpS``. Then two of the three first ones get
SIGTERM, one after the other, and end. Three machines with a disk run all the while.
"""

import asyncio
import os
import sys
from asyncio import sleep
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from standins_2 import ZONES, PlainServer, Record, System, plain_document, send_plain

FOLDER = Path(__file__).resolve().parent
START_LIMIT = 12.0
"""Seconds within which the first request must be served."""
SUCCESSOR_TIME = 8.0
"""Seconds for which the successors run before the first machine is removed; ``catchUpS`` is 4."""
BETWEEN = 2.0
"""Seconds between the end of the first removed machine and the SIGTERM of the second one."""
RECOVERY = 14.0
"""Seconds after the last event until the requests are counted; ``recoverS`` is 12."""
REQUESTS = 40
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def count_served(system: System) -> int:
    """Send the requests, a tenth of a second apart; return how many were answered with success."""
    served = 0
    for _ in range(REQUESTS):
        served += (await send_plain(system)).status == 200
        await sleep(0.1)
    return served


async def wait_until_served(system: System) -> bool:
    """Wait until a request is answered with success; return whether one was in time."""
    for _ in range(int(START_LIMIT / 0.5)):
        if (await send_plain(system)).status == 200:
            return True
        await sleep(0.5)
    return False


async def run_case(record: Record, system: System) -> int:
    """Return the exit code."""
    system.start()
    servers = [PlainServer(system, number, zone) for number, zone in enumerate(ZONES, 1)]
    await sleep(1.5)
    for server in servers:
        await server.start()
    if not await system.put_config(plain_document(7)):
        return 2
    if not await wait_until_served(system) or await count_served(system) < REQUESTS * 3 / 4:
        return 2
    removed = system.ips[:2]
    if TROUBLE:
        for _ in removed:
            system.add_core_machine()
    await sleep(SUCCESSOR_TIME)
    if not await system.put_config(plain_document(9)):
        return 2
    if TROUBLE:
        for ip in removed:
            await system.end_planned(ip)
            await sleep(BETWEEN)
    await sleep(RECOVERY)
    served = await count_served(system)
    version = None
    for _ in range(12):
        _, content = await system.read_config()
        version = content.get("version", version)
        await sleep(0.5)
    record.write(f"{served} of {REQUESTS} served; version read back: {version}")
    return 0 if version == 9 else 1


async def main() -> int:
    """Run the case with a new system."""
    record = Record(FOLDER / "record.txt")
    system = System(record)
    try:
        async with asyncio.timeout(115.0):
            return await run_case(record, system)
    except Exception as error:  # noqa: BLE001
        # An error of the script shows nothing of the rule.
        record.write(f"the case could not run: {error!r}")
        return 2
    finally:
        system.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
