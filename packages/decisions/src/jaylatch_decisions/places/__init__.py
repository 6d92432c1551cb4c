"""The places of direct targets, counted centrally for each model instead of in each gateway."""

from jaylatch_decisions.places.cold import (
    EVIDENCE_VALIDITY,
    GRANT_VALIDITY,
    ColdLimits,
    cold_bound,
    unshared_bound,
)
from jaylatch_decisions.places.limits import LIMIT_RETENTION, STAND_IN_FRACTION, LimitTable
from jaylatch_decisions.places.owners import OwnerTable, first_owner
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
    "PlaceTable",
    "cold_bound",
    "first_owner",
    "unshared_bound",
]
