"""An attempt as its entry sees it: checks the numbering and the checksum of the answer."""

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

AttemptItem = AttemptChunk | AttemptEnd | AttemptRefused
CreditSender = Callable[["OpenAttempt", AttemptCredit], None]


class OpenAttempt:
    """Puts an attempt's chunks in order and drops what is late, crossed or doubled.

    The agent sends no more than a window ahead of what has been taken with ``next_item``. An
    attempt that is ``is_patient`` waits for a silent agent until its deadline, because its work may
    not be run elsewhere.
    """

    def __init__(
        self,
        instance: InstanceId,
        start: StartAttempt,
        now: float,
        send_credit: CreditSender,
        *,
        is_patient: bool,
    ) -> None:
        self._instance = instance
        self._start = start
        self._send_credit = send_credit
        self._is_patient = is_patient
        self._items: deque[AttemptItem] = deque()
        self._waiter: Future[None] | None = None
        self._next_chunk = 0
        self._uncredited = 0
        self._checksum = 0
        self._is_done = False
        self._is_sent = False
        self._has_gap = False
        self.asked_at = now
        self.is_acknowledged = False
        self.dropped = 0

    @property
    def is_patient(self) -> bool:
        """Return whether the attempt outlasts the silence of its agent."""
        return self._is_patient

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

    async def next_item(self, deadline: float) -> AttemptItem:
        """Return what has come of the answer as one chunk, or the end or refusal as the last item.

        Raises TimeoutError if nothing comes before ``deadline`` (monotonic clock of the loop).
        """
        if not self._items:
            self._waiter = get_running_loop().create_future()
            async with timeout_at(loop_time(deadline)):
                await self._waiter
        first = self._items.popleft()
        if not isinstance(first, AttemptChunk):
            return first
        chunk = self._merge(first)
        self._uncredited += len(chunk.data)
        if self._uncredited >= CREDIT_STEP_BYTES:
            self._uncredited = 0
            self._send_credit(self, AttemptCredit(chunk.attempt, chunk.number + 1))
        return chunk

    def _merge(self, first: AttemptChunk) -> AttemptChunk:
        """Join a chunk with those that wait behind it, so that a busy entry does less for each."""
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
        """Return the message that frees the agent of a whole answer, or None if it is not whole."""
        if self._next_chunk and self._is_done:
            return AttemptCredit(self._start.attempt, self._next_chunk)
        return None

    def acknowledge(self) -> None:
        """Note that the agent has the attempt."""
        self.is_acknowledged = True

    def accept_chunk(self, chunk: AttemptChunk) -> bool:
        """Take a chunk; returns False if chunks before it are missing and must be resumed."""
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
        self._put(item)

    def _put(self, item: AttemptItem) -> None:
        self._items.append(item)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
