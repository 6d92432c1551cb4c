"""The places of direct targets, counted centrally for each model instead of in each gateway."""

from jaylatch_decisions.places.owners import OwnerTable
from jaylatch_decisions.places.table import PlaceLimits, PlaceTable

__all__ = ["OwnerTable", "PlaceLimits", "PlaceTable"]
