"""What a gateway process holds for its callers and targets: the sum, its bound, and the drops."""

import logging
from asyncio import Future, TimerHandle, get_running_loop
from collections import Counter
from collections.abc import Callable
from enum import Enum

from tornado.iostream import IOStream

from jaylatch_core.clock import monotonic
from jaylatch_core.log_records import ReaderDropped
from jaylatch_decisions.readers import (
    NEW_REQUEST_FRACTION,
    Reader,
    choose_dropped,
    is_behind,
    is_overdue,
)
from jaylatch_node.gateway.metrics import HeldMetrics
from jaylatch_node.observability import log_record
from jaylatch_node.sockets import unacknowledged_size

CHECK_INTERVAL = 0.05
"""Seconds between two looks at the connections that have something to read. The time for which a
caller that has caught up still waits is at most this."""

_log = logging.getLogger("jaylatch.gateway")


class HeldKind(Enum):
    """What is held."""

    BODY = "body"
    """A caller's request, until it is answered."""
    WHOLE_ANSWER = "whole_answer"
    """A target's answer that is sent when it is complete."""
    UNSENT_ANSWER = "unsent_answer"
    UNSENT_REQUEST = "unsent_request"


class DropReason(Enum):
    """Why a connection was dropped."""

    MEMORY = "memory"
    BEHIND = "behind"


DropHandler = Callable[[], None]
"""Ends the connection whose bytes are dropped."""


def unsent_size(stream: IOStream) -> int:
    """Return the bytes that were written to ``stream`` and not taken by the kernel."""
    if stream.closed():
        return 0
    return stream._total_write_index - stream._total_write_done_index  # noqa: SLF001


def read_size(stream: IOStream) -> int:
    """Return the bytes that the other end of ``stream`` has acknowledged.

    The kernel takes further bytes only once a third of its buffer is free. What it has taken would
    not change for seconds while the other end reads slowly.
    """
    written: int = stream._total_write_done_index  # noqa: SLF001
    return written - unacknowledged_size(stream.socket)


class Holding:
    """The bytes that are held for one connection."""

    def __init__(self, memory: "HeldMemory", key: int, kind: HeldKind, drop: DropHandler) -> None:
        self._memory = memory
        self._stream: IOStream | None = None
        self._unwritten: Callable[[], int] = int
        self._taken = 0
        self._is_ended = False
        self._caught_up: Future[None] | None = None
        self.key = key
        self.kind = kind
        self.drop = drop
        self.size = 0
        self.unread = 0
        self.read_at = monotonic()
        self.behind_since = 0.0

    def add(self, size: int) -> None:
        """Hold ``size`` more bytes, which have just arrived and are not complete."""
        self.read_at = monotonic()
        self._resize(self.size + size, self.unread + size)

    def complete(self) -> None:
        """Record that what is held waits for nothing more from its sender."""
        self.unread = 0

    def watch(self, stream: IOStream, unwritten: Callable[[], int] = int) -> None:
        """Hold the bytes that ``stream`` has not sent, from now on.

        ``unwritten`` returns the bytes that are held elsewhere and follow on the stream.
        """
        if self._stream is not stream:
            self._stream = stream
            self._unwritten = unwritten
            self._taken = read_size(stream)
            self.read_at = monotonic()
        self.update(monotonic())
        if self.unread:
            self._memory.watch(self)

    def update(self, now: float) -> bool:
        """Look at the stream; return whether it still has bytes to send."""
        if self._stream is None:
            return False
        size = unsent_size(self._stream)
        taken = read_size(self._stream)
        if taken != self._taken or not self.size:
            self._taken, self.read_at = taken, now
        self._resize(size, size + self._unwritten())
        if not is_behind(size, was_behind=True):
            self._continue()
        if self._is_ended and not size:
            self.release()
        return self.unread > 0

    def wait_until_read(self) -> "Future[None] | None":
        """Return what resolves once the reader has caught up, or None if it is not behind."""
        if self._caught_up is None:
            if not is_behind(self.size, was_behind=False):
                return None
            self.behind_since = monotonic()
            self._caught_up = get_running_loop().create_future()
        return self._caught_up

    def is_overdue(self, now: float) -> bool:
        """Return whether this reader has kept its target waiting for too long."""
        return self._caught_up is not None and is_overdue(now, self.behind_since, self.read_at)

    def end(self) -> None:
        """Release this holding as soon as the stream has sent all its bytes."""
        self._is_ended = True
        if not self.size:
            self.release()

    def release(self) -> None:
        """Hold nothing more."""
        self._stream = None
        self._resize(0, 0)
        self._continue()
        self._memory.forget(self)

    def _continue(self) -> None:
        """Let the target be read again. Whoever waited for that may have been cancelled."""
        if self._caught_up is not None and not self._caught_up.done():
            self._caught_up.set_result(None)
        self._caught_up = None

    def _resize(self, size: int, unread: int) -> None:
        self._memory.count(self.kind, size - self.size)
        self.size, self.unread = size, unread


