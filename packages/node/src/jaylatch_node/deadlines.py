"""Conversion of deadlines to the clock of the event loop."""

from asyncio import get_running_loop

from jaylatch_core.clock import monotonic


def loop_time(moment: float) -> float:
    """Convert ``moment``, in seconds of ``monotonic``, to the clock of the event loop.

    The event loop's clock excludes time spent suspended.
    """
    return get_running_loop().time() + (moment - monotonic())
