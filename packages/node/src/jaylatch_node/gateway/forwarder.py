"""Forwarding of callers' requests to direct targets, and of answers to the callers.

``decide_next`` decides whether a request is sent again; this module does the sending.
"""

import logging
from asyncio import CancelledError, timeout_at
from collections import defaultdict

from tornado.httputil import HTTPHeaders, RequestStartLine

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, monotonic
from jaylatch_core.ids import AttemptId, InstanceId, RequestDigest
from jaylatch_core.log_records import (
    AttemptEnded,
    InternalError,
    RequestEnded,
    RequestPlaced,
    TargetConditionChanged,
)
from jaylatch_core.messages.membership import TargetDeath
from jaylatch_decisions.quarantine import AnsweredParts, EvidenceTable, QuarantineStatus
from jaylatch_decisions.retry import RetryBudget
from jaylatch_decisions.targets import RouteTable, TargetConditions, TargetLoad
from jaylatch_decisions.targets.attempts import (
    AttemptOutcome,
    NextStep,
    decide_next,
    record_outcome,
)
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.deadlines import loop_time
from jaylatch_node.gateway.attempt import Attempt, RecoveryHandler, SuspicionHandler
from jaylatch_node.gateway.balancing import TargetBalancer
from jaylatch_node.gateway.caller import Caller
from jaylatch_node.gateway.job import Job, digest_of
from jaylatch_node.gateway.metrics import GatewayMetrics
from jaylatch_node.gateway.placement import NoPlacement, Obstacle, Placement, Placer
from jaylatch_node.gateway.refusals import Refusals
from jaylatch_node.gateway.successor import SuccessorReservation
from jaylatch_node.observability import log_record
from jaylatch_node.targets import (
    InboundRequest,
    Refusal,
    RefusalKind,
    ResponseFacts,
    TargetDialect,
    TargetPool,
)

NO_TARGET_RETRY = 1.0
"""Seconds after which a caller should retry if no target serves: a group is repaired in about
two."""
FULL_RETRY = 0.4
"""Seconds after which a caller refused by full targets should retry: a place becomes free after the
mean answer time divided by the slots of a target, and jitter spreads the callers."""
NO_LEASE_RETRY = 0.5
"""Seconds after which a node without a lease may have one again: one renewal interval."""
SHUTDOWN_RETRY = 0.02
"""Seconds after which a caller may retry at another instance."""
RETRY_DELAYS = {Obstacle.NO_TARGET: NO_TARGET_RETRY, Obstacle.NO_LEASE: NO_LEASE_RETRY}
"""Seconds after which a caller should retry; ``FULL_RETRY`` after any other obstacle."""

QUARANTINED_PART = "targets that answered a part of this prompt ended"
ENDING = "this instance is ending"
INTERNAL_ERROR = "an error of this instance"

_log = logging.getLogger("jaylatch.request")


