"""Metrics of the request path at an entry."""

from jaylatch_core.exceptions import RequestRefused
from jaylatch_node.observability import Metrics


class RequestMetrics:
    """Counts what callers were told and times what they waited for."""

    def __init__(self, metrics: Metrics) -> None:
        self._answered = metrics.counter("requests_answered", "Requests answered whole.")
        self._refused = metrics.counter(
            "requests_refused", "Refusals by what they say of the run.", ("outcome", "code")
        )
        self._torn = metrics.counter(
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
        """Count a whole answer."""
        self._answered.inc()
        self._duration.record(seconds)

    def record_first_token(self, seconds: float) -> None:
        """Add the time to a first token."""
        self._first_token.record(seconds)

    def record_refusal(self, refusal: RequestRefused) -> None:
        """Count a refusal."""
        self._refused.labels(refusal.outcome.value, refusal.code).inc()

    def record_torn(self, refusal: RequestRefused) -> None:
        """Count a streamed answer that ended early, and said so."""
        self._torn.labels(refusal.outcome.value, refusal.code).inc()

    def record_disconnect(self) -> None:
        """Count a caller that has gone."""
        self._disconnected.inc()
