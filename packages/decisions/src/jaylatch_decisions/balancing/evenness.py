"""Evenness of load: the largest load over the mean, as the process that counts sees it.

Load pattern: a few targets of a model or service are overloaded in turns while others are idle. The
loads are sampled when a target is chosen, so times with more requests count more.
"""

from collections.abc import Sequence
from dataclasses import dataclass

REPORT_INTERVAL = 10.0
"""Seconds to which one figure of a subject refers."""


@dataclass(frozen=True)
class Evenness:
    """Mean over an interval of the largest load and of the mean load, in requests for each slot."""

    largest: float
    mean: float
    targets: int
    choices: int

    @property
    def ratio(self) -> float:
        """Return the largest load over the mean; 1 without load."""
        return self.largest / self.mean if self.mean > 0 else 1.0


@dataclass
class _Sums:
    since: float
    largest: float = 0.0
    mean: float = 0.0
    choices: int = 0


class EvennessMeter:
    """The loads at the choices of one process, by model or service."""

    def __init__(self) -> None:
        self._sums: dict[str, _Sums] = {}

    def sample(self, now: float, subject: str, loads: Sequence[float]) -> Evenness | None:
        """Add the loads at one choice; return the figure of an interval once it is over."""
        if not loads:
            return None
        sums = self._sums.setdefault(subject, _Sums(now))
        sums.largest += max(loads)
        sums.mean += sum(loads) / len(loads)
        sums.choices += 1
        if now < sums.since + REPORT_INTERVAL:
            return None
        del self._sums[subject]
        choices = sums.choices
        return Evenness(sums.largest / choices, sums.mean / choices, len(loads), choices)
