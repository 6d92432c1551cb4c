"""The places of direct targets, counted centrally for each model instead of in each gateway."""

from jaylatch_decisions.places.cold import (
    EVIDENCE_VALIDITY,
    GRANT_VALIDITY,
    ColdLimits,
    cold_bound,
    unshared_bound,
)
from jaylatch_decisions.places.limits import LIMIT_RETENTION, STAND_IN_FRACTION, LimitTable
from jaylatch_decisions.places.notices import SentNotices
from jaylatch_decisions.places.owners import OwnerTable, first_owner
from jaylatch_decisions.places.queue import PlaceQueues
from jaylatch_decisions.places.ramp import returning_fraction, returning_slots
from jaylatch_decisions.places.service_times import ServiceTimes
from jaylatch_decisions.places.table import PlaceLimits, PlaceTable

__all__ = [
    "EVIDENCE_VALIDITY",
    "GRANT_VALIDITY",
    "LIMIT_RETENTION",
    "STAND_IN_FRACTION",
    "ColdLimits",
    "LimitTable",
    "OwnerTable",
    "PlaceLimits",
    "PlaceQueues",
    "PlaceTable",
    "SentNotices",
    "ServiceTimes",
    "cold_bound",
    "first_owner",
    "returning_fraction",
    "returning_slots",
    "unshared_bound",
]
