"""Thread that carries out the disk operations of a process's logs, so that the loop never waits.

The thread runs one operation at a time, in the order of submission. It touches only the store that
the operation belongs to and the operation's arguments, which the loop does not change afterwards.
The loop reads a store only while no operation of it is under way.
"""

from asyncio import get_running_loop
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from queue import SimpleQueue
from threading import Thread
from typing import Any, TypeVar

T = TypeVar("T")


class DiskWorker:
    """A daemon thread, because the end of the process must not wait for a disk that is stalled."""

    def __init__(self) -> None:
        self._operations: SimpleQueue[tuple[Callable[[], Any], Future[Any]] | None] = SimpleQueue()
        self._thread = Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def submit(self, operation: Callable[[], T]) -> "Future[T]":
        """Queue an operation; the future's callbacks run on the worker thread."""
        future: Future[T] = Future()
        self._operations.put((operation, future))
        return future

    def run(self, operation: Callable[[], T], done: Callable[[T], None]) -> None:
        """Queue an operation, and call ``done`` with its result on the running loop."""
        loop = get_running_loop()

        def deliver(future: "Future[T]") -> None:
            # A loop that has been closed meanwhile belongs to a process that ends.
            with suppress(RuntimeError):
                loop.call_soon_threadsafe(lambda: done(future.result()))

        self.submit(operation).add_done_callback(deliver)

    def stop(self, timeout: float) -> None:
        """End the thread after the queued operations; wait at most ``timeout`` seconds for it."""
        self._operations.put(None)
        self._thread.join(timeout)

    def _run(self) -> None:
        while (item := self._operations.get()) is not None:
            operation, future = item
            try:
                result = operation()
            except BaseException as error:
                future.set_exception(error)
            else:
                future.set_result(result)
