"""Log line and metric of how even the load of the targets of a model or service is."""

import logging
from collections.abc import Sequence

from prometheus_client import Gauge

from jaylatch_core.log_records import LoadsMeasured
from jaylatch_decisions.balancing import EvennessMeter
from jaylatch_node.observability import log_record

_log = logging.getLogger("jaylatch.balancing")


class EvennessReporter:
    """Reports the loads that one role of this process counts; ``role`` is owner or gateway.

    ``ratios`` is its gauge, with the label ``subject``.
    """

    def __init__(self, ratios: Gauge, role: str) -> None:
        self._role = role
        self._meter = EvennessMeter()
        self._ratios = ratios

    def sample(self, now: float, subject: str, loads: Sequence[float]) -> None:
        """Add the loads at one choice of a target."""
        found = self._meter.sample(now, subject, loads)
        if found is None:
            return
        self._ratios.labels(subject).set(found.ratio)
        log_record(
            _log,
            LoadsMeasured(
                subject=subject,
                counted_by=self._role,
                largest=round(found.largest, 3),
                mean=round(found.mean, 3),
                largest_over_mean=round(found.ratio, 2),
                targets=found.targets,
                choices=found.choices,
            ),
        )
