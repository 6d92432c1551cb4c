"""Admission control: queues requests per model or service until a target has capacity."""

from asyncio import Future, get_running_loop
from dataclasses import dataclass
from sys import maxsize

from tornado.ioloop import PeriodicCallback

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, monotonic, wall
from jaylatch_core.enums import EntryPolicy, Outcome
from jaylatch_core.event_names import EventName
from jaylatch_core.exceptions import RequestRefused
from jaylatch_core.ids import RequestId
from jaylatch_core.messages.requests import ModelWork
from jaylatch_decisions.admission import AdmissionQueue, Capacity, Drop, DropReason, QueuedRequest
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.entry.estimates import Estimates
from jaylatch_node.entry.requests import ModelRequest, ServiceRequest
from jaylatch_node.entry.routes import Route, RouteController, instance_of

QUEUE_INTERVAL = 0.02
"""Seconds between two passes over the queues."""
DEADLINE_MARGIN = 0.03
"""Seconds reserved before the deadline for returning the answer and for polling the queue."""

STATUS_BY_DROP_REASON = {
    DropReason.OVERLOADED: 503,
    DropReason.OVER_SHARE: 429,
    DropReason.TOO_LATE: 503,
}
DETAIL_BY_DROP_REASON = {
    DropReason.OVERLOADED: "the targets cannot serve all requests in time; this one was dropped",
    DropReason.OVER_SHARE: "the account exceeds its share while other requests are queued",
    DropReason.TOO_LATE: "the deadline is too near to complete the request",
}


@dataclass(frozen=True)
class Pool:
    """The targets of a model or of a plain service; the unused name is empty."""

    model: str
    service: str


AdmissionDecision = Route | Drop


class AdmissionController:
    """Queues requests and assigns routes to them."""

    def __init__(self, board: Blackboard, routes: RouteController, policy: EntryPolicy) -> None:
        self._board = board
        self._routes = routes
        self._is_adaptive = policy is EntryPolicy.ADAPTIVE
        self._queues: dict[Pool, AdmissionQueue] = {}
        self._pending: dict[RequestId, Future[AdmissionDecision]] = {}
        self._estimates = Estimates(board)
        self._decisions = board.metrics.counter(
            "admission_total", "Requests by what admission decided.", ("decision",)
        )
        self._ticker = PeriodicCallback(
            self.process_queues, QUEUE_INTERVAL * MILLISECONDS_PER_SECOND
        )

    @property
    def estimates(self) -> Estimates:
        """Return the estimates of request durations."""
        return self._estimates

    def start(self) -> None:
        """Start processing the queues periodically."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop processing the queues."""
        self._ticker.stop()

    async def wait_for_route(
        self, request: ModelRequest | ServiceRequest, done: int = 0
    ) -> AdmissionDecision:
        """Queue a request until it has a route, or return a drop as soon as it is certain.

        ``done`` is the number of answer tokens that earlier attempts have delivered.
        """
        now = monotonic()
        pool = _pool_of(request)
        caller = request.caller
        work = self._estimates.expected_duration(request, done) if self._is_adaptive else 0.0
        margin = DEADLINE_MARGIN if self._is_adaptive else 0.0
        rank = caller.deadline if self._is_adaptive else now
        queued = QueuedRequest(
            caller.id,
            caller.account.id,
            caller.account.share,
            caller.weight,
            caller.deadline - margin,
            work,
            rank,
        )
        decision: Future[AdmissionDecision] = get_running_loop().create_future()
        self._pending[caller.id] = decision
        queue = self._queues.setdefault(pool, AdmissionQueue())
        self._resolve_drops(
            queue.offer(now, queued, self._capacity(now, pool), self._queue_limit())
        )
        self.process_queues()
        try:
            return await decision
        finally:
            self._pending.pop(caller.id, None)
            queue.remove(caller.id)

    def has_backlog(self, request: ModelRequest | ServiceRequest) -> bool:
        """Return whether requests are queued for the same targets."""
        queue = self._queues.get(_pool_of(request))
        return queue is not None and len(queue) > 0

    def has_target(self, request: ModelRequest | ServiceRequest) -> bool:
        """Return whether any target of the request admits new work, even if it is full."""
        now = monotonic()
        pool = _pool_of(request)
        candidates = self._routes.candidates(now, pool.model, pool.service)
        return any(item.is_admitting for item in candidates)

    def process_queues(self) -> None:
        """Drop requests that would be late, and assign routes while targets have capacity."""
        now = monotonic()
        for pool, queue in self._queues.items():
            if len(queue):
                self._resolve_drops(queue.trim(now, self._capacity(now, pool), self._queue_limit()))
                self._assign_routes(now, pool, queue)

    def _assign_routes(self, now: float, pool: Pool, queue: AdmissionQueue) -> None:
        while (queued := queue.head()) is not None:
            route = self._routes.choose(now, pool.model, pool.service)
            if route is None:
                return
            queue.remove(queued.id)
            self._record_route(now, queued, route)
            self._resolve(queued.id, route)

    def _record_route(self, now: float, queued: QueuedRequest, route: Route) -> None:
        self._decisions.labels("admitted").inc()
        instance = instance_of(route)
        target = self._board.target(instance)
        detail = (
            f"own={target.load(now)} others={target.others_in_flight} limit={target.limit}"
            f" left={queued.deadline - now:.3f} work={queued.work:.3f}"
        )
        self._board.events.record(wall(), EventName.REQUEST_ROUTED, instance, queued.id, detail)

    def _resolve_drops(self, drops: list[Drop]) -> None:
        for drop in drops:
            self._decisions.labels(drop.reason.value).inc()
            self._board.events.record(
                wall(),
                EventName.REQUEST_DROPPED,
                drop.reason.value,
                drop.id,
                f"retry_after={drop.retry_after:.2f}",
            )
            self._resolve(drop.id, drop)

    def _resolve(self, request: RequestId, decision: AdmissionDecision) -> None:
        future = self._pending.get(request)
        if future is not None and not future.done():
            future.set_result(decision)

    def _queue_limit(self) -> int:
        return self._board.grant.policy().queue_limit if self._is_adaptive else maxsize

    def _capacity(self, now: float, pool: Pool) -> Capacity:
        if not self._is_adaptive:
            return Capacity(0.0, 0.0)
        slots = 0.0
        attempts = 0
        for item in self._routes.candidates(now, pool.model, pool.service):
            if item.is_admitting:
                others = item.reported_in_flight - item.own_in_flight
                slots += max(item.limit / item.entries, item.limit - others)
                attempts += item.own_in_flight
        # A running attempt has on average half of its work left.
        return Capacity(
            slots, attempts * self._estimates.mean_duration(pool.model or pool.service) / 2
        )


def refusal_of_drop(drop: Drop, outcome: Outcome) -> RequestRefused:
    """Return the refusal for a dropped request."""
    return RequestRefused(
        DETAIL_BY_DROP_REASON[drop.reason],
        STATUS_BY_DROP_REASON[drop.reason],
        drop.reason.value,
        outcome,
        drop.retry_after,
    )


def _pool_of(request: ModelRequest | ServiceRequest) -> Pool:
    match request.work:
        case ModelWork(model):
            return Pool(model, "")
        case work:
            return Pool("", work.service)
