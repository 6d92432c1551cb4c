"""Condition of a log's disk: one write at a time, its duration, its failures and the next attempt.

The module decides when a voter must go on without its disk, and when the disk is tried again.
"""

from collections.abc import Callable
from enum import Enum
from typing import TypeVar

import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.exceptions import StorageCorrupt, StorageFailed
from jaylatch_node.storage import DiskWorker

SLOW_FRACTION = 0.5
"""Fraction of the election timeout after which a write counts as slow. All messages of a leader
wait for its write, so its followers would elect another one after the whole timeout."""
STALL_TIMEOUTS = 4
"""Election timeouts after which a write counts as stalled: the voter then leaves its election or
leadership in any case."""
MAX_STALL_TIMEOUTS = 32
"""Bound of the limit above, which doubles with each write that outlasts it and then succeeds. Where
all disks are that slow, no other voter can lead either, and each one gave up before its write."""
FIRST_RETRY_PAUSE = 0.1
MAX_RETRY_PAUSE = 2.0
"""Seconds between two attempts at a disk that fails; each pause is twice the one before."""

T = TypeVar("T")


class DiskState(str, Enum):
    """Condition of a disk: a slow one takes too long for a write, a failed one refuses it."""

    USABLE = "usable"
    SLOW = "slow"
    FAILED = "failed"


class DiskCondition(msgspec.Struct, frozen=True):
    """State of the disk of one log, the error, and the wall-clock time since when it holds."""

    state: DiskState
    error: str
    since: float


class LogDisk:
    """The disk as one log sees it."""

    def __init__(self, worker: DiskWorker, election_timeout: float) -> None:
        self._worker = worker
        self._limit = SLOW_FRACTION * election_timeout
        self._min_stall_limit = self._stall_limit = STALL_TIMEOUTS * election_timeout
        self._max_stall_limit = MAX_STALL_TIMEOUTS * election_timeout
        self._started_at: float | None = None
        self.slow_duration = 0.0
        self._retry_pause = FIRST_RETRY_PAUSE
        self._retry_at = 0.0
        self.failure: StorageFailed | StorageCorrupt | None = None
        self.condition = DiskCondition(DiskState.USABLE, "", wall())

    @property
    def is_busy(self) -> bool:
        """Return whether a write is under way."""
        return self._started_at is not None

    @property
    def limit(self) -> float:
        """Return the seconds after which a write is slow."""
        return self._limit

    @property
    def slow_text(self) -> str:
        """Return the description of a write that takes too long."""
        return f"a write took longer than {self._limit:.3g} s"

    def is_withheld(self, now: float) -> bool:
        """Return whether the voter must do without the disk, and note a write that takes long."""
        if self._started_at is not None and now >= self._started_at + self._limit:
            if self.failure is None:
                self._set(DiskState.SLOW, self.slow_text)
            return True
        return self.failure is not None

    def is_slow_only(self, now: float) -> bool:
        """Return whether no attempt has failed, and the write under way is not stalled yet."""
        is_stalled = self._started_at is not None and now >= self._started_at + self._stall_limit
        return self.failure is None and not is_stalled

    def may_retry(self, now: float) -> bool:
        """Return whether the next attempt after a failure is due."""
        return self.failure is not None and not self.is_busy and now >= self._retry_at

    def write(
        self,
        operation: Callable[[], Result[T, StorageFailed]],
        done: Callable[[Result[T, StorageFailed]], None],
    ) -> None:
        """Run an operation on the worker thread; ``done`` gets its result on the loop."""
        self._started_at = monotonic()

        def finish(result: Result[T, StorageFailed]) -> None:
            self.note_result(monotonic(), result)
            done(result)

        self._worker.run(operation, finish)

    def note_result(
        self,
        now: float,
        result: Result[T, StorageFailed | StorageCorrupt] | Result[T, StorageFailed],
    ) -> None:
        """Note how an operation ended."""
        started_at, self._started_at = self._started_at, None
        if not is_successful(result):
            failure = result.failure()
            self.failure = failure
            self._retry_at = now + self._retry_pause
            self._retry_pause = min(2 * self._retry_pause, MAX_RETRY_PAUSE)
            self._set(DiskState.FAILED, failure.detail)
            return
        self.failure = None
        self._retry_pause = FIRST_RETRY_PAUSE
        self._note_duration(0.0 if started_at is None else now - started_at)

    def _note_duration(self, duration: float) -> None:
        """Note how long a write took that has succeeded."""
        # One quick write between slow ones does not make the disk a quick one.
        self.slow_duration /= 2
        if self.slow_duration < self._limit:
            self.slow_duration = 0.0
        if duration < self._limit:
            self._stall_limit = max(self._stall_limit / 2, self._min_stall_limit)
            self._set(DiskState.USABLE, "")
            return
        self.slow_duration = max(self.slow_duration, min(duration, self._stall_limit))
        if duration >= self._stall_limit:
            self._stall_limit = min(2 * self._stall_limit, self._max_stall_limit)
        self._set(DiskState.SLOW, self.slow_text)

    def _set(self, state: DiskState, error: str) -> None:
        if state is not self.condition.state:
            self.condition = DiskCondition(state, error, wall())
