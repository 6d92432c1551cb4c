"""The owner of the places of models, as a part of a control instance.

Its state is in memory only. Gateways that lose the owner ask the next instance, and report to it
the places that their requests hold.
"""

from asyncio import TimerHandle, get_running_loop
from collections.abc import Callable

from jaylatch_core.clock import monotonic
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.places import (
    GiveBackPlace,
    PlaceGranted,
    PlaceQueued,
    PlacesHeld,
    TakePlace,
)
from jaylatch_decisions.balancing import ServiceOwner
from jaylatch_decisions.places import STAND_IN_FRACTION, PlaceQueues, PlaceTable
from jaylatch_node.evenness import EvennessReporter
from jaylatch_node.observability import Metrics
from jaylatch_node.streams import PeerPool, StreamConnection

TICK = 0.02
"""Seconds between two checks of the waiting requests while there are some: a fraction of the
shortest objective."""


class PlaceController:
    """Answers the calls for places, and tells waiting gateways what they get.

    Requests at plain services are counted, but wait at their targets.
    """

    def __init__(
        self,
        peers: PeerPool,
        metrics: Metrics,
        table: PlaceTable,
        update_limits: Callable[[float], None],
    ) -> None:
        self._peers = peers
        self._update_limits = update_limits
        self._queues = PlaceQueues(table)
        self._services = ServiceOwner()
        self._evenness = EvennessReporter(
            metrics.gauge(
                "owner_largest_load_over_mean",
                "Largest load over the mean of the targets of a subject, all gateways.",
                ("subject",),
            ),
            "owner",
        )
        self._waiting: dict[str, StreamConnection] = {}
        self._timer: TimerHandle | None = None
        self._lengths = metrics.gauge(
            "place_queue_requests", "Requests that wait for a place, by model.", ("model",)
        )
        self._ages = metrics.gauge(
            "place_queue_age_seconds", "Age of the oldest waiting request, by model.", ("model",)
        )

    def handle(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Handle a message on places; returns False if the body is not one."""
        if not isinstance(body, TakePlace | GiveBackPlace | PlacesHeld):
            return False
        now = monotonic()
        self._update_limits(now)
        match body:
            case TakePlace() if body.kind and body.candidates:
                connection.reply(call, self._services.take(now, body))
                loads = self._services.loads(now, body.candidates)
                self._evenness.sample(now, body.subject, loads)
            case TakePlace():
                answer = self._queues.take(now, body, self._limit_fraction(body))
                connection.reply(call, answer)
                if isinstance(answer, PlaceQueued):
                    self._waiting[body.permit] = connection
                    self._start_timer()
                if body.subject:
                    loads = self._queues.loads(now, body.candidates)
                    self._evenness.sample(now, body.subject, loads)
            case GiveBackPlace() if self._services.release(now, body.permit, body.is_answered):
                pass
            case GiveBackPlace():
                self._waiting.pop(body.permit, None)
                self._queues.give_back(now, body.permit)
            case PlacesHeld():
                self._queues.hold(now, body)
        self._send_outcomes(now)
        return True

    def stop(self) -> None:
        """Stop checking the waiting requests."""
        if self._timer is not None:
            self._timer.cancel()

    def _limit_fraction(self, request: TakePlace) -> float:
        """Return the part of the targets' limits that this instance may grant.

        An owner that does not answer a gateway, but is connected to this instance, may still grant
        all of them to other gateways.
        """
        absent = request.absent_owner
        is_absent_here = not absent or self._peers.get(absent).connection is None
        return 1.0 if is_absent_here else STAND_IN_FRACTION

    def _send_outcomes(self, now: float) -> None:
        while outcomes := self._queues.take_outcomes():
            for outcome in outcomes:
                connection = self._waiting.pop(outcome.permit, None)
                if connection is not None and connection.is_open:
                    connection.send(outcome)
                elif isinstance(outcome, PlaceGranted):
                    # The next request in the queue gets the place of a gateway that is gone.
                    self._queues.release(now, outcome.permit)

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = get_running_loop().call_later(TICK, self._tick)

    def _tick(self) -> None:
        """Drop the requests of lost gateways, and what can no longer be in time."""
        self._timer = None
        now = monotonic()
        self._update_limits(now)
        for permit in [item for item, known in self._waiting.items() if not known.is_open]:
            del self._waiting[permit]
            self._queues.release(now, permit)
        self._queues.advance(now)
        self._send_outcomes(now)
        for model, (length, age) in self._queues.lengths(now).items():
            self._lengths.labels(model).set(length)
            self._ages.labels(model).set(age)
        if self._waiting:
            self._start_timer()
