"""An attempt as its entry sees it: checks the numbering and the checksum of the answer."""

from asyncio import Queue
from zlib import crc32

from jaylatch_core.enums import Outcome
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.requests import (
    AttemptChunk,
    AttemptEnd,
    AttemptRefused,
    ResumeAttempt,
    StartAttempt,
)

AttemptItem = AttemptChunk | AttemptEnd | AttemptRefused


class OpenAttempt:
    """Puts an attempt's chunks in order and drops what is late, crossed or doubled."""

    def __init__(self, instance: InstanceId, start: StartAttempt) -> None:
        self._instance = instance
        self._start = start
        self._items: Queue[AttemptItem] = Queue()
        self._next_chunk = 0
        self._checksum = 0
        self._is_done = False
        self._is_sent = False
        self._has_gap = False
        self.dropped = 0

    @property
    def instance(self) -> InstanceId:
        """Return the instance that runs the attempt."""
        return self._instance

    @property
    def start(self) -> StartAttempt:
        """Return the message that starts the attempt."""
        return self._start

    @property
    def is_done(self) -> bool:
        """Return whether the last item has been queued."""
        return self._is_done

    @property
    def is_sent(self) -> bool:
        """Return whether the start may have reached the agent."""
        return self._is_sent

    def mark_sent(self) -> None:
        """Note that the start has been handed to a connection."""
        self._is_sent = True

    async def next_item(self) -> AttemptItem:
        """Return the next chunk, or the end or refusal as the last item."""
        return await self._items.get()

    def accept_chunk(self, chunk: AttemptChunk) -> bool:
        """Take a chunk; returns False if chunks before it are missing and must be resumed."""
        if self._is_done or chunk.number < self._next_chunk:
            self.dropped += 1
            return True
        if chunk.number > self._next_chunk:
            self.dropped += 1
            is_new_gap = not self._has_gap
            self._has_gap = True
            return not is_new_gap
        self._has_gap = False
        self._next_chunk += 1
        self._checksum = crc32(chunk.data, self._checksum)
        self._items.put_nowait(chunk)
        return True

    def accept_end(self, end: AttemptEnd) -> bool:
        """Take the end; returns False if chunks before it are missing and must be resumed."""
        if self._is_done:
            self.dropped += 1
            return True
        if end.chunks > self._next_chunk:
            return False
        if end.checksum != self._checksum or end.chunks != self._next_chunk:
            self.fail("answer_torn", Outcome.RAN, "the answer does not match its checksum")
        else:
            self._finish(end)
        return True

    def accept_refusal(self, refusal: AttemptRefused) -> None:
        """Take a refusal as the last item."""
        if self._is_done:
            self.dropped += 1
        else:
            self._finish(refusal)

    def fail(self, code: str, outcome: Outcome, detail: str) -> None:
        """End the attempt from the entry's side."""
        if not self._is_done:
            self._finish(AttemptRefused(self._start.attempt, code, outcome, detail))

    def resume_message(self) -> ResumeAttempt:
        """Return the message that asks for what is missing."""
        start = self._start
        return ResumeAttempt(start.attempt, start.incarnation, start.clock, self._next_chunk)

    def _finish(self, item: AttemptEnd | AttemptRefused) -> None:
        self._is_done = True
        self._items.put_nowait(item)
