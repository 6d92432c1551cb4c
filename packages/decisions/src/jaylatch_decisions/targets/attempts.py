"""Decisions after an attempt at a direct target that ended without a complete answer.

Covers lost answers, full targets and targets that end during a request. A request that may run only
once is sent to another target only if it certainly did not run. Every further send uses a budget,
so that failing targets do not multiply the load.
"""

from dataclasses import dataclass
from enum import Enum

from jaylatch_core.deployment import RouteSpecification

MAX_CONNECTION_ATTEMPTS = 3
"""Targets to which a connection is attempted before the request is refused: the view is at most a
renewal interval old, so more than two dead targets in it indicate a fault elsewhere."""


class AttemptOutcome(Enum):
    """Outcome of an attempt without a complete answer.

    After ``NOT_SENT``, ``EXPIRED`` and ``NOT_RUN`` the request certainly did not run; after the
    others it may have run. ``EXPIRED``: the permission to send ended before it was used.
    ``NO_MEMORY`` is an answer that this process gave up for lack of memory.
    """

    NOT_SENT = "not_sent"
    EXPIRED = "expired"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    STALLED = "stalled"
    FAILED = "failed"
    NO_MEMORY = "no_memory"


class NextStep(Enum):
    """The next step for a request after a failed attempt."""

    RETRY = "again"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclass
class AttemptHistory:
    """Attempts made for one request. ``sends`` counts the targets that it was sent to.

    ``is_resumable``: another target can go on with what the caller has received.
    """

    sends: int = 0
    connection_failures: int = 0
    may_have_run: bool = False
    is_resumable: bool = True


def record_outcome(history: AttemptHistory, outcome: AttemptOutcome) -> None:
    """Add the outcome of the latest attempt to ``history``."""
    if outcome is AttemptOutcome.EXPIRED:
        return
    if outcome is AttemptOutcome.NOT_SENT:
        history.connection_failures += 1
        return
    history.sends += 1
    if outcome is not AttemptOutcome.NOT_RUN:
        history.may_have_run = True


def decide_next(
    route: RouteSpecification, history: AttemptHistory, outcome: AttemptOutcome, has_budget: bool
) -> NextStep:
    """Return the next step after ``outcome``, which ``history`` already includes.

    ``has_budget`` is true if the budget allows a further send now.
    """
    if outcome is AttemptOutcome.EXPIRED:
        # A pause of this process is no fault of a target; the request's deadline bounds repeats.
        return NextStep.RETRY
    final_step = NextStep.FAIL if history.may_have_run else NextStep.REFUSE
    if outcome is AttemptOutcome.NOT_SENT:
        may_retry = history.connection_failures < MAX_CONNECTION_ATTEMPTS
        return NextStep.RETRY if may_retry else final_step
    if outcome is AttemptOutcome.NO_MEMORY:
        # A repeat would run the request again while there is no room for its answer.
        return final_step
    if not history.is_resumable or (history.may_have_run and not route.may_repeat):
        return NextStep.FAIL
    return NextStep.RETRY if history.sends < route.attempts and has_budget else final_step


def first_answer_timeout(route: RouteSpecification) -> float:
    """Return the seconds without a first answer after which another target is used."""
    return max(FIRST_ANSWER_OBJECTIVES * route.objective, MIN_FIRST_ANSWER_TIMEOUT)


def stall_timeout(route: RouteSpecification) -> float:
    """Return the seconds without an event after which a stream may resume at another target."""
    return max(STALL_GAPS * route.event_gap, MIN_STALL_TIMEOUT)


SUSPICION_GAPS = 1.0
"""Multiple of the allowed event gap without an event after which a target is reported."""
SUSPICION_OBJECTIVES = 1.5
"""Multiple of the latency objective without an answer after which a target is reported."""


def suspicion_timeout(route: RouteSpecification, has_started: bool) -> float:
    """Return the seconds without data after which the target is reported to control."""
    if has_started:
        return SUSPICION_GAPS * route.event_gap
    return SUSPICION_OBJECTIVES * route.objective


FIRST_ANSWER_OBJECTIVES = 6.0
"""Multiple of the latency objective that a first answer may take: a busy target is slow, not lost,
and probes detect a lost one much sooner."""
MIN_FIRST_ANSWER_TIMEOUT = 2.0
"""Minimum seconds: a full queue at a busy target takes this long."""
STALL_GAPS = 3.0
"""Multiple of the allowed event gap after which a stream counts as stalled."""
MIN_STALL_TIMEOUT = 1.4
"""Minimum seconds: a sound target may be silent for a second or so, and callers disconnect after a
gap of two."""
