"""Watches the target of a stream, and abandons it for a successor while it sends nothing."""

import logging
from asyncio import Task, TimerHandle, create_task, get_running_loop, sleep
from typing import Protocol

from jaylatch_core.clock import monotonic
from jaylatch_core.ids import InstanceId
from jaylatch_node.gateway.successor import SuccessorReservation
from jaylatch_node.targets import TargetConnection

_log = logging.getLogger("jaylatch.request")

SUCCESSOR_POLL = 0.2
"""Seconds between two searches for a successor of an unresponsive target; each may ask the owner of
the places."""


class WatchedAttempt(Protocol):
    """What the watchdog asks and tells the attempt."""

    @property
    def is_resumable(self) -> bool:
        """Return whether another target can go on with what the caller has received."""

    def idle_time(self, now: float) -> float:
        """Return the seconds since the last progress."""

    def suspicion_limit(self) -> float:
        """Return the seconds without progress after which the target is reported."""

    def response_timeout(self, is_lost: bool) -> float:
        """Return the seconds without progress after which a successor is sought."""

    def report_unresponsive(self, instance: InstanceId) -> None:
        """Report to control that a target is unresponsive."""

    def mark_abandoned(self, reason: str) -> None:
        """Record that the target was abandoned for another one, and why."""


class ResponseWatchdog:
    """Reports a target that sends nothing on a connection, and abandons it for a successor.

    Without a successor the target keeps the request: it may go on after its silence, while closing
    the connection would end the answer.
    """

    def __init__(
        self,
        attempt: WatchedAttempt,
        connection: TargetConnection,
        instance: InstanceId,
        successor: SuccessorReservation | None,
    ) -> None:
        self._attempt = attempt
        self._connection = connection
        self._instance = instance
        self._successor = successor
        self._is_reported = False
        self._is_lost = False
        self._search: Task[None] | None = None
        self._timer: TimerHandle
        self._check()

    def cancel(self) -> None:
        """Stop watching."""
        self._timer.cancel()
        if self._search is not None:
            self._search.cancel()

    def mark_lost(self) -> None:
        """Seek a successor soon, unless the target makes progress from now on."""
        self._is_lost = True
        if self._search is None:
            self._timer.cancel()
            self._check()

    def mark_recovered(self) -> bool:
        """Record progress; return whether control had taken the target for lost."""
        was_lost, self._is_lost = self._is_lost, False
        return was_lost

    def _check(self) -> None:
        """Report the target, or start to seek a successor, if it is silent for too long."""
        idle = self._attempt.idle_time(monotonic())
        suspicion = self._attempt.suspicion_limit()
        if idle < suspicion:
            self._is_reported = False
        elif not self._is_reported:
            self._is_reported = True
            self._attempt.report_unresponsive(self._instance)
        limit = self._response_timeout()
        if self._successor is not None and idle >= limit and self._attempt.is_resumable:
            self._search = create_task(self._seek_successor(self._successor))
            return
        wait = min((item - idle for item in (suspicion, limit) if item > idle), default=suspicion)
        self._timer = get_running_loop().call_later(wait, self._check)

    async def _seek_successor(self, successor: SuccessorReservation) -> None:
        """Abandon the target once a successor is reserved, unless it makes progress before."""
        while self._is_unresponsive():
            if await self._reserve(successor):
                if self._is_unresponsive():
                    self._attempt.mark_abandoned("lost" if self._is_lost else "silent")
                    self._connection.close()
                    return
                successor.release()
            await sleep(SUCCESSOR_POLL)
        self._search = None
        self._check()

    async def _reserve(self, successor: SuccessorReservation) -> bool:
        try:
            return await successor.reserve()
        except Exception:
            # The target keeps the request, and the search goes on.
            _log.exception("unexpected error in the search for a successor")
            return False

    def _is_unresponsive(self) -> bool:
        return self._attempt.idle_time(monotonic()) >= self._response_timeout()

    def _response_timeout(self) -> float:
        return self._attempt.response_timeout(self._is_lost)
