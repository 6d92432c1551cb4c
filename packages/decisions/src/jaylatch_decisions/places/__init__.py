"""The places of direct targets, counted centrally for each model instead of in each gateway."""

from jaylatch_decisions.places.limits import LIMIT_RETENTION, STAND_IN_FRACTION
from jaylatch_decisions.places.notices import SentNotices
from jaylatch_decisions.places.owners import OwnerTable, first_owner
from jaylatch_decisions.places.queue import PlaceQueues
from jaylatch_decisions.places.ramp import returning_fraction, returning_slots
from jaylatch_decisions.places.service_times import ServiceTimes
from jaylatch_decisions.places.table import PlaceLimits, PlaceTable

__all__ = [
    "LIMIT_RETENTION",
    "STAND_IN_FRACTION",
    "OwnerTable",
    "PlaceLimits",
    "PlaceQueues",
    "PlaceTable",
    "SentNotices",
    "ServiceTimes",
    "first_owner",
    "returning_fraction",
    "returning_slots",
]
