"""Metrics of the gateway."""

from jaylatch_decisions.targets.attempts import AttemptOutcome
from jaylatch_node.observability import Metrics


class GatewayMetrics:
    """Counters of requests, refusals and failed attempts, and the times of complete answers."""

    def __init__(self, metrics: Metrics) -> None:
        self._requests = metrics.counter(
            "gateway_requests", "Requests that were admitted, by route.", ("route",)
        )
        self._refusals = metrics.counter(
            "gateway_refusals", "Requests that the gateway answered itself, by kind.", ("kind",)
        )
        self._ranked_refusals = metrics.counter(
            "gateway_ranked_refusals",
            "Requests that got no place where requests wait by rank, by reason and rank.",
            ("reason", "rank"),
        )
        self._outcomes = metrics.counter(
            "gateway_failed_attempts", "Attempts without a whole answer, by outcome.", ("outcome",)
        )
        self._times = metrics.timer("gateway_request", "Time from arrival to the end of an answer.")

    def count_request(self, route: str) -> None:
        """Count an admitted request."""
        self._requests.labels(route).inc()

    def count_refusal(self, kind: str) -> None:
        """Count an answer of the gateway's own."""
        self._refusals.labels(kind).inc()

    def count_ranked_refusal(self, reason: str, rank: int) -> None:
        """Count a request that got no place where requests wait by rank."""
        self._ranked_refusals.labels(reason, str(rank)).inc()

    def count_outcome(self, outcome: AttemptOutcome) -> None:
        """Count an attempt without a complete answer."""
        self._outcomes.labels(outcome.value).inc()

    def record_time(self, seconds: float) -> None:
        """Add the time of an ended request."""
        self._times.record(seconds)


class HeldMetrics:
    """What the gateway holds for its callers and targets, and what it has dropped."""

    def __init__(self, metrics: Metrics) -> None:
        self._held = metrics.gauge(
            "gateway_held_bytes", "Bytes held for callers and targets, by kind.", ("kind",)
        )
        self._dropped = metrics.counter(
            "gateway_readers_dropped",
            "Connections dropped because they did not read (or send), by kind and reason.",
            ("kind", "reason"),
        )

    def record_held(self, kind: str, size: int) -> None:
        """Record the bytes that are held of one kind."""
        self._held.labels(kind).set(size)

    def count_dropped(self, kind: str, reason: str) -> None:
        """Count a dropped connection."""
        self._dropped.labels(kind, reason).inc()
