"""Expected time of requests, from the agents' reports and from what attempts took."""

from jaylatch_core.messages.requests import ModelWork
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.entry.requests import ModelRequest, ServiceRequest

SMOOTHING = 0.1


class Estimates:
    """Estimates of one entry. All times are seconds."""

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._stretch: dict[str, float] = {}
        self._mean_work: dict[str, float] = {}

    def work(self, request: ModelRequest | ServiceRequest, done: int = 0) -> float:
        """Return for how long a request will occupy a target; 0 while nothing is known."""
        name = _name_of(request)
        match request.work:
            case ModelWork() as work:
                return self._bare_work(work, done) * self._stretch.get(name, 1.0)
            case _:
                return self._mean_work.get(name, 0.0)

    def mean_work(self, name: str) -> float:
        """Return the mean duration of the attempts of a model or service."""
        return self._mean_work.get(name, 0.0)

    def learn(
        self, request: ModelRequest | ServiceRequest, done: int, tokens: int, duration: float
    ) -> None:
        """Learn from an attempt that answered ``tokens`` after ``done`` earlier ones."""
        name = _name_of(request)
        self._mean_work[name] = _smooth(self._mean_work.get(name), duration)
        if isinstance(request.work, ModelWork):
            expected = self._bare_work(request.work, done)
            if expected > 0:
                self._stretch[name] = _smooth(self._stretch.get(name), duration / expected)

    def _bare_work(self, work: ModelWork, done: int) -> float:
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
    return observed if known is None else known + SMOOTHING * (observed - known)


def _name_of(request: ModelRequest | ServiceRequest) -> str:
    match request.work:
        case ModelWork(model):
            return model
        case work:
            return work.service
