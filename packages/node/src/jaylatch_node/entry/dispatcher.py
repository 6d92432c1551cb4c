"""Dispatch of requests to targets, with retries where they are safe."""

from asyncio import sleep
from collections.abc import AsyncGenerator

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.enums import Outcome
from jaylatch_core.event_names import EventName
from jaylatch_core.exceptions import RequestRefused
from jaylatch_core.ids import NO_DIGEST, Epoch, GroupId, RequestDigest
from jaylatch_core.messages.journal import StoredAnswer
from jaylatch_core.messages.membership import GroupRoute
from jaylatch_core.messages.requests import (
    AttemptChunk,
    AttemptEnd,
    AttemptRefused,
    StartAttempt,
    TargetReport,
)
from jaylatch_decisions.admission import Drop
from jaylatch_decisions.quarantine import QuarantineStatus
from jaylatch_decisions.retry import RetryBudget
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.entry.admission import AdmissionController, refusal_of_drop
from jaylatch_node.entry.agents import AgentConnections
from jaylatch_node.entry.open_attempt import AttemptItem, OpenAttempt
from jaylatch_node.entry.quarantine import QuarantineController, digest_of_model
from jaylatch_node.entry.requests import ModelRequest, ServiceRequest, new_attempt_id
from jaylatch_node.entry.routes import Route, instance_of

CANCEL_REPLY_TIMEOUT = 0.25
"""Seconds to wait for an agent's result after a cancellation."""
RETRY_AFTER = 1.0
"""Seconds that a refusal gives in ``Retry-After``."""
SUSPECT_RETRY_DELAY = 0.05
"""Seconds before a suspect request that was refused by a target is dispatched again."""


