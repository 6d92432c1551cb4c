"""Orders: non-idempotent calls with a key, run at most once across entries and restarts."""

from asyncio import sleep
from hashlib import sha256

from returns.result import Failure as Err
from returns.result import Success

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.enums import ClaimVerdict, Outcome
from jaylatch_core.exceptions import RequestRefused
from jaylatch_core.ids import IdempotencyKey
from jaylatch_core.messages.journal import (
    AbandonOrder,
    ClaimOrder,
    LookupOrder,
    OrderName,
    OrderVerdict,
    ReleaseOrder,
    StoredAnswer,
)
from jaylatch_core.messages.requests import AttemptRefused, StartAttempt
from jaylatch_node.entry.claims import (
    ClaimResolver,
    JournalClient,
    OrderResult,
    claim_of,
    order_unknown,
)
from jaylatch_node.entry.dispatcher import (
    RETRY_AFTER,
    Dispatcher,
    deadline_passed,
    no_capacity,
    refusal_of,
)
from jaylatch_node.entry.requests import ServiceRequest
from jaylatch_node.entry.routes import Route, instance_of

RECLAIM_DELAY = 0.05
"""Seconds before an order is claimed again."""


class OrderController:
    """Claims an order in the journal before it runs, and answers resends from the journal.

    An order may have run under an earlier request with its key, so the outcome ``not_run`` is
    reported only after a lookup or a claim in the journal has ruled that out.
    """

    def __init__(
        self, journal: JournalClient, dispatcher: Dispatcher, resolver: ClaimResolver
    ) -> None:
        self._journal = journal
        self._dispatcher = dispatcher
        self._resolver = resolver

    async def run(self, request: ServiceRequest, key: IdempotencyKey) -> OrderResult:
        """Run the order, or return the answer of its earlier run."""
        order = OrderName(request.caller.account.id, key)
        digest = digest_of(request)
        deadline = request.caller.deadline
        while True:
            route = None
            if self._dispatcher.has_target(request):
                route = await self._dispatcher.find_route(request)
            if route is None:
                verdict = await self._journal.commit(LookupOrder(order, digest), deadline)
                if verdict is not None and verdict.verdict is ClaimVerdict.ABSENT:
                    route = await self._dispatcher.find_route(request)
                    if route is None:
                        return Err(no_capacity(Outcome.NOT_RUN))
            if route is not None:
                result = await self._claim_and_run(order, digest, request, route)
            elif verdict is not None:
                result = await self._answer_resend(order, request, verdict)
            else:
                result = Err(_journal_unavailable())
            if result is not None:
                return result
            if monotonic() >= deadline:
                return Err(deadline_passed(Outcome.UNKNOWN))
            await sleep(RECLAIM_DELAY)

    async def _claim_and_run(
        self, order: OrderName, digest: str, request: ServiceRequest, route: Route
    ) -> OrderResult | None:
        start = self._dispatcher.build_start(route, request, request.work)
        assert start is not None, "routes are chosen among agents that have reported"
        verdict = await self._claim(order, digest, route, start, request.caller.deadline)
        if verdict is None:
            return Err(_journal_unavailable())
        if verdict.verdict is ClaimVerdict.GRANTED:
            return await self._run_claimed(order, request, route, start)
        return await self._answer_resend(order, request, verdict)

    async def _claim(
        self, order: OrderName, digest: str, route: Route, start: StartAttempt, deadline: float
    ) -> OrderVerdict | None:
        claim = ClaimOrder(
            order,
            digest,
            start.attempt,
            instance_of(route),
            start.incarnation,
            start.clock,
            route.address,
            wall(),
        )
        verdict = await self._journal.commit(claim, deadline)
        if verdict is None:
            # The claim may still be committed. Its attempt has not been sent and will not be.
            self._journal.commit_in_background(
                ReleaseOrder(order, start.attempt, start.incarnation)
            )
        return verdict

    async def _run_claimed(
        self, order: OrderName, request: ServiceRequest, route: Route, start: StartAttempt
    ) -> OrderResult | None:
        """Run the attempt that holds the claim; return None if a new claim is needed."""
        deadline = request.caller.deadline
        attempt = self._dispatcher.open_start(route, start, waits_until_deadline=True)
        outcome = await self._dispatcher.collect_answer(attempt, deadline)
        match outcome:
            case StoredAnswer():
                return Success(
                    await self._journal.complete(order, start.attempt, outcome, deadline)
                )
            case AttemptRefused() if outcome.outcome is Outcome.NOT_RUN:
                release = ReleaseOrder(order, start.attempt, start.incarnation)
                released = await self._journal.commit(release, deadline)
                if released is None:
                    self._journal.commit_in_background(release)
                    return Err(refusal_of(outcome))
                return Err(refusal_of(outcome)) if monotonic() >= deadline else None
            case AttemptRefused() if outcome.code == "deadline_passed":
                claim = claim_of(start, instance_of(route), route.address)
                self._resolver.resolve_in_background(order, request, claim)
                return Err(refusal_of(outcome))
            case AttemptRefused():
                self._journal.commit_in_background(
                    AbandonOrder(order, start.attempt, start.incarnation)
                )
                return Err(refusal_of(outcome))

    async def _answer_resend(
        self, order: OrderName, request: ServiceRequest, verdict: OrderVerdict
    ) -> OrderResult | None:
        """Answer from the journal; return None if the claim was released as not run."""
        match verdict.verdict:
            case ClaimVerdict.COMPLETED if verdict.answer is not None:
                return Success(verdict.answer)
            case ClaimVerdict.KEY_REUSED:
                return Err(_key_reused())
            case ClaimVerdict.EXPIRED:
                return Err(_expired())
            case ClaimVerdict.IN_PROGRESS:
                return await self._resolver.resolve(order, request, verdict)
            case ClaimVerdict.UNKNOWN:
                return Err(order_unknown())
            case _:
                return None


def digest_of(request: ServiceRequest) -> str:
    """Return the digest that identifies resends of the same order."""
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


def _expired() -> RequestRefused:
    return RequestRefused(
        "the order ran; its answer is no longer stored", 410, "order_expired", Outcome.RAN
    )


def _journal_unavailable() -> RequestRefused:
    return RequestRefused(
        "the order journal has no quorum: this request started nothing, but it is unknown whether"
        " an earlier one with the key ran; retry with the same key",
        503,
        "journal_unavailable",
        Outcome.UNKNOWN,
        RETRY_AFTER,
    )
