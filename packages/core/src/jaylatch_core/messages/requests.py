"""Messages between an entry and an agent about one attempt to run a request."""

import msgspec

from jaylatch_core.enums import Outcome
from jaylatch_core.ids import (
    NO_DIGEST,
    AccountId,
    AttemptId,
    Epoch,
    GroupId,
    Incarnation,
    RequestDigest,
    RequestId,
)
from jaylatch_core.messages.membership import TargetDeath


class ModelWork(msgspec.Struct, frozen=True, tag=True):
    """A completion. ``resume_from`` counts the tokens that the caller already has."""

    model: str
    prompt: str
    max_tokens: int
    priority: int
    seed: int
    resume_from: int = 0


class ServiceWork(msgspec.Struct, frozen=True, tag=True):
    """A call of a plain service."""

    service: str
    method: str
    path: str
    content_type: str
    body: bytes


class StartAttempt(msgspec.Struct, frozen=True, tag=True):
    """Asks the agent, if still in ``incarnation``, to run the work once.

    ``budget`` is the number of seconds left until the caller's deadline. ``clock`` is that of the
    agent's newest report: an agent refuses an attempt sent too long after it, so it need not
    remember barred attempts indefinitely. ``has_backlog``: more requests are queued for the
    same targets. ``digest`` is the same for each resend. A suspect request runs only where no other
    suspect runs.
    """

    attempt: AttemptId
    request: RequestId
    account: AccountId
    incarnation: Incarnation
    group: GroupId
    epoch: Epoch
    clock: float
    budget: float
    work: ModelWork | ServiceWork
    has_backlog: bool = False
    digest: RequestDigest = NO_DIGEST
    is_suspect: bool = False


class CancelAttempt(msgspec.Struct, frozen=True, tag=True):
    """Cancels the attempt; if it has not started, it never will. ``clock`` is the attempt's."""

    attempt: AttemptId
    clock: float


class ResumeAttempt(msgspec.Struct, frozen=True, tag=True):
    """Asks again for the chunks of a running or ended attempt, from number ``next_chunk``."""

    attempt: AttemptId
    incarnation: Incarnation
    clock: float
    next_chunk: int


class AttemptCredit(msgspec.Struct, frozen=True, tag=True):
    """The entry has forwarded the chunks before ``next_chunk``; the agent may send more."""

    attempt: AttemptId
    next_chunk: int


class AttemptStarted(msgspec.Struct, frozen=True, tag=True):
    """The work has been sent to the target: from now on it counts as run.

    ``others_in_flight`` counts the attempts of other entries at the target, ``limit`` is the number
    that it takes at once; -1: unknown.
    """

    attempt: AttemptId
    others_in_flight: int = -1
    limit: int = -1


class AttemptChunk(msgspec.Struct, frozen=True, tag=True):
    """Part ``number`` (from 0) of the answer; ``tokens`` is the number of tokens in it."""

    attempt: AttemptId
    number: int
    tokens: int
    data: bytes


class AttemptEnd(msgspec.Struct, frozen=True, tag=True):
    """The answer is complete: ``chunks`` parts whose bytes have the CRC-32 ``checksum``."""

    attempt: AttemptId
    chunks: int
    checksum: int
    status: int
    content_type: str


class AttemptRefused(msgspec.Struct, frozen=True, tag=True):
    """The attempt ended without a complete answer; ``outcome`` states whether it ran."""

    attempt: AttemptId
    code: str
    outcome: Outcome
    detail: str


class TargetReport(msgspec.Struct, frozen=True, tag=True):
    """Sent by an agent to each connected entry, at once on connection and then regularly.

    ``clock`` is the agent's monotonic clock in seconds. ``own_in_flight`` counts the attempts of
    the entry that receives the report, ``entries`` this entry and those that recently had a
    backlog. ``token_time`` and ``character_time`` are seconds per token and per prompt character;
    0 while unknown. ``deaths`` are the newest ones of the target, ``cleared`` the suspect requests
    that it has recently answered completely.
    """

    incarnation: Incarnation
    clock: float
    group: GroupId
    epoch: Epoch
    is_admitting: bool
    in_flight: int
    limit: int
    own_in_flight: int = 0
    entries: int = 1
    token_time: float = 0.0
    character_time: float = 0.0
    deaths: tuple[TargetDeath, ...] = ()
    cleared: tuple[RequestDigest, ...] = ()


class QueryAttempt(msgspec.Struct, frozen=True, tag=True):
    """Asks for the state of an attempt; one that has not started is barred from starting.

    ``clock`` is the attempt's. The agent keeps attempts for a limited time, so it can prove that an
    unknown attempt has not run only if ``clock`` is recent.
    """

    attempt: AttemptId
    incarnation: Incarnation
    clock: float
