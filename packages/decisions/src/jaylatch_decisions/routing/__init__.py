"""Choice of the target of an attempt."""

from jaylatch_decisions.routing.choice import Candidate, choose_candidate

__all__ = ["Candidate", "choose_candidate"]
