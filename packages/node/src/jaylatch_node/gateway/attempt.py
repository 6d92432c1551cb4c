"""Sending of a request to targets, and forwarding of complete answers and events to its caller."""

import logging
from asyncio import Future
from collections.abc import Awaitable, Callable
from math import inf

from jaylatch_core.clock import monotonic
from jaylatch_core.deployment import RequestKind, RouteSpecification
from jaylatch_core.ids import AccountId, AttemptId, InstanceId, RequestDigest
from jaylatch_core.log_records import AnswerSkipped
from jaylatch_core.messages.targets import SuspectTarget
from jaylatch_decisions.targets import TargetLoad
from jaylatch_decisions.targets.attempts import (
    AttemptOutcome,
    first_answer_timeout,
    stall_timeout,
    suspicion_timeout,
)
from jaylatch_node.gateway.caller import Caller
from jaylatch_node.gateway.forwarded_stream import ForwardedStream
from jaylatch_node.gateway.held import HeldKind
from jaylatch_node.gateway.kept_answer import KeptAnswer
from jaylatch_node.gateway.successor import SuccessorReservation
from jaylatch_node.gateway.watchdog import ResponseWatchdog
from jaylatch_node.observability import log_record
from jaylatch_node.targets import (
    ExchangeFailed,
    InboundRequest,
    ResponseFacts,
    ResponseHead,
    TargetConnection,
    TargetDialect,
    TargetPool,
)

SuspicionHandler = Callable[[SuspectTarget], None]
"""Called for an unresponsive target, and for one that closed the connection of a request."""
RecoveryHandler = Callable[[TargetLoad], None]
"""Called when a target sends events of a stream after control has taken it for lost."""
ConditionHandler = Callable[[InstanceId, AttemptId, ResponseFacts], None]
"""Called for each answer of a target, with the request's attempt id and what the head states."""

SendPermission = Callable[[TargetLoad], bool]
"""Returns whether a request may still be sent to the target that was chosen for it."""

SUCCESS = range(200, 300)
SERVER_ERROR = 500
CONNECTION_ENDED = (ExchangeFailed.CLOSED, ExchangeFailed.INCOMPLETE)
"""Failures of an exchange that a target causes when it dies."""

NO_MEMORY = "memory"
"""Why a target was abandoned whose answer, or whose unread request, there is no memory for."""
UNIDENTIFIED = "unidentified answer"
"""Why a target was abandoned that answered without naming the request on a kept connection."""

_log = logging.getLogger("jaylatch.request")