class Dispatcher:
    """Runs requests on targets."""

    def __init__(
        self,
        board: Blackboard,
        connections: AgentConnections,
        admission: AdmissionController,
        quarantine: QuarantineController,
    ) -> None:
        self._board = board
        self._connections = connections
        self._admission = admission
        self._quarantine = quarantine
        self._retry_budget = RetryBudget(board.grant.policy().retry_burst)

    async def complete(
        self, request: ModelRequest
    ) -> AsyncGenerator[AttemptChunk | AttemptEnd | RequestRefused, None]:
        """Yield the chunks of a completion, then its end or a refusal.

        A completion is idempotent: after a failure it continues on any available group from the
        token at which it stopped.
        """
        delivered = 0
        outcome = Outcome.NOT_RUN
        digest = digest_of_model(request)
        self._retry_budget.earn(self._board.grant.policy().retry_budget)
        while True:
            if self._quarantine.status(monotonic(), digest) is QuarantineStatus.QUARANTINED:
                yield self._quarantine.refuse(monotonic(), request, digest, outcome)
                return
            decision = await self._admission.wait_for_route(request, delivered)
            if isinstance(decision, Drop):
                yield refusal_of_drop(decision, outcome)
                return
            work = msgspec.structs.replace(request.work, resume_from=delivered)
            started_at, delivered_before = monotonic(), delivered
            attempt = self._open(decision, request, work, digest)
            try:
                while True:
                    item = await self._next_item(attempt, request.caller.deadline)
                    if isinstance(item, AttemptRefused):
                        break
                    if isinstance(item, AttemptChunk):
                        delivered += item.tokens
                    if isinstance(item, AttemptEnd):
                        self._admission.estimates.record_attempt(
                            request,
                            delivered_before,
                            delivered - delivered_before,
                            monotonic() - started_at,
                        )
                    yield item
                    if isinstance(item, AttemptEnd):
                        return
            finally:
                self._connections.close(attempt)
                self._admission.process_queues()
            outcome = combine_outcomes(outcome, item.outcome)
            self._record_retry(request, item)
            if monotonic() >= request.caller.deadline:
                yield deadline_passed(outcome)
                return
            # After delivered tokens the next attempt continues from there, so it adds no load.
            is_repeated = item.outcome is not Outcome.NOT_RUN and delivered == delivered_before
            if is_repeated and not self._retry_budget.spend():
                yield retry_budget_exhausted(item)
                return
            if item.code == "suspect_apart":
                await sleep(SUSPECT_RETRY_DELAY)

    async def call_service(self, request: ServiceRequest) -> Result[StoredAnswer, RequestRefused]:
        """Run a service call; one that may have run is retried only if it is idempotent."""
        outcome = Outcome.NOT_RUN
        while True:
            decision = await self._admission.wait_for_route(request)
            if isinstance(decision, Drop):
                return Err(refusal_of_drop(decision, outcome))
            started_at = monotonic()
            attempt = self._open(decision, request, request.work)
            result = await self.collect_answer(attempt, request.caller.deadline)
            match result:
                case StoredAnswer():
                    self._admission.estimates.record_attempt(
                        request, 0, 0, monotonic() - started_at
                    )
                    return Success(result)
                case AttemptRefused():
                    outcome = combine_outcomes(outcome, result.outcome)
                    if outcome is not Outcome.NOT_RUN and not request.is_idempotent:
                        return Err(refusal_of(result))
            if monotonic() >= request.caller.deadline:
                return Err(deadline_passed(outcome))

    async def find_route(self, request: ServiceRequest) -> Route | None:
        """Return a route for a service call, or None if no target has capacity in time."""
        decision = await self._admission.wait_for_route(request)
        return None if isinstance(decision, Drop) else decision

    def report_of(self, route: Route) -> TargetReport | None:
        """Return the latest report of the agent that ``route`` leads to."""
        return self._board.target(instance_of(route)).report

    def has_target(self, request: ServiceRequest) -> bool:
        """Return whether any target of a service call admits new work."""
        return self._admission.has_target(request)

    def open_start(
        self, route: Route, start: StartAttempt, *, waits_until_deadline: bool
    ) -> OpenAttempt:
        """Send a start message built with ``build_start``."""
        return self._connections.open(
            instance_of(route), start, waits_until_deadline=waits_until_deadline
        )

    async def collect_answer(
        self, attempt: OpenAttempt, deadline: float
    ) -> StoredAnswer | AttemptRefused:
        """Wait for the complete answer or the refusal of an attempt, and close the attempt."""
        parts = []
        try:
            while True:
                item = await self._next_item(attempt, deadline)
                match item:
                    case AttemptChunk():
                        parts.append(item.data)
                    case AttemptEnd():
                        return StoredAnswer(item.status, item.content_type, b"".join(parts))
                    case AttemptRefused():
                        return item
        finally:
            self._connections.close(attempt)
            self._admission.process_queues()

    def build_start(
        self, route: Route, request: ModelRequest | ServiceRequest, work: object
    ) -> StartAttempt | None:
        """Return the start message of a new attempt, or None if the agent has not reported yet."""
        report = self.report_of(route)
        if report is None:
            return None
        return StartAttempt(
            new_attempt_id(),
            request.caller.id,
            request.caller.account.id,
            report.incarnation,
            route.group if isinstance(route, GroupRoute) else GroupId(""),
            route.epoch if isinstance(route, GroupRoute) else Epoch(0),
            report.clock,
            request.caller.deadline - monotonic(),
            work,  # type: ignore[arg-type]
            self._admission.has_backlog(request),
        )

    def _open(
        self,
        route: Route,
        request: ModelRequest | ServiceRequest,
        work: object,
        digest: RequestDigest = NO_DIGEST,
    ) -> OpenAttempt:
        start = self.build_start(route, request, work)
        assert start is not None, "routes are chosen among agents that have reported"
        if digest:
            is_suspect = self._quarantine.status(monotonic(), digest) is QuarantineStatus.SUSPECT
            start = msgspec.structs.replace(start, digest=digest, is_suspect=is_suspect)
        waits_until_deadline = isinstance(request, ServiceRequest) and not request.is_idempotent
        return self.open_start(route, start, waits_until_deadline=waits_until_deadline)

    async def _next_item(self, attempt: OpenAttempt, deadline: float) -> AttemptItem:
        try:
            return await attempt.next_item(deadline)
        except TimeoutError:
            self._connections.cancel(attempt)
        outcome = Outcome.UNKNOWN if attempt.is_sent else Outcome.NOT_RUN
        detail = "the deadline passed without a result"
        try:
            item = await attempt.next_item(monotonic() + CANCEL_REPLY_TIMEOUT)
            if not isinstance(item, AttemptRefused):
                return item
            outcome, detail = item.outcome, item.detail
        except TimeoutError:
            pass
        name = attempt.start.attempt
        return AttemptRefused(name, "deadline_passed", outcome, detail)

    def _record_retry(self, request: ModelRequest, refusal: AttemptRefused) -> None:
        self._board.events.record(
            wall(), EventName.REQUEST_RETRIED, refusal.attempt, request.caller.id, refusal.code
        )


def combine_outcomes(first: Outcome, second: Outcome) -> Outcome:
    """Return the outcome of two attempts: RAN overrides UNKNOWN, which overrides NOT_RUN."""
    return max(first, second, key=[Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.RAN].index)


def no_capacity(outcome: Outcome) -> RequestRefused:
    """Return the refusal of a request for which no target had capacity in time."""
    return RequestRefused(
        "no target had capacity for the request before its deadline",
        503,
        "no_capacity",
        outcome,
        RETRY_AFTER,
    )


def retry_budget_exhausted(refused: AttemptRefused) -> RequestRefused:
    """Return the refusal of a request that failed when the retry budget was exhausted."""
    return RequestRefused(
        f"the attempt failed and the retry budget is exhausted: {refused.detail}",
        503,
        "retries_spent",
        Outcome.RAN,
        RETRY_AFTER,
    )


def deadline_passed(outcome: Outcome) -> RequestRefused:
    """Return the refusal of a request whose deadline has passed."""
    return RequestRefused(
        "the deadline passed before the answer was complete",
        504,
        "deadline_passed",
        outcome,
        RETRY_AFTER,
    )


def refusal_of(refused: AttemptRefused) -> RequestRefused:
    """Convert an agent's refusal of an attempt to a refusal of its request."""
    status = 504 if refused.code == "deadline_passed" else 502
    return RequestRefused(refused.detail, status, refused.code, refused.outcome, RETRY_AFTER)
