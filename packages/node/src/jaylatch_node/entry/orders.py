"""Orders: non-idempotent calls with a key, run at most once over all entries and restarts."""

from hashlib import sha256

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.clock import monotonic
from jaylatch_core.enums import ClaimVerdict, Outcome
from jaylatch_core.exceptions import RequestRefused
from jaylatch_core.ids import Epoch, GroupId, IdempotencyKey
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
from jaylatch_node.entry.agents import AgentLinks
from jaylatch_node.entry.dispatcher import (
    RETRY_AFTER,
    Dispatcher,
    deadline_passed,
    no_capacity,
    refusal_of,
)
from jaylatch_node.entry.open_attempt import OpenAttempt
from jaylatch_node.entry.requests import ServiceRequest
from jaylatch_node.entry.routes import Route, instance_of

QUERY_TIMEOUT = 1.0
COMPLETE_TIMEOUT = 10.0

OrderResult = Result[StoredAnswer, RequestRefused]


class OrderController:
    """Claims an order in the journal before it runs, and answers resends from the journal."""

    def __init__(self, client: ControlClient, dispatcher: Dispatcher, links: AgentLinks) -> None:
        self._client = client
        self._dispatcher = dispatcher
        self._links = links

    async def run(self, request: ServiceRequest, key: IdempotencyKey) -> OrderResult:
        """Run the order or return the answer of its earlier run."""
        order = OrderName(request.caller.account.id, key)
        while True:
            route = await self._dispatcher.find_service(request)
            start = self._build_start(route, request)
            if route is None or start is None:
                return Err(no_capacity(Outcome.NOT_RUN))
            claim = ClaimOrder(
                order,
                digest_of(request),
                start.attempt,
                instance_of(route),
                start.incarnation,
                start.clock,
            )
            verdict = await self._commit(claim, request.caller.deadline)
            if verdict is None:
                # The claim may still be committed, but its attempt was never sent.
                return Err(_journal_unavailable(Outcome.NOT_RUN))
            if verdict.verdict is ClaimVerdict.GRANTED:
                result = await self._run_claimed(order, request, route, start)
            else:
                result = await self._answer_resend(order, request, verdict)
            if result is not None:
                return result
            if monotonic() >= request.caller.deadline:
                return Err(deadline_passed(Outcome.NOT_RUN))

    def _build_start(self, route: Route | None, request: ServiceRequest) -> StartAttempt | None:
        if route is None:
            return None
        return self._dispatcher.build_start(route, request, request.work)

    async def _run_claimed(
        self, order: OrderName, request: ServiceRequest, route: Route, start: StartAttempt
    ) -> OrderResult | None:
        """Run the attempt that holds the claim; returns None to try again with a new claim."""
        attempt = self._dispatcher.open_start(route, start)
        outcome = await self._dispatcher.collect(attempt, request.caller.deadline)
        match outcome:
            case StoredAnswer():
                await self._commit(
                    CompleteOrder(order, start.attempt, outcome), monotonic() + COMPLETE_TIMEOUT
                )
                return Success(outcome)
            case AttemptRefused() if outcome.outcome is Outcome.NOT_RUN:
                released = await self._commit(
                    ReleaseOrder(order, start.attempt, start.incarnation), request.caller.deadline
                )
                return None if released is not None else Err(refusal_of(outcome))
            case AttemptRefused():
                return Err(refusal_of(outcome))

    async def _answer_resend(
        self, order: OrderName, request: ServiceRequest, verdict: OrderVerdict
    ) -> OrderResult | None:
        """Answer from the journal; returns None if the claim has been released by proof."""
        match verdict.verdict:
            case ClaimVerdict.COMPLETED if verdict.answer is not None:
                return Success(verdict.answer)
            case ClaimVerdict.KEY_REUSED:
                return Err(_key_reused())
            case ClaimVerdict.IN_PROGRESS:
                return await self._resolve(order, request, verdict)
            case _:
                return Err(_outcome_unknown())

    async def _resolve(
        self, order: OrderName, request: ServiceRequest, verdict: OrderVerdict
    ) -> OrderResult | None:
        """Ask the agent that the claim names what became of the attempt."""
        peer = self._links.peer(verdict.instance)
        if peer is None:
            return Err(_outcome_unknown())
        query = QueryAttempt(verdict.attempt, verdict.incarnation, verdict.clock)
        reply = await peer.call(query, QUERY_TIMEOUT)
        body = reply.unwrap() if is_successful(reply) else None
        match body:
            case AttemptStarted():
                return Err(_in_progress())
            case AttemptEnd():
                return await self._fetch_answer(order, request, verdict)
            case AttemptRefused() if body.outcome is Outcome.NOT_RUN:
                await self._commit(
                    ReleaseOrder(order, verdict.attempt, verdict.incarnation),
                    request.caller.deadline,
                )
                return None
            case AttemptRefused() if body.code == "agent_restarted":
                await self._commit(
                    AbandonOrder(order, verdict.attempt, verdict.incarnation),
                    request.caller.deadline,
                )
                return Err(_outcome_unknown())
            case _:
                return Err(_outcome_unknown())

    async def _fetch_answer(
        self, order: OrderName, request: ServiceRequest, verdict: OrderVerdict
    ) -> OrderResult:
        attempt = self._resume(request, verdict)
        outcome = await self._dispatcher.collect(attempt, request.caller.deadline)
        match outcome:
            case StoredAnswer():
                complete = CompleteOrder(order, verdict.attempt, outcome)
                await self._commit(complete, monotonic() + COMPLETE_TIMEOUT)
                return Success(outcome)
            case AttemptRefused():
                return Err(refusal_of(outcome))

    def _resume(self, request: ServiceRequest, verdict: OrderVerdict) -> OpenAttempt:
        start = StartAttempt(
            verdict.attempt,
            request.caller.id,
            request.caller.account.id,
            verdict.incarnation,
            GroupId(""),
            Epoch(0),
            verdict.clock,
            request.caller.deadline - monotonic(),
            request.work,
        )
        return self._links.open_resumed(verdict.instance, start)

    async def _commit(self, command: JournalCommand, deadline: float) -> OrderVerdict | None:
        timeout = max(deadline - monotonic(), 0.0)
        result = await self._client.call_journal(command, timeout)
        body = result.unwrap() if is_successful(result) else None
        return body if isinstance(body, OrderVerdict) else None


def digest_of(request: ServiceRequest) -> str:
    """Return a digest by which a resend of the same order is recognised."""
    work = request.work
    head = f"{work.service}\0{work.method}\0{work.path}\0{work.content_type}\0"
    return sha256(head.encode() + work.body).hexdigest()


def _key_reused() -> RequestRefused:
    return RequestRefused(
        "the Idempotency-Key was used for another request; use a new key",
        422,
        "key_reused",
        Outcome.NOT_RUN,
    )


def _in_progress() -> RequestRefused:
    return RequestRefused(
        "the order is running; ask again with the same key",
        409,
        "order_in_progress",
        Outcome.UNKNOWN,
        RETRY_AFTER,
    )


def _outcome_unknown() -> RequestRefused:
    return RequestRefused(
        "nobody can tell whether the order ran; it will not be run again under this key",
        409,
        "order_unknown",
        Outcome.UNKNOWN,
    )


def _journal_unavailable(outcome: Outcome) -> RequestRefused:
    return RequestRefused(
        "the order journal has no quorum; nothing was started",
        503,
        "journal_unavailable",
        outcome,
        RETRY_AFTER,
    )
