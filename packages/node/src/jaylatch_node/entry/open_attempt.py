"""Entry-side state of an attempt: ordering, flow control and checksum of its answer."""

from asyncio import Future, get_running_loop, timeout_at
from collections import deque
from collections.abc import Callable
from zlib import crc32

from jaylatch_core.enums import Outcome
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.requests import (
    AttemptChunk,
    AttemptCredit,
    AttemptEnd,
    AttemptRefused,
    ResumeAttempt,
    StartAttempt,
)
from jaylatch_node.deadlines import loop_time

CREDIT_STEP_BYTES = 64 * 1024
"""Consumed bytes after which a credit is sent to the agent."""

AttemptItem = AttemptChunk | AttemptEnd | AttemptRefused
CreditSender = Callable[["OpenAttempt", AttemptCredit], None]


class OpenAttempt:
    """Receives an attempt's chunks in order and drops late, out-of-order and duplicate frames.

    The agent sends at most one window ahead of the chunks consumed with ``next_item``. With
    ``waits_until_deadline`` the attempt waits for an unresponsive agent, because its work must not
    be run elsewhere.
    """

    def __init__(
        self,
        instance: InstanceId,
        start: StartAttempt,
        now: float,
        send_credit: CreditSender,
        *,
        waits_until_deadline: bool,
    ) -> None:
        self._instance = instance
        self._start = start
        self._send_credit = send_credit
        self._waits_until_deadline = waits_until_deadline
        self._items: deque[AttemptItem] = deque()
        self._waiter: Future[None] | None = None
        self._next_chunk = 0
        self._uncredited_bytes = 0
        self._checksum = 0
        self._is_done = False
        self._is_sent = False
        self._has_gap = False
        self.last_sent_at = now
        self.is_acknowledged = False
        self.dropped = 0

    @property
    def waits_until_deadline(self) -> bool:
        """Return whether the attempt waits for an unresponsive agent until its deadline."""
        return self._waits_until_deadline

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
        """Record that the start message has been passed to a connection."""
        self._is_sent = True

    async def next_item(self, deadline: float) -> AttemptItem:
        """Return the received chunks joined into one; the last item is the end or a refusal.

        Raises TimeoutError if nothing is received before ``deadline`` (on the monotonic clock).
        """
        if not self._items:
            self._waiter = get_running_loop().create_future()
            async with timeout_at(loop_time(deadline)):
                await self._waiter
        first = self._items.popleft()
        if not isinstance(first, AttemptChunk):
            return first
        chunk = self._merge(first)
        self._uncredited_bytes += len(chunk.data)
        if self._uncredited_bytes >= CREDIT_STEP_BYTES:
            self._uncredited_bytes = 0
            self._send_credit(self, AttemptCredit(chunk.attempt, chunk.number + 1))
        return chunk

    def _merge(self, first: AttemptChunk) -> AttemptChunk:
        """Join a chunk with those queued after it, to reduce the cost per chunk under load."""
        parts = [first.data]
        tokens, number = first.tokens, first.number
        while self._items and isinstance(self._items[0], AttemptChunk):
            chunk = self._items.popleft()
            assert isinstance(chunk, AttemptChunk)
            parts.append(chunk.data)
            tokens += chunk.tokens
            number = chunk.number
        if len(parts) == 1:
            return first
        return AttemptChunk(first.attempt, number, tokens, b"".join(parts))

    def final_credit(self) -> AttemptCredit | None:
        """Return the credit for all received chunks if the attempt has ended, otherwise None.

        It lets the agent discard the chunks that it need not keep for a resume. An attempt without
        chunks needs no credit.
        """
        if self._next_chunk and self._is_done:
            return AttemptCredit(self._start.attempt, self._next_chunk)
        return None

    def acknowledge(self) -> None:
        """Record that the agent has received the attempt."""
        self.is_acknowledged = True

    def accept_chunk(self, chunk: AttemptChunk) -> bool:
        """Accept a chunk; return False for the first one after a gap, which must be requested."""
        self.is_acknowledged = True
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
        self._put(chunk)
        return True

    def accept_end(self, end: AttemptEnd) -> bool:
        """Accept the end; return False if earlier chunks are missing and must be requested."""
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
        """Accept a refusal as the last item."""
        if self._is_done:
            self.dropped += 1
        else:
            self._finish(refusal)

    def fail(self, code: str, outcome: Outcome, detail: str) -> None:
        """End the attempt with a refusal by this entry."""
        if not self._is_done:
            self._finish(AttemptRefused(self._start.attempt, code, outcome, detail))

    def resume_message(self) -> ResumeAttempt:
        """Return the message that requests the answer from the first missing chunk."""
        start = self._start
        return ResumeAttempt(start.attempt, start.incarnation, start.clock, self._next_chunk)

    def _finish(self, item: AttemptEnd | AttemptRefused) -> None:
        self._is_done = True
        self._put(item)

    def _put(self, item: AttemptItem) -> None:
        self._items.append(item)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
