"""The places of direct targets: one waiting line for each model instead of one for each gateway."""

from jaylatch_decisions.places.owners import OwnerTable
from jaylatch_decisions.places.table import PlaceTable

__all__ = ["OwnerTable", "PlaceTable"]
