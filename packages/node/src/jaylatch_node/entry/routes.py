"""The targets that an entry may use now, and the choice among them."""

from random import Random

from jaylatch_core.enums import EntryPolicy
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.membership import GroupRoute, ServiceRoute
from jaylatch_decisions.routing import (
    Candidate,
    choose_candidate,
    choose_least_loaded,
    choose_round_robin,
)
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.entry.agents import REPORT_TIMEOUT

RESERVATION_TIME = 0.25

Route = GroupRoute | ServiceRoute


class RouteController:
    """Chooses targets by the entry's policy."""

    def __init__(self, board: Blackboard, random: Random, policy: EntryPolicy) -> None:
        self._board = board
        self._random = random
        self._policy = policy
        self._turn = 0

    def choose(self, now: float, model: str, service: str) -> Route | None:
        """Return a target with room for an attempt and reserve it, or None."""
        if not self._board.grant.lease.is_valid(now):
            return None
        routes = self._routes(model, service)
        chosen = self._pick([self._candidate(now, instance) for instance in routes])
        if chosen is None:
            return None
        self._board.target(chosen.instance).reserved_until.append(now + RESERVATION_TIME)
        return routes[chosen.instance]

    def candidates(self, now: float, model: str, service: str) -> list[Candidate]:
        """Return all targets of a model or service."""
        return [self._candidate(now, instance) for instance in self._routes(model, service)]

    def _routes(self, model: str, service: str) -> dict[InstanceId, Route]:
        view = self._board.grant.view
        if model:
            return {route.head: route for route in view.groups if route.model == model}
        return {item.instance: item for item in view.services if item.service == service}

    def _pick(self, candidates: list[Candidate]) -> Candidate | None:
        match self._policy:
            case EntryPolicy.ROUND_ROBIN:
                self._turn += 1
                return choose_round_robin(candidates, self._turn)
            case EntryPolicy.LEAST_LOADED:
                return choose_least_loaded(candidates)
            case _:
                return choose_candidate(candidates, self._random)

    def _candidate(self, now: float, instance: InstanceId) -> Candidate:
        target = self._board.target(instance)
        report = target.report
        own = target.load(now)
        if report is None or now - target.received_at > REPORT_TIMEOUT:
            return Candidate(instance, False, own, 0, 1)
        total = own + target.others_in_flight
        return Candidate(instance, report.is_admitting, own, total, target.limit, report.entries)


def instance_of(route: Route) -> InstanceId:
    """Return the instance that a route leads to."""
    return route.head if isinstance(route, GroupRoute) else route.instance