class HeldMemory:
    """All that one process holds. ``bound`` is the limit of the sum in bytes (0: none)."""

    def __init__(self, bound: int, metrics: HeldMetrics) -> None:
        self._bound = bound
        self._metrics = metrics
        self._sums: Counter[HeldKind] = Counter()
        self._holdings: dict[int, Holding] = {}
        self._watched: set[Holding] = set()
        self._last_key = 0
        self._searched_at = 0.0
        self._timer: TimerHandle | None = None

    @property
    def total(self) -> int:
        """Return the sum of all that is held."""
        return self._sums.total()

    def hold(self, kind: HeldKind, drop: DropHandler) -> Holding:
        """Return a holding of no bytes; ``drop`` ends its connection for lack of memory."""
        self._last_key += 1
        holding = Holding(self, self._last_key, kind, drop)
        self._holdings[holding.key] = holding
        return holding

    def has_room_for_request(self) -> bool:
        """Return whether the body of a new request may be held."""
        return self._has_room(int(self._bound * NEW_REQUEST_FRACTION))

    def has_room(self) -> bool:
        """Return whether more may be held."""
        return self._has_room(self._bound)

    def _has_room(self, bound: int) -> bool:
        """Return whether less than ``bound`` is held, after those that do not read were dropped."""
        if not bound or self.total < bound:
            return True
        now = monotonic()
        if now < self._searched_at + CHECK_INTERVAL:
            return False
        self._searched_at = now
        readers = [
            Reader(holding.key, holding.unread, holding.read_at)
            for holding in self._holdings.values()
            if holding.unread
        ]
        for key in choose_dropped(now, self.total - bound + 1, readers):
            if key in self._holdings:
                self._drop(now, self._holdings[key], DropReason.MEMORY)
        return self.total < bound

    def count(self, kind: HeldKind, change: int) -> None:
        """Count a change of what is held."""
        if change:
            self._sums[kind] += change
            self._metrics.record_held(kind.value, self._sums[kind])

    def watch(self, holding: Holding) -> None:
        """Look at a connection regularly until it has nothing to read."""
        self._watched.add(holding)
        if self._timer is None:
            self._timer = get_running_loop().call_later(CHECK_INTERVAL, self._check)

    def forget(self, holding: Holding) -> None:
        """Stop looking at a holding."""
        self._holdings.pop(holding.key, None)
        self._watched.discard(holding)

    def stop(self) -> None:
        """Stop looking at the connections."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        now = monotonic()
        self._timer = None
        for holding in tuple(self._watched):
            if not holding.update(now):
                self._watched.discard(holding)
            elif holding.is_overdue(now):
                self._drop(now, holding, DropReason.BEHIND)
        self.has_room()
        if self._watched:
            self._timer = get_running_loop().call_later(CHECK_INTERVAL, self._check)

    def _drop(self, now: float, holding: Holding, reason: DropReason) -> None:
        self._metrics.count_dropped(holding.kind.value, reason.value)
        log_record(
            _log,
            ReaderDropped(
                kind=holding.kind.value,
                reason=reason.value,
                held=holding.size,
                silent=round(now - holding.read_at, 3),
                total=self.total,
            ),
        )
        holding.release()
        holding.drop()
