"""Quarantine of requests that cause the death of their targets."""

from hashlib import sha256

from jaylatch_core.clock import wall
from jaylatch_core.enums import Outcome
from jaylatch_core.event_names import EventName
from jaylatch_core.exceptions import RequestRefused
from jaylatch_core.ids import RequestDigest
from jaylatch_core.messages.requests import TargetReport
from jaylatch_decisions.quarantine import EvidenceTable, QuarantineStatus
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.entry.requests import ModelRequest

DIGEST_LENGTH = 24
"""Hexadecimal digits of a request digest."""


class QuarantineController:
    """Collects evidence from agents' reports and refuses quarantined requests."""

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._evidence = EvidenceTable()
        self._refused = board.metrics.counter(
            "quarantined_total", "Requests refused because they ended their targets."
        )

    def record_report(self, now: float, report: TargetReport) -> None:
        """Record the target deaths and cleared requests of a report."""
        self._evidence.record_deaths(now, report.deaths)
        self._evidence.clear(report.cleared)

    def status(self, now: float, digest: RequestDigest) -> QuarantineStatus:
        """Return whether a request is clear, suspect or quarantined."""
        return self._evidence.status(now, digest, self._duration())

    def refuse(
        self, now: float, request: ModelRequest, digest: RequestDigest, outcome: Outcome
    ) -> RequestRefused:
        """Record and return the refusal of a quarantined request."""
        self._refused.inc()
        self._board.events.record(
            wall(), EventName.REQUEST_QUARANTINED, digest, request.caller.id, outcome.value
        )
        return RequestRefused(
            "targets died while running this request; it is refused until its quarantine ends",
            422,
            "quarantined",
            outcome,
            self._evidence.time_left(now, digest, self._duration()),
        )

    def _duration(self) -> float:
        return self._board.grant.policy().quarantine_time


def digest_of_model(request: ModelRequest) -> RequestDigest:
    """Return the digest that identifies resends of a completion within its account."""
    work = request.work
    text = f"{request.caller.account.id}\0{work.model}\0{work.prompt}"
    return RequestDigest(sha256(text.encode()).hexdigest()[:DIGEST_LENGTH])
