"""Requests of callers, as validated by an entry."""

from dataclasses import dataclass
from secrets import token_hex

from jaylatch_core.configuration import AccountSpecification
from jaylatch_core.ids import AttemptId, IdempotencyKey, RequestId
from jaylatch_core.messages.requests import ModelWork, ServiceWork

ID_BYTES = 12


@dataclass(frozen=True)
class CallerRequest:
    """A validated request. ``deadline`` is in seconds on the monotonic clock.

    ``weight`` is the weight of its kind in admission.
    """

    id: RequestId
    account: AccountSpecification
    kind: str
    deadline: float
    key: IdempotencyKey | None
    weight: float = 1.0


@dataclass(frozen=True)
class ModelRequest:
    """A completion."""

    caller: CallerRequest
    work: ModelWork


@dataclass(frozen=True)
class ServiceRequest:
    """A call of a plain service."""

    caller: CallerRequest
    work: ServiceWork
    is_idempotent: bool


def new_request_id() -> RequestId:
    """Return a new random request id."""
    return RequestId(token_hex(ID_BYTES))


def new_attempt_id() -> AttemptId:
    """Return a new random attempt id."""
    return AttemptId(token_hex(ID_BYTES))
