"""Even load of targets: expected work, learned pace, and the choice of a target by them."""

from jaylatch_decisions.balancing.choice import Candidate, least_work
from jaylatch_decisions.balancing.evenness import Evenness, EvennessMeter
from jaylatch_decisions.balancing.gateway import GatewayBalancer
from jaylatch_decisions.balancing.owner import ServiceOwner
from jaylatch_decisions.balancing.scope import uses_expected_work
from jaylatch_decisions.balancing.work import WorkTable

__all__ = [
    "Candidate",
    "Evenness",
    "EvennessMeter",
    "GatewayBalancer",
    "ServiceOwner",
    "WorkTable",
    "least_work",
    "uses_expected_work",
]
