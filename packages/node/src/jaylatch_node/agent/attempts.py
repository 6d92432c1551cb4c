"""Execution of attempts on the target, each at most once, and retention of their answers."""

from asyncio import Task, create_task
from functools import partial
from typing import Protocol

from returns.pipeline import is_successful
from tornado.httpclient import AsyncHTTPClient
from tornado.ioloop import PeriodicCallback

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, monotonic, wall
from jaylatch_core.enums import Outcome, TargetKind
from jaylatch_core.event_names import EventName
from jaylatch_core.ids import AttemptId
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.requests import (
    AttemptCredit,
    AttemptEnd,
    AttemptRefused,
    AttemptStarted,
    CancelAttempt,
    ModelWork,
    QueryAttempt,
    ResumeAttempt,
    ServiceWork,
    StartAttempt,
    TargetReport,
)
from jaylatch_core.settings import AgentSettings
from jaylatch_decisions.quarantine import DeathRecorder
from jaylatch_node.adapters import EngineClient, ServiceClient
from jaylatch_node.agent.attempt_record import AttemptRecord
from jaylatch_node.agent.load import LoadController
from jaylatch_node.blackboard import NO_EPOCH, NO_GROUP, Blackboard
from jaylatch_node.planned_stop import PlannedStop
from jaylatch_node.streams import StreamConnection

MAX_START_AGE = 5.0
"""Largest age in seconds of the ``clock`` of a start; an older start is refused."""
REPORT_INTERVAL = 0.25
"""Seconds between two load reports to the entries."""
SWEEP_INTERVAL = 1.0
"""Seconds between two removals of expired attempts."""
UNWATCHED_TIMEOUT = 5.0
"""Seconds after which a running completion that no entry watches is stopped."""
ANSWER_CHUNK_BYTES = 64 * 1024


class Admission(Protocol):
    """Decides whether new work may start."""

    def is_admitting(self, now: float) -> bool:
        """Return whether an attempt may start at ``now``."""


