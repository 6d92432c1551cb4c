"""Time sources. Deciding functions take ``now`` as an argument; only the runtime reads clocks."""

import time

MILLISECONDS_PER_SECOND = 1000


def monotonic() -> float:
    """Return seconds since the machine's start; use for leases and timeouts.

    The time for which the machine was suspended counts, so that a lease ends in it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the Unix epoch; use only for records that people read."""
    return time.time()
