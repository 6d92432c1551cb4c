"""Choice of the target of an attempt."""

from jaylatch_decisions.routing.choice import (
    Candidate,
    choose_candidate,
    choose_least_loaded,
    choose_round_robin,
    has_room,
)

__all__ = ["Candidate", "choose_candidate", "choose_round_robin", "choose_least_loaded", "has_room"]
