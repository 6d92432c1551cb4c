"""Load of the target: its concurrency limit and the running attempts of each entry."""

from jaylatch_core.ids import AttemptId
from jaylatch_core.messages.requests import ModelWork, StartAttempt
from jaylatch_decisions.admission import AdaptiveLimit, AttemptSample
from jaylatch_decisions.routing import has_room
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.streams import StreamConnection

BACKLOG_RETENTION = 0.5
"""Seconds for which an entry counts as competing for the target after it reported a backlog."""
SAMPLE_TOKENS = 8
"""Tokens after which an attempt is sampled; its end would come too late for the limit."""


class _RunningAttempt:
    """A running attempt. Times are seconds of the monotonic clock."""

    def __init__(
        self, now: float, connection: StreamConnection, start: StartAttempt, in_flight: int
    ) -> None:
        self.connection = connection
        self.work = start.work
        self.started_at = now
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        self.tokens = 0
        self.in_flight = in_flight
        self.is_suspect = start.is_suspect
        self.is_sampled = False


class LoadController:
    """Counts the running attempts and adapts the concurrency limit to their speed."""

    def __init__(self, board: Blackboard, adapts_limit: bool) -> None:
        self._board = board
        self._adapts_limit = adapts_limit
        self._limit = AdaptiveLimit()
        self._running: dict[AttemptId, _RunningAttempt] = {}
        self._backlog_at: dict[StreamConnection, float] = {}

    @property
    def limit(self) -> int:
        """Return how many attempts the target may run at once."""
        ceiling = self._board.grant.policy().target_concurrency
        return self._limit.value(ceiling) if self._adapts_limit else ceiling

    @property
    def token_time(self) -> float:
        """Return the seconds between two tokens; 0 while unknown."""
        return self._limit.token_time

    @property
    def character_time(self) -> float:
        """Return the prefill time in seconds for each character of a prompt."""
        return self._limit.character_time

    def has_room(self, now: float, connection: StreamConnection) -> bool:
        """Return whether the entry behind ``connection`` may start an attempt."""
        return has_room(
            self.in_flight_of(connection),
            self._board.member.in_flight,
            self.limit,
            self.competing_entries(now, connection),
        )

    def begin(self, now: float, connection: StreamConnection, start: StartAttempt) -> None:
        """Count the start of an attempt."""
        self._board.member.in_flight += 1
        if start.has_backlog:
            self._backlog_at[connection] = now
        self._running[start.attempt] = _RunningAttempt(
            now, connection, start, self._board.member.in_flight
        )

    def count_tokens(self, now: float, attempt: AttemptId, tokens: int) -> None:
        """Count tokens of a running attempt."""
        record = self._running.get(attempt)
        if record is None or not tokens:
            return
        record.first_token_at = record.first_token_at or now
        record.last_token_at = now
        record.tokens += tokens
        if record.tokens >= SAMPLE_TOKENS and not record.is_sampled:
            self._sample(record)

    def end(self, attempt: AttemptId, is_complete: bool) -> None:
        """Count the end of an attempt and sample it if its answer is complete."""
        self._board.member.in_flight -= 1
        record = self._running.pop(attempt, None)
        if record is not None and is_complete and not record.is_sampled:
            self._sample(record)

    def _sample(self, record: _RunningAttempt) -> None:
        """Record a running or ended completion as a sample of the limit, once."""
        if not isinstance(record.work, ModelWork):
            return
        record.is_sampled = True
        time_to_first_token = record.first_token_at - record.started_at
        duration = record.last_token_at - record.started_at
        token_time = (duration - time_to_first_token) / max(record.tokens - 1, 1)
        missing = max(record.work.max_tokens - record.work.resume_from - record.tokens, 0)
        sample = AttemptSample(
            len(record.work.prompt),
            record.tokens,
            time_to_first_token,
            duration,
            duration + missing * token_time,
            record.in_flight,
        )
        self._limit.record(sample, self._board.grant.policy().target_concurrency)

    def has_suspect(self) -> bool:
        """Return whether a request that the quarantine suspects is running."""
        return any(record.is_suspect for record in self._running.values())

    def forget(self, connection: StreamConnection) -> None:
        """Discard the backlog report of an entry whose connection has closed."""
        self._backlog_at.pop(connection, None)

    def competing_entries(self, now: float, connection: StreamConnection) -> int:
        """Return how many entries compete for the target, including that of ``connection``."""
        oldest = now - BACKLOG_RETENTION
        others = (at for other, at in self._backlog_at.items() if other is not connection)
        return 1 + sum(at >= oldest for at in others)

    def in_flight_of(self, connection: StreamConnection) -> int:
        """Return how many of the running attempts came over ``connection``."""
        return sum(record.connection is connection for record in self._running.values())