class AttemptsController:
    """Runs and records the attempts of this incarnation of the agent."""

    def __init__(
        self,
        board: Blackboard,
        settings: AgentSettings,
        admission: Admission,
        client: AsyncHTTPClient,
    ) -> None:
        self._board = board
        self._settings = settings
        self._admission = admission
        self._client = client
        self._load = LoadController(board, settings.adapts_limit)
        self._deaths = DeathRecorder(f"{board.identity.instance}/{board.identity.incarnation}")
        self._attempts: dict[AttemptId, AttemptRecord] = {}
        self._connections: set[StreamConnection] = set()
        self._is_stopping = False
        self._reporter = PeriodicCallback(self.report, REPORT_INTERVAL * MILLISECONDS_PER_SECOND)
        self._sweeper = PeriodicCallback(self._sweep, SWEEP_INTERVAL * MILLISECONDS_PER_SECOND)

    def start(self) -> None:
        """Start to report to the entries and to remove expired attempts."""
        self._reporter.start()
        self._sweeper.start()

    def stop(self) -> None:
        """Stop the reports and the removal of expired attempts."""
        self._reporter.stop()
        self._sweeper.stop()

    async def drain(self, stop: PlannedStop) -> None:
        """Start nothing more, and wait for the attempts and their delivery."""
        self._is_stopping = True
        self.report()
        await stop.wait_while(lambda: any(item.is_open for item in self._attempts.values()))
        await stop.flush()

    def open_connection(self, connection: StreamConnection) -> None:
        """Report to a new connection at once."""
        self._connections.add(connection)
        connection.send(self._target_report(monotonic(), connection))

    def close_connection(self, connection: StreamConnection) -> None:
        """Stop reporting to a connection; its attempts go on so that they can be resumed."""
        self._connections.discard(connection)
        self._load.forget(connection)
        now = monotonic()
        for record in self._attempts.values():
            record.unwatch(connection, now)

    def report(self) -> None:
        """Send the current load to all connections."""
        now = monotonic()
        for connection in self._connections:
            connection.send(self._target_report(now, connection))

    def abort_all(self) -> None:
        """End all running model attempts: the group is incomplete or the engine gets an order."""
        for attempt, record in self._attempts.items():
            if record.end is None and record.is_model:
                self._stop(
                    attempt,
                    record,
                    "group_lost",
                    "the group is incomplete or its engine gets a new order",
                )

    def handle(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Handle an entry's message; returns False if the body is not one."""
        now = monotonic()
        match body:
            case StartAttempt():
                self._start(now, connection, body)
            case AttemptCredit(attempt, next_chunk):
                if attempt in self._attempts:
                    self._attempts[attempt].credit(connection, next_chunk)
            case CancelAttempt():
                self._cancel(now, connection, body)
            case ResumeAttempt():
                self._resume(now, connection, body)
            case QueryAttempt():
                connection.reply(call, self._query(now, connection, body))
            case _:
                return False
        return True

    # Starting

    def _start(self, now: float, connection: StreamConnection, start: StartAttempt) -> None:
        known = self._attempts.get(start.attempt)
        if known is not None:
            known.watch(connection, 0, now)
            return
        is_model = isinstance(start.work, ModelWork)
        record = AttemptRecord(start.attempt, now, self._describe_start, keeps_chunks=not is_model)
        self._attempts[start.attempt] = record
        refusal_code = self._refusal_code(now, connection, start)
        if refusal_code:
            record.refuse(
                refusal_code,
                Outcome.NOT_RUN,
                f"the agent refused to start the attempt: {refusal_code}",
            )
            record.watch(connection, 0, now)
            connection.send(self._target_report(now, connection))
            return
        self._load.begin(now, connection, start)
        record.watch(connection, 0, now)
        self._board.events.record(
            wall(),
            EventName.ATTEMPT_STARTED,
            start.attempt,
            start.request,
            group=start.group,
            epoch=start.epoch,
        )
        record.task = create_task(self._run(record, start))
        # A task that is cancelled before its first step does not run its own cleanup.
        record.task.add_done_callback(partial(self._on_task_done, record, start))

    def _refusal_code(self, now: float, connection: StreamConnection, start: StartAttempt) -> str:
        """Return the code of the refusal, or an empty string if the attempt may start."""
        member = self._board.member
        if start.incarnation != self._board.identity.incarnation:
            return "agent_restarted"
        if now - start.clock > MAX_START_AGE:
            return "start_too_late"
        if start.budget <= 0:
            return "deadline_passed"
        if not self._is_admitting(now):
            return "not_admitting"
        if isinstance(start.work, ModelWork) and start.epoch != member.epoch:
            return "epoch_changed"
        if start.is_suspect and self._load.has_suspect():
            return "suspect_apart"
        if not self._load.has_room(now, connection):
            return "target_full"
        return ""

    def _is_admitting(self, now: float) -> bool:
        return not self._is_stopping and self._admission.is_admitting(now)

    async def _run(self, record: AttemptRecord, start: StartAttempt) -> None:
        match start.work:
            case ModelWork() as work:
                await self._run_model(record, start, work)
            case ServiceWork() as work:
                await self._run_service(record, start, work)

    def _on_task_done(self, record: AttemptRecord, start: StartAttempt, task: Task[None]) -> None:
        self._load.end(start.attempt, isinstance(record.end, AttemptEnd))
        record.touched_at = monotonic()

    async def _run_model(self, record: AttemptRecord, start: StartAttempt, work: ModelWork) -> None:
        def on_tokens(tokens: int, text: str) -> None:
            if record.end is None:
                now = monotonic()
                self._load.count_tokens(now, start.attempt, tokens)
                self._board.member.record_tokens(now, self._settings.member_timeout)
                record.emit(tokens, text.encode())

        engine = EngineClient(self._address(), self._client)
        limit = self._settings.answer_limit
        result = await engine.complete(start.attempt, work, start.budget, limit, on_tokens)
        if is_successful(result):
            record.finish(200, "text/plain")
            if start.is_suspect:
                self._deaths.record_answer(start.digest)
                self.report()
        else:
            failure = result.failure()
            if failure.has_died:
                self._record_death(start)
            outcome = Outcome.RAN if failure.has_run else Outcome.NOT_RUN
            record.refuse("target_failed", outcome, failure.detail)
            await self._cancel_at_target(start.attempt)

    def _record_death(self, start: StartAttempt) -> None:
        """Report the death to all entries before the refusal can cause a retry elsewhere."""
        self._board.member.healthy_at = 0.0
        self._deaths.record_failure(monotonic(), start.digest)
        self._board.events.record(wall(), EventName.TARGET_DIED, start.digest, start.request)
        self.report()

    async def _run_service(
        self, record: AttemptRecord, start: StartAttempt, work: ServiceWork
    ) -> None:
        service = ServiceClient(self._address(), self._client)
        result = await service.call(start.attempt, work, start.budget, self._settings.answer_limit)
        if not is_successful(result):
            failure = result.failure()
            outcome = Outcome.UNKNOWN if failure.has_run else Outcome.NOT_RUN
            record.refuse("target_failed", outcome, failure.detail)
            return
        answer = result.unwrap()
        for begin in range(0, len(answer.body), ANSWER_CHUNK_BYTES):
            record.emit(0, answer.body[begin : begin + ANSWER_CHUNK_BYTES])
        record.finish(answer.status, answer.content_type)

    # Cancelling, resuming, querying

    def _cancel(self, now: float, connection: StreamConnection, cancel: CancelAttempt) -> None:
        attempt = cancel.attempt
        record = self._find_or_bar(now, attempt, cancel.clock)
        if record.end is not None:
            connection.send(record.end)
        elif record.is_model:
            self._stop(attempt, record, "cancelled", "the attempt was cancelled after its start")
        else:
            # A service call cannot be undone. Its answer is kept for a resend.
            record.unwatch(connection, now)
            detail = "the service call continues after its cancellation"
            connection.send(AttemptRefused(attempt, "cancelled", Outcome.UNKNOWN, detail))

    def _stop(self, attempt: AttemptId, record: AttemptRecord, code: str, detail: str) -> None:
        record.refuse(code, Outcome.RAN, detail)
        if record.task is not None:
            record.task.cancel()
        create_task(self._cancel_at_target(attempt))

    def _resume(self, now: float, connection: StreamConnection, resume: ResumeAttempt) -> None:
        if resume.incarnation != self._board.identity.incarnation:
            connection.send(_agent_restarted(resume.attempt))
            return
        record = self._find_or_bar(now, resume.attempt, resume.clock)
        record.watch(connection, resume.next_chunk, now)

    def _query(self, now: float, connection: StreamConnection, query: QueryAttempt) -> Body:
        if query.incarnation != self._board.identity.incarnation:
            return _agent_restarted(query.attempt)
        record = self._find_or_bar(now, query.attempt, query.clock)
        return record.end if record.end is not None else AttemptStarted(query.attempt)

    def _find_or_bar(self, now: float, attempt: AttemptId, clock: float) -> AttemptRecord:
        """Return the attempt's record; an attempt that never arrived is barred from starting.

        The record of an old attempt may have expired, so its absence does not prove that the
        attempt has not run.
        """
        record = self._attempts.get(attempt)
        if record is not None:
            return record
        record = AttemptRecord(attempt, now, self._describe_start)
        if now - clock < self._settings.attempt_retention:
            detail = "the attempt had not started and is barred from starting"
            record.refuse("barred", Outcome.NOT_RUN, detail)
        else:
            detail = "the attempt is unknown; its record may have expired"
            record.refuse("forgotten", Outcome.UNKNOWN, detail)
        self._attempts[attempt] = record
        return record

    async def _cancel_at_target(self, attempt: AttemptId) -> None:
        if self._is_engine():
            await EngineClient(self._address(), self._client).cancel(attempt)

    def _sweep(self) -> None:
        now = monotonic()
        for attempt, record in list(self._attempts.items()):
            age = now - record.touched_at
            if record.end is not None and age > self._settings.attempt_retention:
                del self._attempts[attempt]
            elif record.is_abandoned and age > UNWATCHED_TIMEOUT:
                self._stop(
                    attempt, record, "unwatched", "no entry reconnected to receive the answer"
                )

    def _target_report(self, now: float, connection: StreamConnection) -> TargetReport:
        assignment = self._board.grant.assignment
        return TargetReport(
            self._board.identity.incarnation,
            now,
            assignment.group if assignment is not None else NO_GROUP,
            assignment.epoch if assignment is not None else NO_EPOCH,
            self._is_admitting(now),
            self._board.member.in_flight,
            self._load.limit,
            self._load.in_flight_of(connection),
            self._load.competing_entries(now, connection),
            self._load.token_time,
            self._load.character_time,
            self._deaths.deaths,
            self._deaths.cleared,
        )

    def _describe_start(self, attempt: AttemptId, connection: StreamConnection) -> AttemptStarted:
        own = self._load.in_flight_of(connection)
        return AttemptStarted(attempt, self._board.member.in_flight - own, self._load.limit)

    def _address(self) -> str:
        announcement = self._board.member.announcement
        return announcement.address if announcement is not None else ""

    def _is_engine(self) -> bool:
        announcement = self._board.member.announcement
        return announcement is not None and announcement.kind is TargetKind.ENGINE


def _agent_restarted(attempt: AttemptId) -> AttemptRefused:
    return AttemptRefused(
        attempt, "agent_restarted", Outcome.UNKNOWN, "the agent has restarted since the attempt"
    )