class Attempt:
    """Sends a request to one target after another, and tracks what the caller has received."""

    def __init__(
        self,
        request: InboundRequest,
        digest: RequestDigest,
        caller: Caller,
        route: RouteSpecification,
        dialect: TargetDialect,
        pool: TargetPool,
        suspect: SuspicionHandler,
        record_conditions: ConditionHandler,
        report_recovery: RecoveryHandler,
        successor: SuccessorReservation,
        may_send: SendPermission,
    ) -> None:
        self._may_send = may_send
        self._successor = successor
        self._report_recovery = report_recovery
        self._suspect = suspect
        self._record_conditions = record_conditions
        self._request = request
        self._digest = digest
        self._caller = caller
        self._route = route
        self._dialect = dialect
        self._pool = pool
        self._stream = ForwardedStream(request.resume_after)
        self._kept = KeptAnswer(caller.memory)
        self._head: ResponseHead | None = None
        self._facts: ResponseFacts | None = None
        self._is_stream = False
        self._progress_at = 0.0
        self._sent_at = 0.0
        self._has_content = False
        self._abandoned_because = ""
        self._watchdog: ResponseWatchdog | None = None
        self._connection: TargetConnection | None = None
        self._target: TargetLoad | None = None
        self._is_paused = False
        self._sent_to: set[str] = set()

    @property
    def last_event(self) -> int:
        """Return the id of the last event that the caller has, or -1."""
        return self._stream.last_event

    @property
    def is_resumable(self) -> bool:
        """Return whether another target can go on with what the caller has received."""
        return self._stream.is_resumable

    @property
    def has_answered(self) -> bool:
        """Return whether the target has answered with success, and with some content.

        A stream without framing also ends when its target dies before the first event.
        """
        return self._head is not None and self._head.status in SUCCESS and self._has_content

    @property
    def target(self) -> InstanceId:
        """Return the target that the request was sent to last."""
        assert self._target is not None
        return self._target.instance

    @property
    def status(self) -> int:
        """Return the status of the latest target's answer, 0 if there is none."""
        return self._head.status if self._head is not None else 0

    @property
    def abandoned_because(self) -> str:
        """Return why the latest target was abandoned for another one, or an empty text."""
        return self._abandoned_because

    @property
    def _has_no_memory(self) -> bool:
        """Return whether the answer, or the unread request, was given up for lack of memory."""
        return self._abandoned_because == NO_MEMORY

    @property
    def _has_begun(self) -> bool:
        """Return whether the target answers with a stream that the caller has begun to receive."""
        return self._is_stream and self._caller.has_started

    async def send(
        self,
        address: str,
        target: TargetLoad,
        account: AccountId | None,
        deadline: float,
        has_attempts_left: bool,
        send_until: float = inf,
    ) -> AttemptOutcome | None:
        """Send to one target; return None if the caller got its answer.

        ``has_attempts_left`` allows an unresponsive target to be abandoned for a successor. After
        ``send_until`` the permission to send has expired, and nothing is sent.
        """
        self._reset()
        self._target = target
        now = monotonic()
        connection = await self._open(now, address)
        if connection is None:
            target.record_failure(monotonic())
            self._suspect(SuspectTarget(target.instance))
            return AttemptOutcome.NOT_SENT
        if not self._may_send(target):
            self._pool.release(now, address, connection, None)
            return AttemptOutcome.NOT_SENT
        if monotonic() > send_until:
            self._pool.release(now, address, connection, None)
            return AttemptOutcome.EXPIRED
        outbound = self._dialect.write_request(
            self._request,
            target.instance,
            account,
            deadline - monotonic(),
            self._stream.resume_after,
        )
        self._connection = connection
        self._sent_to.add(address)
        watchdog = None
        if self._route.kind is RequestKind.STREAM:
            may_abandon = has_attempts_left and self._route.may_repeat
            watchdog = ResponseWatchdog(
                self,
                connection,
                target.instance,
                self._successor if may_abandon else None,
            )
            self._watchdog = watchdog
        unsent = self._caller.memory.hold(HeldKind.UNSENT_REQUEST, self._give_up_for_memory)
        try:
            failure = await connection.exchange(
                outbound,
                self._take_head,
                self._take_data,
                lambda: unsent.watch(connection.stream, lambda: connection.unwritten),
            )
        except BaseException:
            self.release()
            connection.close()
            raise
        finally:
            unsent.release()
            self._watchdog = None
            if watchdog is not None:
                watchdog.cancel()
        return self._classify(address, connection, target, failure)

    async def _open(self, now: float, address: str) -> TargetConnection | None:
        """Return a connection to the target, or None if there is none.

        A target that refused this request before may write that refusal once more on a connection
        that it keeps, where it can't be told from the answer to a later send.
        """
        kept = self._pool.take(now, address) if address not in self._sent_to else None
        return kept or await self._pool.connect(address)

    def forward_failure(self) -> bool:
        """Forward a target's complete error answer unchanged; return False if there is none."""
        if self._caller.has_started or self._head is None or self._is_stream:
            return False
        if self._facts is None or not self._facts.has_signature:
            return False
        if self._head.status in SUCCESS or self._facts.is_not_run:
            return False
        self._send_complete(self._head)
        return True

    def _reset(self) -> None:
        self._head = None
        self._facts = None
        self.release()
        self._is_paused = False
        self._is_stream = False
        self._has_content = False
        self._abandoned_because = ""
        self._stream.restart()
        self._progress_at = self._sent_at = monotonic()

    # Reading

    def _take_head(self, head: ResponseHead) -> bool:
        """Handle a response head; return False if it answers another request."""
        facts = self._dialect.read_response(head)
        if not self._is_own_answer(facts):
            self._log_skipped(head, facts)
            if facts.attempt is None and self._route.may_repeat:
                # If it is the answer after all, no other one comes.
                self.mark_abandoned(UNIDENTIFIED)
                self._close_connection()
            return False
        if self._target is not None and not facts.is_misdirected:
            self._record_conditions(self._target.instance, self._request.attempt, facts)
            self._target.proven_at = max(self._target.proven_at, self._sent_at)
        self._progress_at = monotonic()
        self._head, self._facts = head, facts
        is_success = head.status in SUCCESS and facts.has_signature and not facts.is_encoded
        is_stream = self._route.kind is RequestKind.STREAM and is_success
        self._is_stream = is_stream and self._stream.may_continue(head)
        return True

    def _is_own_answer(self, facts: ResponseFacts) -> bool:
        """Return whether an answer is to the request that waits for it.

        Only on a new connection can an answer that names no request be to no other one.
        """
        if facts.attempt is not None:
            return facts.attempt == self._request.attempt
        return self._connection is not None and not self._connection.has_answered

    def _log_skipped(self, head: ResponseHead, facts: ResponseFacts) -> None:
        log_record(
            _log,
            AnswerSkipped(
                request=self._request.attempt,
                target=self.target,
                answered=facts.attempt or "",
                status=head.status,
            ),
        )

    def _take_data(self, data: bytes) -> Awaitable[None] | None:
        """Handle a part of the answer; return what must be done before the next one is read."""
        if self._has_no_memory:
            # The HTTP library may hold further parts although the connection is closed.
            return None
        if not self._is_stream:
            self._progress_at = monotonic()
            self._has_content = True
            return self._keep(data)
        if self._stream.is_broken:
            return None
        events = self._stream.feed(data)
        if self._stream.is_broken:
            self._close_connection()
        if not events:
            # Part of an event is no progress: a stalled target may send a byte now and then.
            return None
        self._has_content = True
        self._progress_at = monotonic()
        if self._target is not None:
            self._target.progress_at = self._progress_at
            if self._watchdog is not None and self._watchdog.mark_recovered():
                self._report_recovery(self._target)
        if self._caller.has_started:
            self._caller.send(events)
        else:
            assert self._head is not None
            self._stream.begin(self._head)
            headers = self._dialect.write_answer_headers(self._head)
            self._caller.start_stream(self._head.status, self._head.reason, headers, events)
        caught_up = self._caller.wait_until_read()
        return self._pause(caught_up) if caught_up is not None else None

    # Answers for which there is no room

    async def _pause(self, caught_up: "Future[None]") -> None:
        """Read nothing from the target until the caller has read enough.

        The target is not silent meanwhile.
        """
        self._is_paused = True
        try:
            await caught_up
        finally:
            self._is_paused = False
            self._progress_at = monotonic()

    def _keep(self, data: bytes) -> Awaitable[None] | None:
        """Keep a part of an answer that is sent when it is complete."""
        return None if self._kept.add(data) else self._wait_for_room()

    async def _wait_for_room(self) -> None:
        self._is_paused = True
        try:
            if not await self._kept.wait_for_room():
                self._give_up_for_memory()
        finally:
            self._is_paused = False
            self._progress_at = monotonic()

    def _give_up_for_memory(self) -> None:
        self.mark_abandoned(NO_MEMORY)
        self.release()
        self._close_connection()

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()

    def release(self) -> None:
        """Hold no answer any longer."""
        self._kept.release()

    # Outcomes

    def _classify(
        self,
        address: str,
        connection: TargetConnection,
        target: TargetLoad,
        failure: ExchangeFailed | None,
    ) -> AttemptOutcome | None:
        now = monotonic()
        facts = self._facts
        if facts is not None and facts.server_load is not None:
            target.record_report(now, facts.server_load)
        # An answer whose last part was given up is complete according to its framing.
        has_failed = failure is not None or self._has_no_memory
        if has_failed or facts is None or self._head is None:
            connection.close()
            if not self._has_no_memory:
                target.record_failure(now)
            if failure in CONNECTION_ENDED and not self._abandoned_because:
                parts = self._request.shared_parts
                self._suspect(SuspectTarget(target.instance, self._digest, parts))
            if self._has_no_memory and self._head is not None:
                return AttemptOutcome.NO_MEMORY
            return AttemptOutcome.STALLED if self._abandoned_because else AttemptOutcome.BROKEN
        self._pool.release(now, address, connection, facts.keep_alive)
        if facts.is_not_run:
            return AttemptOutcome.NOT_RUN
        if self._is_stream:
            return self._end_stream(now, target)
        if not facts.has_signature or facts.is_encoded:
            target.record_failure(now)
            return AttemptOutcome.BROKEN
        target.record_success()
        is_repeatable_error = self._head.status >= SERVER_ERROR and self._route.may_repeat
        if is_repeatable_error or self._caller.has_started:
            # A stream that has begun can only be continued, not followed by another answer.
            return AttemptOutcome.FAILED
        self._send_complete(self._head)
        return None

    def _end_stream(self, now: float, target: TargetLoad) -> AttemptOutcome | None:
        if not self._stream.is_whole:
            target.record_failure(now)
            return AttemptOutcome.BROKEN
        target.record_success()
        if not self._caller.has_started:
            assert self._head is not None
            self._send_complete(self._head)
            return None
        self._caller.finish()
        return None

    def _send_complete(self, head: ResponseHead) -> None:
        headers = self._dialect.write_answer_headers(head)
        self._caller.send_answer(head.status, head.reason, headers, self._kept.take())
        self.release()

    # Unresponsive targets

    def mark_lost(self) -> None:
        """Handle that control takes the current target for lost."""
        if self._watchdog is not None:
            self._watchdog.mark_lost()

    def idle_time(self, now: float) -> float:
        """Return the seconds since the last progress, 0 while this gateway does not read."""
        return 0.0 if self._is_paused else now - self._progress_at

    def suspicion_limit(self) -> float:
        """Return the seconds without progress after which the target is reported."""
        return suspicion_timeout(self._route, self._has_begun)

    def response_timeout(self, is_lost: bool) -> float:
        """Return the seconds without progress after which a successor is sought.

        ``is_lost`` states that control takes the target for lost. It may be wrong, so an answer
        that has begun goes on while there are events.
        """
        if is_lost:
            return self.suspicion_limit() if self._has_begun else 0.0
        return stall_timeout(self._route) if self._has_begun else first_answer_timeout(self._route)

    def report_unresponsive(self, instance: InstanceId) -> None:
        """Report to control that a target is unresponsive."""
        self._suspect(SuspectTarget(instance))

    def mark_abandoned(self, reason: str) -> None:
        """Record that the target was abandoned for another one, and why."""
        self._abandoned_because = reason
