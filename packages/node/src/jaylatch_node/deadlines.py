"""Limits of time on the event loop."""

from asyncio import Timeout, get_running_loop, timeout

from jaylatch_core.clock import monotonic


def loop_time(moment: float) -> float:
    """Convert ``moment``, in seconds of ``monotonic``, to the clock of the event loop.

    The event loop's clock excludes time spent suspended.
    """
    return get_running_loop().time() + (moment - monotonic())


def time_limit(seconds: float) -> Timeout:
    """Return a context manager that raises ``TimeoutError`` after ``seconds``.

    ``wait_for`` of Python 3.11 drops a cancellation that arrives as what it waits for ends; this
    does not.
    """
    return timeout(seconds)
