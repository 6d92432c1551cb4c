"""One request in flight at a gateway."""

from dataclasses import dataclass, field
from hashlib import blake2b

from jaylatch_core.deployment import AccountProfile, RouteSpecification
from jaylatch_core.ids import InstanceId, RequestDigest
from jaylatch_decisions.targets import TargetLoad
from jaylatch_decisions.targets.attempts import AttemptHistory
from jaylatch_node.gateway.caller import Caller
from jaylatch_node.targets import InboundRequest

DIGEST_BYTES = 12


@dataclass
class Job:
    """One request in flight. Times are seconds of the monotonic clock.

    ``waits_since`` is when the search for a target that resumes its stream began. ``service`` is
    the one that a stream has been sent to: it goes on only there.
    """

    request: InboundRequest
    caller: Caller
    route: RouteSpecification
    account: AccountProfile | None
    arrived_at: float
    deadline: float
    digest: RequestDigest
    history: AttemptHistory = field(default_factory=AttemptHistory)
    placements: int = 0
    waits_since: float | None = None
    service: str | None = None
    attempted: dict[InstanceId, TargetLoad] = field(default_factory=dict)


def digest_of(request: InboundRequest, account: AccountProfile | None) -> RequestDigest:
    """Return the digest that identifies repeats of a request within its account."""
    name = account.name if account is not None else ""
    text = f"{name}\0{request.method}\0{request.target}\0".encode()
    return RequestDigest(blake2b(text + request.body, digest_size=DIGEST_BYTES).hexdigest())
