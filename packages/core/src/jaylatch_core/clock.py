"""Time sources. Deciding functions take ``now`` as an argument; only the runtime reads clocks."""

import time

MILLISECONDS_PER_SECOND = 1000


def monotonic() -> float:
    """Return seconds of the machine's monotonic clock; use for leases and timeouts."""
    return time.monotonic()


def wall() -> float:
    """Return seconds since the Unix epoch; use only for records that people read."""
    return time.time()
