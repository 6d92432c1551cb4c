"""Admits requests: keeps them in a queue for each model and service until a target has room."""

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

PUMP_INTERVAL = 0.02
DEADLINE_MARGIN = 0.03
"""Seconds that the answer needs beside its work, for the way back and the polling."""

STATUS_BY_DROP_REASON = {
    DropReason.OVERLOADED: 503,
    DropReason.OVER_SHARE: 429,
    DropReason.TOO_LATE: 503,
}
DETAIL = {
    DropReason.OVERLOADED: "the targets cannot serve all requests in time, and this one gave way",
    DropReason.OVER_SHARE: "the account asks for more than its share while others wait",
    DropReason.TOO_LATE: "the deadline is too near for the work",
}


@dataclass(frozen=True)
class Pool:
    """The targets of a model, or of a plain service; the other name is empty."""

    model: str
    service: str


Verdict = Route | Drop


class AdmissionController:
    """Holds the waiting requests and gives out routes."""

    def __init__(self, board: Blackboard, routes: RouteController, policy: EntryPolicy) -> None:
        self._board = board
        self._routes = routes
        self._has_admission = policy is EntryPolicy.ADAPTIVE
        self._queues: dict[Pool, AdmissionQueue] = {}
        self._verdicts: dict[RequestId, Future[Verdict]] = {}
        self._estimates = Estimates(board)
        self._decisions = board.metrics.counter(
            "admission_total", "Requests by what admission decided.", ("decision",)
        )
        self._ticker = PeriodicCallback(self.pump, PUMP_INTERVAL * MILLISECONDS_PER_SECOND)

    @property
    def estimates(self) -> Estimates:
        """Return what is known of the time that requests take."""
        return self._estimates

    def start(self) -> None:
        """Begin to look for room regularly."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop giving out routes."""
        self._ticker.stop()

    async def enter(self, request: ModelRequest | ServiceRequest, done: int = 0) -> Verdict:
        """Wait for a route; a drop is returned as soon as it is certain.

        ``done`` tokens of the answer have been delivered by an earlier attempt.
        """
        now = monotonic()
        pool = _pool_of(request)
        caller = request.caller
        work = self._estimates.work(request, done) if self._has_admission else 0.0
        margin = DEADLINE_MARGIN if self._has_admission else 0.0
        rank = caller.deadline if self._has_admission else now
        waiting = QueuedRequest(
            caller.id,
            caller.account.id,
            caller.account.share,
            caller.weight,
            caller.deadline - margin,
            work,
            rank,
        )
        verdict: Future[Verdict] = get_running_loop().create_future()
        self._verdicts[caller.id] = verdict
        queue = self._queues.setdefault(pool, AdmissionQueue())
        self._settle(queue.offer(now, waiting, self._capacity(now, pool), self._limit()))
        self.pump()
        try:
            return await verdict
        finally:
            self._verdicts.pop(caller.id, None)
            queue.remove(caller.id)

    def has_backlog(self, request: ModelRequest | ServiceRequest) -> bool:
        """Return whether other requests wait for the same targets."""
        queue = self._queues.get(_pool_of(request))
        return queue is not None and len(queue) > 0

    def has_target(self, request: ModelRequest | ServiceRequest) -> bool:
        """Return whether a target of the request takes new work, be it full or not."""
        now = monotonic()
        pool = _pool_of(request)
        candidates = self._routes.candidates(now, pool.model, pool.service)
        return any(item.is_admitting for item in candidates)

    def pump(self) -> None:
        """Drop what is late and send what has room."""
        now = monotonic()
        for pool, queue in self._queues.items():
            if len(queue):
                self._settle(queue.trim(now, self._capacity(now, pool), self._limit()))
                self._give_routes(now, pool, queue)

    def _give_routes(self, now: float, pool: Pool, queue: AdmissionQueue) -> None:
        while (waiting := queue.head()) is not None:
            route = self._routes.choose(now, pool.model, pool.service)
            if route is None:
                return
            queue.remove(waiting.id)
            self._record_route(now, waiting, route)
            self._resolve(waiting.id, route)

    def _record_route(self, now: float, waiting: QueuedRequest, route: Route) -> None:
        self._decisions.labels("admitted").inc()
        instance = instance_of(route)
        target = self._board.target(instance)
        detail = (
            f"own={target.load(now)} others={target.others_in_flight} limit={target.limit}"
            f" left={waiting.deadline - now:.3f} work={waiting.work:.3f}"
        )
        self._board.events.record(wall(), EventName.REQUEST_ROUTED, instance, waiting.id, detail)

    def _settle(self, drops: list[Drop]) -> None:
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

    def _resolve(self, request: RequestId, verdict: Verdict) -> None:
        future = self._verdicts.get(request)
        if future is not None and not future.done():
            future.set_result(verdict)

    def _limit(self) -> int:
        return self._board.grant.policy().queue_limit if self._has_admission else maxsize

    def _capacity(self, now: float, pool: Pool) -> Capacity:
        if not self._has_admission:
            return Capacity(0.0, 0.0)
        slots = 0.0
        attempts = 0
        for item in self._routes.candidates(now, pool.model, pool.service):
            if item.is_admitting:
                others = item.reported_in_flight - item.own_in_flight
                slots += max(item.limit / item.entries, item.limit - others)
                attempts += item.own_in_flight
        # An attempt that runs has on average half of its work left.
        return Capacity(slots, attempts * self._estimates.mean_work(pool.model or pool.service) / 2)


def refusal_of_drop(drop: Drop, outcome: Outcome) -> RequestRefused:
    """Return the refusal that tells a caller of a drop."""
    return RequestRefused(
        DETAIL[drop.reason],
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
