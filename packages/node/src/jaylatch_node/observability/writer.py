"""Writes lines to a descriptor without ever waiting for its reader."""

import os
from collections import deque
from select import PIPE_BUF, POLLOUT, poll

BUFFER_LIMIT = 256 * 1024
"""Bytes kept for a reader that does not read: a second of lines at ten times the usual load."""


class LineWriter:
    """Keeps what cannot be written now; drops whole lines, and counts them, beyond its limit.

    A pipe that ``poll`` calls writable takes PIPE_BUF bytes without blocking, so the descriptor's
    flags, which other processes may share, stay as they are.
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
        """Return the bytes that wait to be written."""
        return self._size

    def write(self, line: bytes) -> None:
        """Write ``line`` as soon as the descriptor takes it."""
        if self._size + len(line) > self._limit:
            self.flush()
        if self._size + len(line) > self._limit:
            self._dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._lines and self._is_writable():
            line = self._lines.popleft()
            try:
                written = os.write(self._descriptor, line[:PIPE_BUF])
            except BlockingIOError:
                written = 0
            except OSError:
                # A full disk or a closed pipe: the line is lost, and counted.
                self._size -= len(line)
                self._failures += 1
                continue
            self._size -= written
            if written < len(line):
                self._lines.appendleft(line[written:])
            if not written:
                return

    def take_losses(self) -> dict[str, int]:
        """Return the lines lost since the last call, by the reason."""
        losses = {"the output is full": self._dropped, "the output failed": self._failures}
        self._dropped = self._failures = 0
        return {reason: count for reason, count in losses.items() if count}

    def _is_writable(self) -> bool:
        return bool(self._poll.poll(0))
