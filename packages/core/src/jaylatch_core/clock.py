"""Time sources. Decision functions take ``now`` as an argument; only the runtime reads clocks."""

import time

MILLISECONDS_PER_SECOND = 1000


def monotonic() -> float:
    """Return seconds since the machine booted; use for leases and timeouts.

    The clock includes time spent suspended, so a lease can expire during a suspend.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the Unix epoch; use only for records that people read."""
    return time.time()