class Forwarder:
    """Handles the requests of one gateway process."""

    def __init__(
        self,
        board: Blackboard,
        dialect: TargetDialect,
        placer: Placer,
        balancer: TargetBalancer,
        conditions: TargetConditions,
        pool: TargetPool,
        budget: RetryBudget,
        repeat_ratio: float,
        metrics: GatewayMetrics,
        refusals: Refusals,
        suspect: SuspicionHandler,
        report_recovery: RecoveryHandler,
        apply_bound: float,
        answered_parts: AnsweredParts,
    ) -> None:
        self._answered_parts = answered_parts
        self._conditions = conditions
        self._apply_bound = apply_bound
        self._placer = placer
        self._balancer = balancer
        self._evidence = EvidenceTable()
        self._suspect = suspect
        self._report_recovery = report_recovery
        self._is_shutting_down = False
        self._attempts: dict[InstanceId, set[Attempt]] = defaultdict(set)
        self._board = board
        self._dialect = dialect
        self._pool = pool
        self._budget = budget
        self._repeat_ratio = repeat_ratio
        self._metrics = metrics
        self._refusals = refusals
        self._table = RouteTable(board.grant.deployment)

    def update_routes(self) -> None:
        """Use the routes and keys of the granted deployment."""
        self._table = RouteTable(self._board.grant.deployment)

    def record_deaths(self, now: float, deaths: tuple[TargetDeath, ...]) -> None:
        """Record evidence against the requests that ran at targets when these died."""
        self._evidence.record_deaths(now, deaths)

    def stop_admitting(self) -> None:
        """Refuse every further request: this process is shutting down."""
        self._is_shutting_down = True

    def mark_lost(self, lost: set[InstanceId]) -> None:
        """Tell the requests at ``lost`` targets that control takes these for lost."""
        for instance in lost:
            for attempt in tuple(self._attempts.get(instance, ())):
                attempt.mark_lost()

    async def handle(
        self, start_line: RequestStartLine, headers: HTTPHeaders, body: bytes, caller: Caller
    ) -> None:
        """Answer one request; the server closes the connection of one that cannot be answered."""
        now = monotonic()
        request: InboundRequest | None = None
        try:
            read = self._dialect.read_request(start_line, headers, body)
            if isinstance(read, Refusal):
                admitted: Job | Refusal = read
            else:
                request = read
                admitted = self._admit(now, request, caller)
        except Exception as error:
            # Nothing has been sent to a target, so the caller may be told that nothing ran.
            self._log_error(request, error)
            admitted = Refusal(RefusalKind.NOT_RUN, INTERNAL_ERROR)
        if isinstance(admitted, Refusal):
            self._refusals.refuse(caller, request, admitted, "")
            return
        try:
            self._metrics.count_request(admitted.route.name)
            self._budget.earn(self._repeat_ratio)
            async with timeout_at(loop_time(admitted.deadline)):
                await self._run(admitted)
        except TimeoutError:
            self._time_out(admitted)
        except CancelledError:
            if caller.is_disconnected:
                self._record_end(admitted, "caller_gone")
            else:
                # This process ends before the target has answered.
                admitted.history.may_have_run |= admitted.placements > 0
                self._give_up(admitted, ENDING, SHUTDOWN_RETRY)
            raise
        except Exception as error:
            # An internal error must not leave the caller without an answer.
            self._log_error(request, error)
            if not caller.has_finished:
                admitted.history.may_have_run = True
                self._give_up(admitted, INTERNAL_ERROR, 0.0)

    def _log_error(self, request: InboundRequest | None, error: Exception) -> None:
        _log.exception("unexpected error while handling a request")
        attempt = request.attempt if request is not None else ""
        log_record(_log, InternalError(request=attempt, error=repr(error)))

    def _admit(self, now: float, request: InboundRequest, caller: Caller) -> Job | Refusal:
        """Return the job of a request that may be forwarded, or the refusal."""
        if self._is_shutting_down:
            return Refusal(RefusalKind.NOT_RUN, ENDING, SHUTDOWN_RETRY)
        if not self._board.grant.lease.is_valid(now) or not self._board.grant.deployment.number:
            return Refusal(RefusalKind.NOT_RUN, "no valid lease", NO_LEASE_RETRY)
        if self._board.grant.announced.is_overdue(now, self._apply_bound):
            return Refusal(RefusalKind.NOT_RUN, "a newer deployment is in force", NO_LEASE_RETRY)
        route = self._table.find_route(request.host, request.path)
        if route is None:
            return Refusal(RefusalKind.NO_ROUTE, "no route matches host and path")
        account = self._table.find_account(request.key)
        if account is None and self._table.needs_key(route):
            return Refusal(RefusalKind.UNKNOWN_KEY, "the key is not known")
        digest = digest_of(request, account)
        if len(self._evidence) and self._is_quarantined(now, digest):
            return Refusal(RefusalKind.NOT_RUN, "targets that ran this request ended")
        if self._has_quarantined_part(request):
            return Refusal(RefusalKind.NOT_RUN, QUARANTINED_PART)
        time_left = route.timeout
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        return Job(request, caller, route, account, now, now + time_left, digest)

    def _is_quarantined(self, now: float, digest: RequestDigest) -> bool:
        duration = self._board.grant.policy().quarantine_time
        return self._evidence.status(now, digest, duration) is QuarantineStatus.QUARANTINED

    def _has_quarantined_part(self, request: InboundRequest) -> bool:
        quarantined = self._board.grant.view.quarantined_parts
        return any(part in quarantined for part in request.shared_parts)

    async def _run(self, job: Job) -> None:
        """Send the request until it is answered or fails."""
        successor = SuccessorReservation(lambda: self._placer.place(job), self._budget)
        attempt = Attempt(
            job.request,
            job.digest,
            job.caller,
            job.route,
            self._dialect,
            self._pool,
            self._suspect,
            self._record_conditions,
            self._report_recovery,
            successor,
            self._placer.may_send,
        )
        try:
            await self._run_attempts(job, attempt, successor)
        finally:
            attempt.release()
            successor.release()

    async def _run_attempts(
        self, job: Job, attempt: Attempt, successor: SuccessorReservation
    ) -> None:
        while True:
            placement = successor.take() or await self._placer.place(job)
            if isinstance(placement, NoPlacement):
                if await self._placer.wait_for_target(job, placement):
                    continue
                retry_after = RETRY_DELAYS.get(placement.obstacle, FULL_RETRY)
                self._give_up(job, placement.cause, retry_after, placement)
                return
            if self._has_quarantined_part(job.request):
                # It was quarantined while this request waited or was running elsewhere.
                placement.release()
                self._give_up(job, QUARANTINED_PART, 0.0)
                return
            target = placement.target
            job.attempted[target.instance] = target
            job.placements += 1
            job.waits_since = None
            self._record_placement(job, placement, attempt.last_event)
            sent_at = monotonic()
            is_answered = False
            try:
                outcome = await self._send(job, attempt, placement)
                is_answered = outcome is None and job.placements == 1
            finally:
                placement.release(is_answered)
            if outcome is AttemptOutcome.EXPIRED:
                del job.attempted[target.instance]
            if outcome is None:
                self._evidence.clear([job.digest])
                if attempt.has_answered:
                    self._answered_parts.record(monotonic(), job.request.shared_parts)
                self._record_end(job, "answered", target, attempt.status)
                is_whole = job.placements == 1 and job.request.resume_after is None
                if is_whole and job.caller.started_at > sent_at:
                    first_token = job.caller.started_at - sent_at
                    self._placer.record_times(job, target, first_token, monotonic() - sent_at)
                return
            if self._decide_next(job, outcome, attempt, successor) is NextStep.RETRY:
                continue
            if outcome is AttemptOutcome.FAILED and attempt.forward_failure():
                self._record_end(job, "failure_passed", target, attempt.status)
                return
            self._give_up(job, outcome.value, FULL_RETRY)
            return

    def _decide_next(
        self,
        job: Job,
        outcome: AttemptOutcome,
        attempt: Attempt,
        successor: SuccessorReservation,
    ) -> NextStep:
        """Record the outcome of a send; a repeat is taken from the retry budget.

        A reserved successor includes its part of the budget.
        """
        record_outcome(job.history, outcome)
        job.history.is_resumable = attempt.is_resumable
        self._metrics.count_outcome(outcome)
        is_unsent = outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.EXPIRED)
        is_paid = is_unsent or successor.is_reserved
        has_budget = is_paid or self._budget.available >= 1.0
        step = decide_next(job.route, job.history, outcome, has_budget)
        log_record(
            _log,
            AttemptEnded(
                request=job.request.attempt,
                target=attempt.target,
                outcome=outcome.value,
                step=step.value,
                sends=job.history.sends,
                budget=round(self._budget.available, 1),
                silent_ms=int(attempt.idle_time(monotonic()) * MILLISECONDS_PER_SECOND),
                abandoned=attempt.abandoned_because,
                status=attempt.status,
                has_begun=job.caller.has_started,
            ),
        )
        if step is NextStep.RETRY and not is_paid:
            self._budget.spend()
        return step

    async def _send(
        self, job: Job, attempt: Attempt, placement: Placement
    ) -> AttemptOutcome | None:
        target = placement.target
        target.own_in_flight += 1
        running = self._attempts[target.instance]
        running.add(attempt)
        try:
            return await attempt.send(
                placement.address,
                target,
                job.account.name if job.account is not None else None,
                job.deadline,
                job.history.sends + 1 < job.route.attempts,
                placement.send_until,
            )
        finally:
            target.own_in_flight -= 1
            running.discard(attempt)
            if not running:
                del self._attempts[target.instance]

    def _record_conditions(
        self, instance: InstanceId, request: AttemptId, facts: ResponseFacts
    ) -> None:
        """Record the conditions that an answer of a target states, and log their changes."""
        now = monotonic()
        if facts.server_load is not None:
            self._balancer.record_report(now, instance, facts.server_load)
        changes = []
        if self._conditions.record_limit(now, instance, facts.limit):
            changes.append(("limit ended" if facts.limit is None else "limit", facts.limit or 0.0))
        if facts.rest and self._conditions.record_rest(now, instance, facts.rest):
            changes.append(("rest", facts.rest))
        if facts.is_leaving and self._conditions.record_leaving(now, instance):
            changes.append(("leaving", 0.0))
        if facts.cold_left and self._conditions.record_cold(now, instance, facts.cold_left):
            changes.append(("cold", facts.cold_left))
        for condition, value in changes:
            log_record(
                _log,
                TargetConditionChanged(
                    target=instance, request=request, condition=condition, value=value
                ),
            )

    def _give_up(
        self,
        job: Job,
        reason: str,
        retry_after: float,
        found: NoPlacement | None = None,
    ) -> None:
        """End a request that no target answers."""
        if job.caller.has_started:
            job.caller.abort()
            self._record_end(job, f"stream_cut:{reason}")
            return
        if job.history.may_have_run:
            refusal = Refusal(RefusalKind.FAILED, reason)
        else:
            wait = found.wait if found is not None else 0.0
            agreed = found.retry_after if found is not None else 0.0
            # An owner that agrees on a time spreads the callers itself.
            delay = agreed or wait + self._refusals.add_jitter(retry_after)
            refusal = Refusal(RefusalKind.NOT_RUN, reason, delay)
        self._refusals.refuse(job.caller, job.request, refusal, job.route.name, found)

    def _time_out(self, job: Job) -> None:
        """Answer a request whose deadline has passed."""
        if job.caller.has_started:
            job.caller.abort()
            self._record_end(job, "stream_timed_out")
            return
        refusal = Refusal(RefusalKind.TIMED_OUT, "the route's time is over")
        self._refusals.refuse(job.caller, job.request, refusal, job.route.name)

    def _record_end(
        self, job: Job, outcome: str, target: TargetLoad | None = None, status: int = 0
    ) -> None:
        now = monotonic()
        took = now - job.arrived_at
        self._metrics.record_time(took)
        first_at = job.caller.started_at
        log_record(
            _log,
            RequestEnded(
                request=job.request.attempt,
                route=job.route.name,
                outcome=outcome,
                target=target.instance if target is not None else "",
                sends=job.placements,
                ms=round(took * MILLISECONDS_PER_SECOND, 1),
                first_ms=round(max(first_at - job.arrived_at, 0.0) * MILLISECONDS_PER_SECOND, 1),
                status=status,
            ),
        )

    def _record_placement(self, job: Job, placement: Placement, last_event: int) -> None:
        target, place = placement.target, placement.place
        now = monotonic()
        age = (now - target.reported_at) * MILLISECONDS_PER_SECOND if target.reported_at else -1
        log_record(
            _log,
            RequestPlaced(
                request=job.request.attempt,
                route=job.route.name,
                target=target.instance,
                send=job.placements,
                load=round(place.load if place is not None else target.expected_load(now), 2),
                report_age_ms=0 if place is not None else int(age),
                candidates=placement.candidates,
                view=self._board.grant.view.version,
                time_left_ms=int((job.deadline - now) * MILLISECONDS_PER_SECOND),
                resume_after=last_event,
            ),
        )
