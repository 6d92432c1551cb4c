"""Keeps requests that end their targets from further targets."""

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


class QuarantineController:
    """Gathers the agents' evidence and judges requests by it."""

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._evidence = EvidenceTable()
        self._refused = board.metrics.counter(
            "quarantined_total", "Requests refused because they ended their targets."
        )

    def take_report(self, now: float, report: TargetReport) -> None:
        """Take the evidence of a report."""
        self._evidence.record_deaths(now, report.deaths)
        self._evidence.clear(report.cleared)

    def status(self, now: float, digest: RequestDigest) -> QuarantineStatus:
        """Return what is known of a request."""
        return self._evidence.status(now, digest, self._duration())

    def refuse(
        self, now: float, request: ModelRequest, digest: RequestDigest, outcome: Outcome
    ) -> RequestRefused:
        """Return the refusal of a quarantined request."""
        self._refused.inc()
        self._board.events.record(
            wall(), EventName.REQUEST_QUARANTINED, digest, request.caller.id, outcome.value
        )
        return RequestRefused(
            "targets that ran this request ended; it is not run again for a while",
            422,
            "quarantined",
            outcome,
            self._evidence.time_left(now, digest, self._duration()),
        )

    def _duration(self) -> float:
        return self._board.grant.policy().quarantine_time


def digest_of_model(request: ModelRequest) -> RequestDigest:
    """Return the digest by which a resend of a completion is recognised, within its account."""
    work = request.work
    text = f"{request.caller.account.id}\0{work.model}\0{work.prompt}"
    return RequestDigest(sha256(text.encode()).hexdigest()[:DIGEST_LENGTH])
