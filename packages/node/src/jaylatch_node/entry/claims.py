"""Commits to the order journal, and resolution of claimed orders with unknown result."""

from asyncio import Task, create_task, shield, sleep
from collections.abc import Coroutine
from typing import Any

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.enums import ClaimVerdict, Outcome
from jaylatch_core.exceptions import RequestRefused
from jaylatch_core.ids import AttemptId, Epoch, GroupId, InstanceId
from jaylatch_core.messages.journal import (
    AbandonOrder,
    ClaimOrder,
    CompleteOrder,
    JournalCommand,
    OrderName,
    OrderVerdict,
    ReleaseOrder,
    StoredAnswer,
)
from jaylatch_core.messages.requests import (
    AttemptEnd,
    AttemptRefused,
    AttemptStarted,
    QueryAttempt,
    StartAttempt,
)
from jaylatch_node.control.client import ControlClient
from jaylatch_node.deadlines import time_limit
from jaylatch_node.entry.agents import AgentConnections
from jaylatch_node.entry.dispatcher import RETRY_AFTER, Dispatcher, refusal_of
from jaylatch_node.entry.requests import ServiceRequest
from jaylatch_node.observability import Metrics

QUERY_TIMEOUT = 1.0
"""Seconds to wait for an agent's reply about an attempt."""
QUERY_INTERVAL = 0.2
"""Seconds between two queries about an attempt."""
LATE_COMMIT_TIMEOUT = 60.0
"""Seconds for a commit in the background."""
RESOLVE_TIMEOUT = 60.0
"""Seconds for resolving a claim in the background."""

OrderResult = Result[StoredAnswer, RequestRefused]


class JournalClient:
    """Commits journal commands, in the background where no caller waits."""

    def __init__(self, client: ControlClient, metrics: Metrics) -> None:
        self._client = client
        self._claims = metrics.timer("order_claim", "From an order's claim to its verdict.")
        self._tasks: set[Task[Any]] = set()

    async def commit(self, command: JournalCommand, deadline: float) -> OrderVerdict | None:
        """Return the journal's verdict; None if it is unknown whether the command took effect."""
        started_at = monotonic()
        timeout = max(deadline - started_at, 0.0)
        result = await self._client.call_journal(command, timeout)
        if isinstance(command, ClaimOrder):
            self._claims.record(monotonic() - started_at)
        body = result.unwrap() if is_successful(result) else None
        return body if isinstance(body, OrderVerdict) else None

    def commit_in_background(self, command: JournalCommand) -> None:
        """Commit a command in the background."""
        self.run_in_background(self.commit(command, monotonic() + LATE_COMMIT_TIMEOUT))

    async def complete(
        self, order: OrderName, attempt: AttemptId, answer: StoredAnswer, deadline: float
    ) -> StoredAnswer:
        """Store an answer and return the one on record.

        After ``deadline`` the commit continues in the background and ``answer`` is returned.
        """
        command = CompleteOrder(order, attempt, answer, wall())
        task = self.run_in_background(self.commit(command, monotonic() + LATE_COMMIT_TIMEOUT))
        try:
            async with time_limit(max(deadline - monotonic(), 0.0)):
                verdict = await shield(task)
        except TimeoutError:
            return answer
        is_stored = verdict is not None and verdict.verdict is ClaimVerdict.COMPLETED
        return verdict.answer if is_stored and verdict.answer is not None else answer

    def run_in_background(self, work: Coroutine[Any, Any, Any]) -> Task[Any]:
        """Run work in a task that no caller waits for."""
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class ClaimResolver:
    """Queries the agent of a claim for the result of the attempt, and records it."""

    def __init__(
        self, journal: JournalClient, dispatcher: Dispatcher, connections: AgentConnections
    ) -> None:
        self._journal = journal
        self._dispatcher = dispatcher
        self._connections = connections

    def resolve_in_background(
        self, order: OrderName, request: ServiceRequest, claim: OrderVerdict
    ) -> None:
        """Resolve a claim in the background, so that a resend finds the answer in the journal."""
        deadline = monotonic() + RESOLVE_TIMEOUT
        self._journal.run_in_background(self._resolve_until(order, request, claim, deadline))

    async def resolve(
        self, order: OrderName, request: ServiceRequest, claim: OrderVerdict
    ) -> OrderResult | None:
        """Return the order's result, or None if the journal must be queried again."""
        return await self._resolve(order, request, claim, request.caller.deadline)

    async def _resolve_until(
        self, order: OrderName, request: ServiceRequest, claim: OrderVerdict, deadline: float
    ) -> None:
        while monotonic() < deadline:
            if await self._resolve(order, request, claim, deadline) is not None:
                return
            await sleep(QUERY_INTERVAL)

    async def _resolve(
        self, order: OrderName, request: ServiceRequest, claim: OrderVerdict, deadline: float
    ) -> OrderResult | None:
        body = await self._query(claim)
        match body:
            case AttemptStarted() | AttemptEnd():
                return await self._fetch_answer(order, request, claim, deadline)
            case AttemptRefused() if body.outcome is Outcome.NOT_RUN:
                release = ReleaseOrder(order, claim.attempt, claim.incarnation)
                await self._journal.commit(release, deadline)
                return None
            case AttemptRefused():
                abandon = AbandonOrder(order, claim.attempt, claim.incarnation)
                await self._journal.commit(abandon, deadline)
                return Err(order_unknown())
            case _:
                if monotonic() + QUERY_INTERVAL >= deadline:
                    return Err(_unresolved())
                await sleep(QUERY_INTERVAL)
                return None

    async def _query(self, claim: OrderVerdict) -> object:
        peer = self._connections.peer_at(claim.instance, claim.address)
        if peer is None:
            return None
        query = QueryAttempt(claim.attempt, claim.incarnation, claim.clock)
        reply = await peer.call(query, QUERY_TIMEOUT)
        return reply.unwrap() if is_successful(reply) else None

    async def _fetch_answer(
        self, order: OrderName, request: ServiceRequest, claim: OrderVerdict, deadline: float
    ) -> OrderResult | None:
        start = StartAttempt(
            claim.attempt,
            request.caller.id,
            request.caller.account.id,
            claim.incarnation,
            GroupId(""),
            Epoch(0),
            claim.clock,
            deadline - monotonic(),
            request.work,
        )
        attempt = self._connections.open_resumed(claim.instance, start)
        outcome = await self._dispatcher.collect_answer(attempt, deadline)
        match outcome:
            case StoredAnswer():
                return Success(
                    await self._journal.complete(order, claim.attempt, outcome, deadline)
                )
            case AttemptRefused() if monotonic() >= deadline:
                return Err(refusal_of(outcome))
            case AttemptRefused():
                return None


def claim_of(start: StartAttempt, instance: InstanceId, address: str) -> OrderVerdict:
    """Return the claim that this entry holds for an attempt it has sent."""
    return OrderVerdict(
        ClaimVerdict.IN_PROGRESS,
        start.attempt,
        instance,
        start.incarnation,
        start.clock,
        None,
        address,
    )


def order_unknown() -> RequestRefused:
    """Return the refusal of an order that may or may not have run."""
    return RequestRefused(
        "it is unknown whether the order ran; it will not be run again under this key",
        409,
        "order_unknown",
        Outcome.UNKNOWN,
    )


def _unresolved() -> RequestRefused:
    return RequestRefused(
        "the target that may have run the order is unreachable; retry with the same key",
        503,
        "order_unresolved",
        Outcome.UNKNOWN,
        RETRY_AFTER,
    )
