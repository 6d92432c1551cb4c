"""Commands and answers of the order journal."""

import msgspec

from jaylatch_core.enums import ClaimVerdict
from jaylatch_core.ids import AccountId, AttemptId, IdempotencyKey, Incarnation, InstanceId


class OrderName(msgspec.Struct, frozen=True, array_like=True):
    """An order's name. Names of different accounts never collide."""

    account: AccountId
    key: IdempotencyKey


class StoredAnswer(msgspec.Struct, frozen=True):
    """The complete answer of an order, replayed to every resend."""

    status: int
    content_type: str
    body: bytes


class ClaimOrder(msgspec.Struct, frozen=True, tag=True):
    """Asks for the right to run an order as ``attempt``; ``digest`` is of method, path and body.

    ``instance`` and ``incarnation`` identify the agent that will receive the attempt, or are empty;
    ``clock`` is the clock of that incarnation, as sent with the attempt. ``address`` is the agent's
    stream address, at which any entry can query it. ``at`` is the entry's wall clock in seconds.
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
    """Asks for the record of an order without claiming it."""

    order: OrderName
    digest: str


class DispatchOrder(msgspec.Struct, frozen=True, tag=True):
    """Records, before the attempt is sent, that it goes to another incarnation than claimed."""

    order: OrderName
    attempt: AttemptId
    instance: InstanceId
    incarnation: Incarnation
    clock: float
    address: str = ""


class ReleaseOrder(msgspec.Struct, frozen=True, tag=True):
    """Ends a claim with proof that ``attempt`` did not run; the key may be claimed again.

    The proof holds for the agent's ``incarnation``; nothing is released if the attempt has since
    been dispatched to another incarnation.
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
    """Records that it can no longer be known whether ``attempt`` ran; it never runs again.

    Like a release, this holds only for the agent's ``incarnation``.
    """

    order: OrderName
    attempt: AttemptId
    incarnation: Incarnation


JournalCommand = (
    ClaimOrder | LookupOrder | DispatchOrder | ReleaseOrder | CompleteOrder | AbandonOrder
)


class OrderVerdict(msgspec.Struct, frozen=True, tag=True):
    """The journal's answer: the verdict and the record of the order.

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
