"""Steps on cold rates where requests wait at the owner by rank."""

from asyncio import sleep
from collections import Counter
from heapq import heappop, heappush
from random import Random

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.place_owners import until

from jaylatch_core.clock import monotonic
from jaylatch_core.ids import AccountId, InstanceId, RequestDigest, Term
from jaylatch_core.messages.places import (
    PlaceCandidate,
    PlaceGranted,
    PlaceTaken,
    QueueTerms,
    TakePlace,
)
from jaylatch_core.settings import ColdSettings
from jaylatch_decisions.places import GRANT_VALIDITY, LimitTable, PlaceQueues, PlaceTable
from jaylatch_decisions.places.cold import TRANSIT_JITTER, WINDOW_SECONDS

RATE = 26.0
BOUND = 44
TARGETS = ("a", "b")
SECONDS = 6.0
TICK_SECONDS = 0.02
RANKS = 3

use_step_matcher("re")


class Replay:
    """One owner with a queue, and gateways that use their grants as late as they may."""

    def __init__(self, seed: int, factor: float) -> None:
        self._random = Random(seed)
        limits = LimitTable(ColdSettings(overage=1.5, slack=5))
        limits.cold.begin_term(0.0, Term(1))
        limits.cold.set_state(True, ())
        self._queues = PlaceQueues(PlaceTable(request_limits=limits))
        self._candidates = tuple(
            PlaceCandidate(InstanceId(name), 100, None, RATE, True) for name in TARGETS
        )
        self._rate = factor * BOUND * len(TARGETS)
        self._asked: dict[str, tuple[float, int]] = {}
        self._releases: list[tuple[float, str]] = []
        self.arrivals: dict[str, list[float]] = {name: [] for name in TARGETS}
        self.waited: Counter[int] = Counter()

    def run(self) -> None:
        """Ask at random times, and let the owner tick."""
        start = now = 2.0
        next_tick = now
        number = 0
        while now < start + SECONDS:
            now += self._random.expovariate(self._rate)
            while next_tick < now:
                self._release(next_tick)
                self._queues.advance(next_tick)
                self._send_granted(next_tick)
                next_tick += TICK_SECONDS
            number += 1
            self._ask(now, f"p{number}")
            self._send_granted(now)

    def _ask(self, now: float, permit: str) -> None:
        rank = self._random.randrange(RANKS)
        wait, work = self._random.uniform(0.05, 1.0), self._random.uniform(0.05, 0.3)
        terms = QueueTerms(rank, AccountId("x"), wait, work, "model")
        # The question was on its way to the owner before.
        self._asked[permit] = (now - self._random.uniform(0.0, TRANSIT_JITTER / 2), rank)
        request = TakePlace(permit, self._candidates, 9.0, RequestDigest(permit), queueing=terms)
        answer = self._queues.take(now, request)
        if isinstance(answer, PlaceTaken):
            self._send(now, permit, answer.instance, 0.0)

    def _send_granted(self, now: float) -> None:
        for outcome in self._queues.take_outcomes():
            if isinstance(outcome, PlaceGranted):
                self.waited[self._asked[outcome.permit][1]] += outcome.waited > 0
                self._send(now, outcome.permit, outcome.instance, outcome.waited)

    def _send(self, now: float, permit: str, instance: str, waited: float) -> None:
        send_until = self._asked[permit][0] + waited + GRANT_VALIDITY
        sent_at = self._random.uniform(now, send_until)
        self.arrivals[instance].append(sent_at + self._random.uniform(0.0, TRANSIT_JITTER))
        heappush(self._releases, (sent_at + self._random.uniform(0.05, 0.3), permit))

    def _release(self, now: float) -> None:
        while self._releases and self._releases[0][0] <= now:
            self._queues.give_back(now, heappop(self._releases)[1])


@given(
    r"ranked requests for two cold targets at (?P<factor>[\d.]+) times"
    r" their bound of 44 in a second"
)
def step_ranked_load(context: Context, factor: str) -> None:
    context.factor = float(factor)


@when(
    r"they wait at the owner for 6 s, are granted and sent at any time until they may,"
    r" seeds 0 to (?P<last>\d)"
)
def step_ranked_replay(context: Context, last: str) -> None:
    context.replays = [Replay(seed, context.factor) for seed in range(int(last) + 1)]
    for replay in context.replays:
        replay.run()


@then(r"no target gets more than 44 of them in any second")
def step_ranked_rule(context: Context) -> None:
    for replay in context.replays:
        for times in map(sorted, replay.arrivals.values()):
            most = max(sum(t <= u < t + 1.0 for u in times) for t in times)
            assert most <= BOUND, most


@then(r"each target gets at least 0.9 of what the window of 1.1 s allows")
def step_ranked_use(context: Context) -> None:
    for replay in context.replays:
        for times in replay.arrivals.values():
            assert len(times) >= 0.9 * BOUND * SECONDS / WINDOW_SECONDS, len(times)


@then(r"at least (?P<count>\d+) of them were granted after a wait, the urgent ones most")
def step_ranked_waits(context: Context, count: str) -> None:
    waited = sum((replay.waited for replay in context.replays), Counter())
    assert sum(waited.values()) >= int(count), waited
    assert waited[0] == max(waited.values()), waited


@when(
    r"a request waits there, the place is given back, and messages take (?P<late>[\d.]+) s",
)
def step_late_grant(context: Context, late: str) -> None:
    async def grant() -> None:
        first, gateway = context.network.owners[0], context.network.gateways[0]
        task = gateway.request("waits")
        await until(lambda: first.waiting == 1)
        await sleep(0.1)
        first.proxy.delay = float(late)
        context.held.release()
        context.place = await task
        context.granted_at = monotonic()

    context.runner.run(grant())


@then(r"the request has waited, and its permission to send (?P<state>is valid|has expired)")
def step_permission(context: Context, state: str) -> None:
    assert context.place is not None and context.place.target is not None
    left = context.place.send_until - context.granted_at
    assert (left >= 0) == (state == "is valid"), left
    assert left <= GRANT_VALIDITY, left
