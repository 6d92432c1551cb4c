"""What follows an attempt at a direct target that brought no whole answer.

Answers lost answers, full targets and targets that end under a request: a request that may run only
once goes to another target only on proof that it did not run, and every second send draws on a
budget, so that failing targets do not multiply the load.
"""

from dataclasses import dataclass
from enum import Enum

from jaylatch_core.deployment import RouteSpecification

CONNECTION_TRIES = 3
"""Targets that are tried for a connection before the request is refused: the view is at most a
renewal interval old, so more than two dead targets in it mean a fault that is not theirs."""


class AttemptOutcome(Enum):
    """How an attempt ended without a whole answer.

    ``NOT_SENT`` and ``NOT_RUN`` prove that nothing ran. After the others it may have run.
    """

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    STALLED = "stalled"
    FAILED = "failed"


class NextStep(Enum):
    """What to do with the request now."""

    RETRY = "again"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclass
class AttemptHistory:
    """What has happened to one request. ``sends`` counts the targets that it was sent to."""

    sends: int = 0
    connection_failures: int = 0
    may_have_run: bool = False


def record_outcome(history: AttemptHistory, outcome: AttemptOutcome) -> None:
    """Add the outcome of the latest attempt to ``history``."""
    if outcome is AttemptOutcome.NOT_SENT:
        history.connection_failures += 1
        return
    history.sends += 1
    if outcome is not AttemptOutcome.NOT_RUN:
        history.may_have_run = True


def decide_next(
    route: RouteSpecification, history: AttemptHistory, outcome: AttemptOutcome, has_budget: bool
) -> NextStep:
    """Return what to do after ``outcome``, which ``history`` already holds.

    ``has_budget`` tells whether a second send may be made now.
    """
    give_up = NextStep.FAIL if history.may_have_run else NextStep.REFUSE
    if outcome is AttemptOutcome.NOT_SENT:
        may_try = history.connection_failures < CONNECTION_TRIES
        return NextStep.RETRY if may_try else give_up
    if history.may_have_run and not route.may_repeat:
        return NextStep.FAIL
    return NextStep.RETRY if history.sends < route.attempts and has_budget else give_up


def first_answer_timeout(route: RouteSpecification) -> float:
    """Return the seconds after which a silent target is given up for another one."""
    return max(FIRST_ANSWER_OBJECTIVES * route.objective, LEAST_FIRST_ANSWER)


def stall_timeout(route: RouteSpecification) -> float:
    """Return the seconds without an event after which a stream goes on elsewhere."""
    return max(STALL_GAPS * route.event_gap, LEAST_STALL)


SUSPICION_GAPS = 1.0
"""Longest pauses that are still in time after which a silent stream is reported to control."""
SUSPICION_OBJECTIVES = 1.5
"""Latency objectives without an answer after which a target is reported to control."""


def suspicion_timeout(route: RouteSpecification, has_started: bool) -> float:
    """Return the seconds of silence after which control should look at the target."""
    if has_started:
        return SUSPICION_GAPS * route.event_gap
    return SUSPICION_OBJECTIVES * route.objective


FIRST_ANSWER_OBJECTIVES = 6.0
"""Latency objectives that a first answer may take: a busy target is slow, not lost, and a lost one
is found by probes much sooner."""
LEAST_FIRST_ANSWER = 2.0
"""Seconds; a full queue in front of a busy target takes this long."""
STALL_GAPS = 3.0
"""Longest pauses that are still in time after which a stream counts as stalled."""
LEAST_STALL = 0.6
"""Seconds; a long prompt that is read between two events takes up to half of this."""
