"""An answer of a target that is kept until it is complete."""

from asyncio import sleep

from jaylatch_core.clock import monotonic
from jaylatch_node.gateway.held import HeldKind, HeldMemory, Holding

ROOM_TIMEOUT = 1.5
"""Seconds for which a complete answer waits for memory: a target cuts off an answer that stays
unread for some seconds."""
ROOM_POLL = 0.05
"""Seconds between two checks whether there is memory."""


class KeptAnswer:
    """The parts of one answer, and the memory that they take."""

    def __init__(self, memory: HeldMemory) -> None:
        self._memory = memory
        self._parts: list[bytes] = []
        self._holding: Holding | None = None

    def add(self, part: bytes) -> bool:
        """Keep a further part; return whether there is memory for more."""
        self._parts.append(part)
        if self._holding is None:
            self._holding = self._memory.hold(HeldKind.WHOLE_ANSWER, lambda: None)
        self._holding.add(len(part))
        self._holding.complete()
        return self._memory.has_room()

    async def wait_for_room(self) -> bool:
        """Return True once there is memory for more, or False if there is none in time."""
        until = monotonic() + ROOM_TIMEOUT
        while not self._memory.has_room():
            if monotonic() >= until:
                return False
            await sleep(ROOM_POLL)
        return True

    def take(self) -> bytes:
        """Return the answer, whose parts are dropped; the memory counts until ``release``."""
        body = b"".join(self._parts)
        self._parts = []
        return body

    def release(self) -> None:
        """Keep nothing any longer."""
        self._parts = []
        if self._holding is not None:
            self._holding.release()
            self._holding = None
