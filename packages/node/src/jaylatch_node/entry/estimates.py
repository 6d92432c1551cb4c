"""Estimates of request durations, from agents' reports and the durations of past attempts."""

from jaylatch_core.messages.requests import ModelWork
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.entry.requests import ModelRequest, ServiceRequest

SMOOTHING_FACTOR = 0.1
"""Weight of a new observation in an exponential moving average."""


class Estimates:
    """Estimates of one entry, in seconds."""

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._slowdown: dict[str, float] = {}
        self._mean_duration: dict[str, float] = {}

    def expected_duration(self, request: ModelRequest | ServiceRequest, done: int = 0) -> float:
        """Return the time for which a request will occupy a target; 0 without observations."""
        name = _name_of(request)
        match request.work:
            case ModelWork() as work:
                return self._nominal_duration(work, done) * self._slowdown.get(name, 1.0)
            case _:
                return self._mean_duration.get(name, 0.0)

    def mean_duration(self, name: str) -> float:
        """Return the mean duration of the attempts of a model or service."""
        return self._mean_duration.get(name, 0.0)

    def record_attempt(
        self, request: ModelRequest | ServiceRequest, done: int, tokens: int, duration: float
    ) -> None:
        """Record how long an attempt took for ``tokens`` tokens after ``done`` earlier ones."""
        name = _name_of(request)
        self._mean_duration[name] = _smooth(self._mean_duration.get(name), duration)
        if isinstance(request.work, ModelWork):
            expected = self._nominal_duration(request.work, done)
            if expected > 0:
                self._slowdown[name] = _smooth(self._slowdown.get(name), duration / expected)

    def _nominal_duration(self, work: ModelWork, done: int) -> float:
        reports = [
            target.report
            for target in self._board.targets.values()
            if target.report is not None and target.report.token_time
        ]
        if not reports:
            return 0.0
        token_time = sum(report.token_time for report in reports) / len(reports)
        character_time = sum(report.character_time for report in reports) / len(reports)
        return token_time * (work.max_tokens - done) + character_time * len(work.prompt)


def _smooth(known: float | None, observed: float) -> float:
    return observed if known is None else known + SMOOTHING_FACTOR * (observed - known)


def _name_of(request: ModelRequest | ServiceRequest) -> str:
    match request.work:
        case ModelWork(model):
            return model
        case work:
            return work.service
