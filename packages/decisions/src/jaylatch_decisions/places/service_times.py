"""Expected times of requests at engines: to the first token, and until the place is free.

The computed times come from the engine's profile. They are corrected by what is measured at the
model, because a profile states nothing of the network, of cold targets or of the mixture of
lengths: the duration by the mean ratio to the computed one, the time to the first token by the mean
difference, most of which does not depend on the prompt. Load pattern: a model at or near its
capacity, where requests wait.
"""

from dataclasses import dataclass

from jaylatch_core.deployment import EngineProfile

SMOOTHING_FACTOR = 0.05
"""Weight of a new measurement: about the last twenty requests count."""
RATIO_BOUNDS = (0.25, 4.0)
"""Bounds of one measured ratio, so that a stalled stream does not move the mean for long."""
MAX_FIRST_TOKEN_EXCESS = 2.0
"""Seconds of one measured difference that count, so that a stalled stream does not move the mean
for long."""
MIN_WAIT_FRACTION = 0.25
"""Part of its objective for which any request may wait."""
UNKNOWN_SERVICE_TIME = 1.0
"""Seconds taken for a request whose size is not stated, before any was measured."""


@dataclass(frozen=True)
class ExpectedTimes:
    """Seconds to the first token, and of the whole answer, from the request's arrival there."""

    first_token: float
    service: float


@dataclass
class _Correction:
    """``first_token_excess`` and ``deviation``, its mean absolute deviation, are seconds."""

    first_token_excess: float = 0.0
    deviation: float = 0.0
    service: float = 1.0
    mean_service: float = UNKNOWN_SERVICE_TIME


class ServiceTimes:
    """Expected times of one gateway's requests, by model."""

    def __init__(self) -> None:
        self._corrections: dict[str, _Correction] = {}

    def expect(
        self, engine: EngineProfile, model: str, prompt_tokens: int, answer_tokens: int
    ) -> ExpectedTimes:
        """Return the corrected times. A size of 0 is not known: the mean answer is taken then.

        The time to the first token includes the mean deviation: a request that waits as long as it
        may would otherwise be late in half of all cases.
        """
        known = self._corrections.get(model, _Correction())
        computed = compute_times(engine, model, prompt_tokens, answer_tokens)
        service = computed.service * known.service if answer_tokens else known.mean_service
        excess = known.first_token_excess + known.deviation
        return ExpectedTimes(max(computed.first_token + excess, 0.0), service)

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
        excess = min(measured.first_token - computed.first_token, MAX_FIRST_TOKEN_EXCESS)
        known.first_token_excess += SMOOTHING_FACTOR * (excess - known.first_token_excess)
        distance = abs(excess - known.first_token_excess)
        known.deviation += SMOOTHING_FACTOR * (distance - known.deviation)
        if answer_tokens:
            known.service = _smooth(known.service, measured.service, computed.service)


def longest_wait(objective: float, elapsed: float, first_token: float) -> float:
    """Return the seconds for which a request that came ``elapsed`` seconds ago may wait.

    The wait ends when it can no longer meet its objective. A large prompt may wait for a part of
    the objective all the same; it would otherwise get only places that are free when it comes.
    """
    return max(objective - first_token, objective * MIN_WAIT_FRACTION) - elapsed


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
