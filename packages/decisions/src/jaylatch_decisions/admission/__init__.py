"""Admission of requests: the bounded queue of an entry and the concurrency limit of a target."""

from jaylatch_decisions.admission.limit import AdaptiveLimit, AttemptSample
from jaylatch_decisions.admission.queue import (
    AdmissionQueue,
    Capacity,
    Drop,
    DropReason,
    Forecast,
    QueuedRequest,
)

__all__ = [
    "AdaptiveLimit",
    "AdmissionQueue",
    "AttemptSample",
    "Capacity",
    "Drop",
    "DropReason",
    "Forecast",
    "QueuedRequest",
]
