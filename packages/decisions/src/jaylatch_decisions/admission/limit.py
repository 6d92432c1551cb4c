"""Adaptive concurrency limit of one target, driven by the delay before the first token.

A target that is full makes its attempts wait inside it, where they can be neither reordered nor
refused. The limit grows while that wait is short and falls when it is long.
"""

from math import ceil

import msgspec

INITIAL_LIMIT = 4.0
"""Attempts in flight."""
INITIAL_GROWTH_FACTOR = 1.5
"""Factor by which the limit grows until it falls for the first time."""
LIMIT_STEP = 1.0
"""Attempts in flight by which the limit falls, and by which it grows after its first fall."""
LOW_WAIT_RATIO = 0.10
"""Wait inside the target, as a fraction of the attempt, below which the limit grows."""
HIGH_WAIT_RATIO = 0.25
"""Wait inside the target, as a fraction of the attempt, above which the limit falls."""
SMOOTHING_FACTOR = 0.2
"""Weight of a new sample in the moving averages."""


class AttemptSample(msgspec.Struct, frozen=True):
    """Measurements of an attempt so far. Durations are seconds.

    ``characters`` is the length of the prompt, ``duration`` the time in which ``tokens`` arrived,
    ``expected`` the duration of the complete attempt, and ``in_flight`` the number of attempts at
    the target when this one started.
    """

    characters: int
    tokens: int
    time_to_first_token: float
    duration: float
    expected: float
    in_flight: int


class AdaptiveLimit:
    """The limit of a target, and its time for each token and each character of a prompt."""

    def __init__(self) -> None:
        self._limit = INITIAL_LIMIT
        self._is_first_growth = True
        self._samples_needed = ceil(INITIAL_LIMIT)
        self._token_time = 0.0
        self._character_time = 0.0
        self._samples = 0
        self._peak = 0
        self._total_wait = 0.0
        self._total_duration = 0.0

    @property
    def token_time(self) -> float:
        """Return the seconds between tokens; 0 while unknown."""
        return self._token_time

    @property
    def character_time(self) -> float:
        """Return the prefill seconds for each character of a prompt; 0 while unknown."""
        return self._character_time

    def value(self, ceiling: int) -> int:
        """Return the limit, at least 1 and at most ``ceiling``."""
        return max(min(int(self._limit), ceiling), 1)

    def record(self, sample: AttemptSample, ceiling: int) -> None:
        """Update the estimates and the limit from an attempt.

        The limit changes after ``limit`` attempts. After a growth it changes after as many attempts
        as places were added: long answers occupy the other places without yielding samples.
        """
        if sample.tokens < 2:
            return
        self._update_estimates(sample)
        prefill = self._character_time * sample.characters + self._token_time
        self._total_wait += max(sample.time_to_first_token - prefill, 0.0)
        self._total_duration += sample.expected
        self._peak = max(self._peak, sample.in_flight)
        self._samples += 1
        if self._samples >= self._samples_needed:
            self._adjust(ceiling)

    def _update_estimates(self, sample: AttemptSample) -> None:
        gap = (sample.duration - sample.time_to_first_token) / (sample.tokens - 1)
        self._token_time = _smooth(self._token_time, gap)
        is_idle = sample.in_flight <= max(self._limit / 2, 1)
        if sample.characters and is_idle:
            prefill = max(sample.time_to_first_token - self._token_time, 0.0)
            self._character_time = _smooth(self._character_time, prefill / sample.characters)

    def _adjust(self, ceiling: int) -> None:
        wait = self._total_wait / self._total_duration if self._total_duration else 0.0
        before = self._limit
        if wait > HIGH_WAIT_RATIO:
            self._is_first_growth = False
            self._limit = max(self._limit - LIMIT_STEP, 1.0)
        elif wait < LOW_WAIT_RATIO and self._peak >= int(self._limit):
            grown = (
                self._limit * INITIAL_GROWTH_FACTOR
                if self._is_first_growth
                else self._limit + LIMIT_STEP
            )
            self._limit = min(grown, float(ceiling))
        added = int(self._limit) - int(before)
        self._samples_needed = added if added > 0 else ceil(self._limit)
        self._samples = 0
        self._peak = 0
        self._total_wait = 0.0
        self._total_duration = 0.0


def _smooth(known: float, observed: float) -> float:
    return known + SMOOTHING_FACTOR * (observed - known) if known else observed
