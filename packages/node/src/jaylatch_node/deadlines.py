"""Times of the loop's own clock, for its timers."""

from asyncio import get_running_loop

from jaylatch_core.clock import monotonic


def loop_time(moment: float) -> float:
    """Return when the loop's clock will read what jaylatch's clock reads at ``moment``.

    The loop's clock does not count the time for which the machine was suspended.
    """
    return get_running_loop().time() + (moment - monotonic())
