"""Expected times of requests at engines: to the first token, and until the place is free.

The computed times come from the engine's profile. They are corrected by what is measured at the
model, because a profile states nothing of the network, of cold targets or of the mixture of
lengths: the duration by the mean ratio to the computed one, the time to the first token by a line
through the measured times, because a part of it does not depend on the prompt. Load pattern: a
model at or near its capacity, where requests wait.
"""

from dataclasses import dataclass, field

from jaylatch_core.deployment import EngineProfile

SMOOTHING_FACTOR = 0.05
"""Weight of a new measurement: about the last twenty requests count."""
RATIO_BOUNDS = (0.25, 4.0)
"""Bounds of one measured ratio, so that a stalled stream does not move the mean for long."""
LINE_SMOOTHING_FACTOR = 0.02
"""The same for the line of the times to the first token, whose two parameters need more samples."""
MAX_FIRST_TOKEN = 2.0
"""Seconds of one measured time to the first token that count, so that a stalled stream does not
move the line for long."""
MIN_WAIT_FRACTION = 0.25
"""Part of its objective for which any request may wait."""
UNKNOWN_SERVICE_TIME = 1.0
"""Seconds taken for a request whose size is not stated, before any was measured."""


@dataclass(frozen=True)
class ExpectedTimes:
    """Seconds to the first token, and of the whole answer, from the request's arrival there.

    ``deviation`` is the mean absolute deviation of the time to the first token.
    """

    first_token: float
    service: float
    deviation: float = 0.0


@dataclass
class _Line:
    """Least squares of measured over computed times, with a weight that decays; in seconds."""

    count: int = 0
    mean_computed: float = 0.0
    mean_measured: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0
    deviation: float = 0.0

    def estimate(self, computed: float) -> float:
        """Return the expected measured time; the computed one while nothing has been measured."""
        if not self.count:
            return computed
        low, high = RATIO_BOUNDS
        slope = min(max(self.covariance / self.variance, low), high) if self.variance else 1.0
        return max(self.mean_measured + slope * (computed - self.mean_computed), 0.0)

    def record(self, computed: float, measured: float) -> None:
        """Add a measurement."""
        distance = abs(measured - self.estimate(computed))
        self.count += 1
        weight = max(1.0 / self.count, LINE_SMOOTHING_FACTOR)
        from_computed = computed - self.mean_computed
        from_measured = measured - self.mean_measured
        self.mean_computed += weight * from_computed
        self.mean_measured += weight * from_measured
        self.variance += weight * ((1.0 - weight) * from_computed**2 - self.variance)
        product = (1.0 - weight) * from_computed * from_measured
        self.covariance += weight * (product - self.covariance)
        self.deviation += weight * (distance - self.deviation)


@dataclass
class _Correction:
    first_token: _Line = field(default_factory=_Line)
    service: float = 1.0
    mean_service: float = UNKNOWN_SERVICE_TIME


class ServiceTimes:
    """Expected times of one gateway's requests, by model."""

    def __init__(self) -> None:
        self._corrections: dict[str, _Correction] = {}

    def expect(
        self, engine: EngineProfile, model: str, prompt_tokens: int, answer_tokens: int
    ) -> ExpectedTimes:
        """Return the corrected times. A size of 0 is not known: the mean answer is taken then."""
        known = self._corrections.get(model, _Correction())
        computed = compute_times(engine, model, prompt_tokens, answer_tokens)
        service = computed.service * known.service if answer_tokens else known.mean_service
        first_token = known.first_token.estimate(computed.first_token)
        return ExpectedTimes(first_token, service, known.first_token.deviation)

    def record(
        self,
        engine: EngineProfile,
        model: str,
        prompt_tokens: int,
        answer_tokens: int,
        measured: ExpectedTimes,
    ) -> None:
        """Record the measured times of a request that was answered completely by one target."""
        known = self._corrections.setdefault(model, _Correction(mean_service=measured.service))
        known.mean_service += SMOOTHING_FACTOR * (measured.service - known.mean_service)
        computed = compute_times(engine, model, prompt_tokens, answer_tokens)
        known.first_token.record(computed.first_token, min(measured.first_token, MAX_FIRST_TOKEN))
        if answer_tokens:
            known.service = _smooth(known.service, measured.service, computed.service)


def longest_wait(objective: float, elapsed: float, times: ExpectedTimes) -> float:
    """Return the seconds for which a request that came ``elapsed`` seconds ago may wait.

    The wait ends when it can no longer meet its objective. Without the deviation half of those that
    wait as long as they may would be late. A large prompt may wait for a part of
    the objective all the same; it would otherwise get only places that are free when it comes.
    """
    latest = objective - times.first_token - times.deviation
    return max(latest, objective * MIN_WAIT_FRACTION) - elapsed


def compute_times(
    engine: EngineProfile, model: str, prompt_tokens: int, answer_tokens: int
) -> ExpectedTimes:
    """Return the times at a full engine, by the profile.

    Requests wait only for full engines, so a step takes as long as with all slots in use.
    """
    pace = next((item.pace for item in engine.models if item.name == model), 1.0)
    reading = prompt_tokens / engine.read_rate if engine.read_rate else 0.0
    step = engine.step_time + engine.sequence_time * engine.slots
    return ExpectedTimes((reading + step) * pace, (reading + answer_tokens * step) * pace)


def _smooth(known: float, measured: float, computed: float) -> float:
    if computed <= 0:
        return known
    low, high = RATIO_BOUNDS
    ratio = min(max(measured / computed, low), high)
    return known + SMOOTHING_FACTOR * (ratio - known)
