"""Gradual return of load to targets whose failure domain is no longer evacuated.

Load pattern: after an evacuation a third of the targets has no request in flight, so every choice
by load takes one of them, and the load of all gateways reaches them within a moment. Targets that
have become cold meanwhile bear a part of it only. With fewer slots they get a smaller part, and
not more at once than that.
"""

from math import ceil

RAMP_STEP = 2.0
"""Seconds between two steps: a target that was idle is warm after about three."""
RAMP_FRACTIONS = (0.25, 0.5, 0.75)
"""Fraction of the slots in each step. Each step changes the view, so there are few."""


def returning_fraction(returned_for: float) -> float:
    """Return the fraction of its slots that a target has after ``returned_for`` seconds."""
    step = int(returned_for // RAMP_STEP)
    return RAMP_FRACTIONS[step] if step < len(RAMP_FRACTIONS) else 1.0


def returning_slots(slots: int, fraction: float) -> int:
    """Return the part of ``slots`` that is used, at least one where there are any."""
    return ceil(slots * fraction)
