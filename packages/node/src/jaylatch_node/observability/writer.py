"""Non-blocking writes of lines to a file descriptor."""

import os
from collections import deque
from select import PIPE_BUF, POLLOUT, poll

BUFFER_LIMIT = 256 * 1024
"""Bytes buffered for a slow reader: a second of lines at ten times the usual load."""


class LineWriter:
    """Buffers lines until they can be written; beyond its limit, drops and counts whole lines.

    A pipe that ``poll`` reports as writable takes PIPE_BUF bytes without blocking, so the
    descriptor's flags, which other processes may share, need no change.
    """

    def __init__(self, descriptor: int, limit: int = BUFFER_LIMIT) -> None:
        self._descriptor = descriptor
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._dropped = 0
        self._failures = 0
        self._poll = poll()
        self._poll.register(descriptor, POLLOUT)

    @property
    def is_empty(self) -> bool:
        """Return whether everything has been written."""
        return not self._lines

    @property
    def size(self) -> int:
        """Return the number of bytes that are not yet written."""
        return self._size

    def write(self, line: bytes) -> None:
        """Write ``line`` as soon as the descriptor accepts it."""
        if self._size + len(line) > self._limit:
            self.flush()
        if self._size + len(line) > self._limit:
            self._dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._lines and self._is_writable():
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line[:PIPE_BUF])
            except BlockingIOError:
                written = 0
            except OSError:
                # A full disk or a closed pipe: the line is lost and counted.
                self._size -= len(line)
                self._failures += 1
                continue
            self._size -= written
            if written < len(line):
                self._lines.appendleft(line[written:])
            if not written:
                return

    def take_losses(self) -> dict[str, int]:
        """Return the number of lines lost since the last call, by reason."""
        losses = {"the output is full": self._dropped, "the output failed": self._failures}
        self._dropped = self._failures = 0
        return {reason: count for reason, count in losses.items() if count}

    def _is_writable(self) -> bool:
        return bool(self._poll.poll(0))
