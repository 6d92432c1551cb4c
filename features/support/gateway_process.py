"""A gateway in a process of its own, with the targets that are given as KIND=ADDRESS.

Usage: python -m features.support.gateway_process MEMORY_LIMIT KIND=ADDRESS...
Prints the address for callers.
"""

import logging
import sys
from asyncio import Event, run

import msgspec
from features.support.gateway import GatewayHarness, ScriptedTarget, make_route, offer_slots

from jaylatch_core.deployment import RequestKind
from jaylatch_core.settings import GatewaySettings

SLOTS = 1000


async def never(*arguments: object) -> bool:
    """Stand for the script of a target in another process."""
    raise NotImplementedError


async def serve(memory_limit: int, targets: dict[RequestKind, str]) -> None:
    """Serve until the process is killed."""
    logging.disable()
    settings = GatewaySettings(evidence_warm_up=0.001, memory_limit=memory_limit)
    harness = GatewayHarness(settings)
    harness.start()
    kinds = {
        kind: [ScriptedTarget(f"target-{kind.value}", never, address)]
        for kind, address in targets.items()
    }
    routes = [msgspec.structs.replace(make_route(kind), timeout=60.0) for kind in kinds]
    harness.grant(routes, kinds)
    offer_slots(harness, SLOTS)
    print(harness.address, flush=True)
    await Event().wait()


if __name__ == "__main__":
    pairs = (text.split("=") for text in sys.argv[2:])
    run(serve(int(sys.argv[1]), {RequestKind(kind): address for kind, address in pairs}))
