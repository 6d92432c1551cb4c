"""An agent's record of one attempt and of its delivery to the connected entries."""

from asyncio import Task
from collections import deque
from collections.abc import Callable
from zlib import crc32

from jaylatch_core.enums import Outcome
from jaylatch_core.ids import AttemptId
from jaylatch_core.messages.requests import (
    AttemptChunk,
    AttemptEnd,
    AttemptRefused,
    AttemptStarted,
)
from jaylatch_node.streams import StreamConnection

MAX_OUTSTANDING_BYTES = 256 * 1024
"""Limit of the bytes of an attempt sent to an entry that the entry has not yet forwarded."""

StartDescriber = Callable[[AttemptId, StreamConnection], AttemptStarted]


class _Watcher:
    """Delivery state of one connection. ``credit`` counts the chunks forwarded by its entry."""

    def __init__(self, connection: StreamConnection, next_chunk: int) -> None:
        self.connection = connection
        self.next_chunk = next_chunk
        self.credit = next_chunk
        self.outstanding = 0
        self.is_end_sent = False


class AttemptRecord:
    """One attempt. ``end`` is None while it runs; a barred attempt never ran.

    A watching connection gets no further chunk while its entry has not forwarded
    ``MAX_OUTSTANDING_BYTES``. With ``keeps_chunks`` all chunks are kept for a resume from the
    start; otherwise those that every watcher has forwarded are dropped.
    """

    def __init__(
        self,
        attempt: AttemptId,
        now: float,
        describe_start: StartDescriber,
        *,
        keeps_chunks: bool = True,
    ) -> None:
        self._attempt = attempt
        self._describe_start = describe_start
        self._keeps_chunks = keeps_chunks
        self._chunks: deque[AttemptChunk] = deque()
        self._first_chunk = 0
        self._checksum = 0
        self._watchers: dict[StreamConnection, _Watcher] = {}
        self.end: AttemptEnd | AttemptRefused | None = None
        self.task: Task[None] | None = None
        self.touched_at = now

    @property
    def is_abandoned(self) -> bool:
        """Return whether this is a running completion that no entry watches."""
        return self.end is None and self.is_model and not self._watchers

    @property
    def is_open(self) -> bool:
        """Return whether the attempt runs, or a watching entry has yet to get its end."""
        if self.end is None:
            return True
        is_delivered = isinstance(self.end, AttemptRefused)
        return not is_delivered and any(not item.is_end_sent for item in self._watchers.values())

    @property
    def is_model(self) -> bool:
        """Return whether this is a completion, which may be run again elsewhere."""
        return not self._keeps_chunks

    @property
    def chunk_count(self) -> int:
        """Return the number of chunks so far."""
        return self._first_chunk + len(self._chunks)

    def watch(self, connection: StreamConnection, next_chunk: int, now: float) -> None:
        """Send the present and future chunks from ``next_chunk`` on to a connection."""
        self.touched_at = now
        if next_chunk < self._first_chunk:
            detail = f"chunk {next_chunk} is no longer kept; continue in a new attempt"
            connection.send(AttemptRefused(self._attempt, "forgotten", Outcome.RAN, detail))
            return
        watcher = _Watcher(connection, next_chunk)
        self._watchers[connection] = watcher
        if self.end is None:
            connection.send(self._describe_start(self._attempt, connection))
        self._send_pending(watcher)

    def unwatch(self, connection: StreamConnection, now: float) -> None:
        """Stop sending to a connection."""
        if self._watchers.pop(connection, None) is not None:
            self.touched_at = now

    def credit(self, connection: StreamConnection, next_chunk: int) -> None:
        """Record that an entry has forwarded the chunks before ``next_chunk``."""
        watcher = self._watchers.get(connection)
        if watcher is None:
            return
        next_chunk = min(next_chunk, watcher.next_chunk)
        for number in range(watcher.credit, next_chunk):
            watcher.outstanding -= len(self._chunks[number - self._first_chunk].data)
        watcher.credit = max(watcher.credit, next_chunk)
        self._drop_chunks()
        self._send_pending(watcher)

    def emit(self, tokens: int, data: bytes) -> None:
        """Add a chunk."""
        if self.end is not None:
            return
        self._chunks.append(AttemptChunk(self._attempt, self.chunk_count, tokens, data))
        self._checksum = crc32(data, self._checksum)
        for watcher in self._watchers.values():
            self._send_pending(watcher)

    def finish(self, status: int, content_type: str) -> None:
        """End the attempt with a complete answer."""
        if self.end is None:
            self.end = AttemptEnd(
                self._attempt, self.chunk_count, self._checksum, status, content_type
            )
            for watcher in self._watchers.values():
                self._send_pending(watcher)

    def refuse(self, code: str, outcome: Outcome, detail: str) -> None:
        """End the attempt without a complete answer; its chunks are no longer needed."""
        if self.end is None:
            self.end = AttemptRefused(self._attempt, code, outcome, detail)
            for watcher in self._watchers.values():
                watcher.connection.send(self.end)

    def _send_pending(self, watcher: _Watcher) -> None:
        connection = watcher.connection
        if isinstance(self.end, AttemptRefused):
            connection.send(self.end)
            return
        while watcher.next_chunk < self.chunk_count and watcher.outstanding < MAX_OUTSTANDING_BYTES:
            chunk = self._chunks[watcher.next_chunk - self._first_chunk]
            watcher.next_chunk += 1
            watcher.outstanding += len(chunk.data)
            connection.send(chunk)
        if (
            watcher.next_chunk == self.chunk_count
            and self.end is not None
            and not watcher.is_end_sent
        ):
            watcher.is_end_sent = True
            connection.send(self.end)

    def _drop_chunks(self) -> None:
        if self._keeps_chunks:
            return
        keep_from = min(watcher.credit for watcher in self._watchers.values())
        while self._first_chunk < keep_from:
            self._chunks.popleft()
            self._first_chunk += 1
