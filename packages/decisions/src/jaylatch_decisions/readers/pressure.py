"""Decides who is paused and who is dropped for lack of memory.

Load pattern: hundreds of callers that do not read their answers, or send their bodies slowly, or
targets that do not read their requests, all at once and beside others that read. Times are seconds
of the monotonic clock, sizes are bytes.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from jaylatch_core.units import KIBIBYTE, MEBIBYTE

BEHIND_SIZE = 256 * KIBIBYTE
"""Unsent bytes of an answer above which the target is not read: some seconds of a usual stream."""
CAUGHT_UP_SIZE = 192 * KIBIBYTE
"""Unsent bytes below which the target is read again."""
BEHIND_TIMEOUT = 2.0
"""Seconds without reading after which a caller is dropped for which a target waits."""
WAIT_LIMIT = 4.0
"""Seconds for which a target waits at once for a caller that reads: a target cuts off an answer
that stays unread for some seconds."""
STALL_TIME = 0.5
"""Seconds without reading after which a connection may be dropped for lack of memory: longer than
retransmissions of a lost packet take."""
BASE_MEMORY = 96 * MEBIBYTE
"""Memory of a gateway process that holds nothing for others: 60 to 80 MiB with the control role."""
HELD_FRACTION = 0.5
"""Part of the remaining memory for what is held; a body exists twice while it is put together."""
NEW_REQUEST_FRACTION = 0.75
"""Part of a process's bound that is for new requests; the rest is for the answers of those that
were taken, which would fail after they have run."""
LEAST_BOUND = 16 * MEBIBYTE
"""Least bound of a process, so that one answer of the largest size fits."""


@dataclass(frozen=True)
class Reader:
    """A connection, and what is held for it.

    ``unread`` is the part that it has yet to read (or to complete, for a body that it sends), and
    ``read_at`` the time at which it last did so.
    """

    key: int
    unread: int
    read_at: float


def process_bound(memory_limit: int) -> int:
    """Return the bound on the sum of all that is held, 0 for none."""
    if not memory_limit:
        return 0
    return max(int((memory_limit - BASE_MEMORY) * HELD_FRACTION), LEAST_BOUND)


def is_behind(unsent: int, was_behind: bool) -> bool:
    """Return whether the target of an answer with ``unsent`` bytes should not be read."""
    return unsent > (CAUGHT_UP_SIZE if was_behind else BEHIND_SIZE)


def is_overdue(now: float, behind_since: float, read_at: float) -> bool:
    """Return whether a caller that last read at ``read_at`` has kept its target waiting too long.

    One that reads slowly is not dropped before ``WAIT_LIMIT``.
    """
    silent_since = max(behind_since, read_at)
    return now - silent_since >= BEHIND_TIMEOUT or now - behind_since >= WAIT_LIMIT


def choose_dropped(now: float, excess: int, readers: Iterable[Reader]) -> list[int]:
    """Return the keys to drop, so that ``excess`` bytes become free if possible.

    Those go first that hold most bytes unread for longest. One that has read within ``STALL_TIME``
    is never chosen.
    """
    stalled = [
        reader for reader in readers if reader.unread > 0 and now - reader.read_at >= STALL_TIME
    ]
    stalled.sort(key=lambda reader: (-reader.unread * (now - reader.read_at), reader.key))
    chosen = []
    for reader in stalled:
        if excess <= 0:
            break
        chosen.append(reader.key)
        excess -= reader.unread
    return chosen
