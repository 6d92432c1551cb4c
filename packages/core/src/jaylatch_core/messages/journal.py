"""Commands and answers of the order journal."""

import msgspec

from jaylatch_core.enums import ClaimVerdict
from jaylatch_core.ids import AccountId, AttemptId, IdempotencyKey, Incarnation, InstanceId


class OrderName(msgspec.Struct, frozen=True, array_like=True):
    """An order's name. Two accounts never share one."""

    account: AccountId
    key: IdempotencyKey


class StoredAnswer(msgspec.Struct, frozen=True):
    """The whole answer of an order, replayed to every resend."""

    status: int
    content_type: str
    body: bytes


class ClaimOrder(msgspec.Struct, frozen=True, tag=True):
    """Asks for the right to run an order as ``attempt``; ``digest`` is of method, path and body.

    ``instance`` and ``incarnation`` name the agent's run that will get the attempt, or are empty;
    ``clock`` is that run's clock, as the attempt will carry it. ``address`` is the agent's stream
    address, by which every entry can ask it. ``at`` is the entry's wall clock in seconds.
    """

    order: OrderName
    digest: str
    attempt: AttemptId
    instance: InstanceId
    incarnation: Incarnation
    clock: float
    address: str = ""
    at: float = 0.0


class LookupOrder(msgspec.Struct, frozen=True, tag=True):
    """Asks what is on record of an order without claiming it."""

    order: OrderName
    digest: str


class DispatchOrder(msgspec.Struct, frozen=True, tag=True):
    """Records, before the attempt is sent, that another run of an agent than named gets it."""

    order: OrderName
    attempt: AttemptId
    instance: InstanceId
    incarnation: Incarnation
    clock: float
    address: str = ""


class ReleaseOrder(msgspec.Struct, frozen=True, tag=True):
    """Ends a claim with proof that ``attempt`` did not run; the key may be claimed again.

    The proof holds for the run of the agent that ``incarnation`` names; it releases nothing if the
    attempt has been dispatched to another run since.
    """

    order: OrderName
    attempt: AttemptId
    incarnation: Incarnation


class CompleteOrder(msgspec.Struct, frozen=True, tag=True):
    """Stores the answer of ``attempt``. ``at`` is the entry's wall clock in seconds."""

    order: OrderName
    attempt: AttemptId
    answer: StoredAnswer
    at: float = 0.0


class AbandonOrder(msgspec.Struct, frozen=True, tag=True):
    """Records that nobody can tell any more whether ``attempt`` ran; it is never run again.

    Like a release it holds only for the run of the agent that ``incarnation`` names.
    """

    order: OrderName
    attempt: AttemptId
    incarnation: Incarnation


JournalCommand = (
    ClaimOrder | LookupOrder | DispatchOrder | ReleaseOrder | CompleteOrder | AbandonOrder
)


class OrderVerdict(msgspec.Struct, frozen=True, tag=True):
    """The journal's answer: the verdict, and what is recorded of the order.

    ``attempt``, ``instance``, ``incarnation`` and ``clock`` name the attempt that holds the claim,
    ``address`` is that of its agent.
    """

    verdict: ClaimVerdict
    attempt: AttemptId
    instance: InstanceId
    incarnation: Incarnation
    clock: float
    answer: StoredAnswer | None = None
    address: str = ""
