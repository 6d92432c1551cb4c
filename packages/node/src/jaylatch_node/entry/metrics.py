"""Metrics of request handling at an entry."""

from jaylatch_core.exceptions import RequestRefused
from jaylatch_node.observability import Metrics


class RequestMetrics:
    """Counters of answers and refusals, and timers of answers."""

    def __init__(self, metrics: Metrics) -> None:
        self._answered = metrics.counter("requests_answered", "Requests answered whole.")
        self._refused = metrics.counter(
            "requests_refused", "Refusals by what they say of the run.", ("outcome", "code")
        )
        self._incomplete = metrics.counter(
            "answers_torn", "Streamed answers that ended with an error event.", ("outcome", "code")
        )
        self._disconnected = metrics.counter(
            "callers_disconnected", "Callers that closed the connection before their answer."
        )
        self._first_token = metrics.timer(
            "time_to_first_token", "From the request's headers to the first token written."
        )
        self._duration = metrics.timer(
            "request_duration", "From the request's headers to the end of a whole answer."
        )

    def record_answer(self, seconds: float) -> None:
        """Count a complete answer and record its duration."""
        self._answered.inc()
        self._duration.record(seconds)

    def record_first_token(self, seconds: float) -> None:
        """Record the time to first token."""
        self._first_token.record(seconds)

    def record_refusal(self, refusal: RequestRefused) -> None:
        """Count a refusal."""
        self._refused.labels(refusal.outcome.value, refusal.code).inc()

    def record_incomplete(self, refusal: RequestRefused) -> None:
        """Count an incomplete stream that ended with an error event."""
        self._incomplete.labels(refusal.outcome.value, refusal.code).inc()

    def record_disconnect(self) -> None:
        """Count a caller that disconnected before its answer."""
        self._disconnected.inc()
