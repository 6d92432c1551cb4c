"""Gateways before targets that are cold: a replay of the decisions alone, with control and owners.

A failure domain of targets comes back at once while a burst lasts. Control instances, gateways and
targets fail as the event of a history says. Times are seconds.
"""

from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from jaylatch_core.ids import FailureDomainId, InstanceId, RequestDigest, Term
from jaylatch_core.messages.places import PlaceCandidate, PlacesFull, PlaceTaken, TakePlace
from jaylatch_core.messages.targets import TargetCheckIn
from jaylatch_core.settings import ColdSettings
from jaylatch_decisions.places import (
    EVIDENCE_VALIDITY,
    GRANT_VALIDITY,
    LimitTable,
    PlaceTable,
    cold_bound,
    unshared_bound,
)
from jaylatch_decisions.places.cold import WINDOW_SECONDS
from jaylatch_decisions.targets import TargetConditions, TargetRegistry
from jaylatch_decisions.targets.coldness import ColdFacts, cold_slots, is_cold

SETTINGS = ColdSettings(1.5, 5.0)
COLD_RATE = 26.0
COLD_TIME = 3.0
BOUND = cold_bound(SETTINGS, COLD_RATE)
SECONDS = 8.5
DOMAINS = 3
CONTROL_INSTANCES = 3
SLOTS = 24
ANSWER_TIME = 0.15
HEARTBEAT_INTERVAL = 1.2
TARGET_SILENCE = 3.0
RENEW_INTERVAL = 0.5
LEASE = 3.75
LEADER_TICK = 0.1
LEADER_LEASE = 0.6
ANSWER_TIMEOUT = 0.05
DOMAIN_LOST_AT, DOMAIN_BACK_AT = 0.5, 3.5
FAULT_FROM, FAULT_UNTIL = 3.3, 6.0
MIN_RESTART = 2.2
"""Least seconds in which a target starts anew at its place: more than ``EVIDENCE_VALIDITY``."""
MISDIRECTED_FRACTION = 0.02
"""Requests that are answered with 421, for which the rule has no count."""
ORDINARY_DEMAND, BURST_DEMAND = 10.0, 200.0
"""Requests a second for each target, before the domain comes back and from then on."""
FAILURE_PAUSE = 1.0


@dataclass
class _Target:
    """A target, and the times in which it really is cold.

    ``received`` are the times of all requests, ``arrivals`` of those that the rule counts.
    """

    name: InstanceId
    domain: int
    born_at: int = 1
    is_up: bool = True
    started_at: float = -60.0
    says_nothing_until: float = 0.0
    cold_spells: list[tuple[float, float]] = field(default_factory=list)
    received: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)

    def cold_left(self, now: float) -> float | None:
        if now < self.says_nothing_until:
            return None
        return max((until - now for since, until in self.cold_spells if since <= now), default=0.0)


@dataclass
class _Gateway:
    conditions: TargetConditions
    leader: int = 0
    view: dict[InstanceId, bool] = field(default_factory=dict)
    renewed_at: float = 0.0
    paused_until: float = 0.0
    cut_until: float = 0.0
    proven_at: dict[InstanceId, float] = field(default_factory=dict)
    failed_at: dict[InstanceId, float] = field(default_factory=dict)
    skipped_until: dict[int, float] = field(default_factory=dict)


class _Control:
    """A control instance; it loses all of this when it restarts."""

    def __init__(self, now: float) -> None:
        self.limits = LimitTable(SETTINGS)
        self.places = PlaceTable(request_limits=self.limits)
        self.registry = TargetRegistry(TARGET_SILENCE, now)


@dataclass
class _Request:
    number: int
    gateway: int
    returns: int = 0
    sends: int = 0
    attempted: set[InstanceId] = field(default_factory=set)


@dataclass
class _Ask:
    """A question to an owner; ``is_open`` until it is answered or given up."""

    permit: str
    request: _Request
    asked_at: float
    owner: int
    is_open: bool = True


class ColdHistory:
    """One history of ``gateways`` before ``targets``, with the faults of ``event``.

    ``mutant`` names a fault of the decisions that the replay has to find.
    """

    def __init__(
        self, gateways: int, event: str, seed: int, mutant: str = "", targets: int = 6
    ) -> None:
        self.seed = seed
        self.event = event
        self._mutant = mutant
        self._random = Random(seed)
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()
        self._permits = count()
        self._targets = {
            name: _Target(name, number % DOMAINS)
            for number, name in enumerate(InstanceId(f"t{item}") for item in range(targets))
        }
        self._control = [_Control(-60.0) for _ in range(CONTROL_INSTANCES)]
        self._control_down_until = [0.0] * CONTROL_INSTANCES
        self._control_paused_until = [0.0] * CONTROL_INSTANCES
        self._terms: list[tuple[float, float, int, Term]] = []
        self._gateways = [
            _Gateway(
                TargetConditions(Random(f"{seed}/{number}")),
                view=dict.fromkeys(self._targets, False),
                renewed_at=-self._random.random() * RENEW_INTERVAL,
            )
            for number in range(gateways)
        ]
        self._first_appeared: dict[InstanceId, float] = {}
        self._sequence = count(1)
        self.refused = 0

    # Results

    def most_in_second(self) -> int:
        """Return the most requests that a target got in a second that was cold at its end.

        The requests that it got as a warm one in the second before it became cold count too.
        """
        most = 0
        for target in self._targets.values():
            for since, until in target.cold_spells:
                times = sorted(at for at in target.arrivals if since - 1.0 < at < until)
                for index, at in enumerate(times):
                    if at >= since:
                        most = max(most, index + 1 - bisect_right(times, at - 1.0))
        return most

    def used(self) -> float:
        """Return the least part of its bound that a returned target got while it was cold.

        It is measured over two windows of an owner, from the first request on.
        """
        parts = []
        for target in self._targets.values():
            if target.domain == 0 and target.cold_spells:
                since, until = target.cold_spells[0]
                times = [at for at in target.received if since <= at < until]
                end = min(times, default=until) + 2 * WINDOW_SECONDS
                parts.append(sum(at < end for at in times) / (2 * WINDOW_SECONDS) / BOUND)
        return min(parts)

    # Running

    def run(self) -> "ColdHistory":
        """Replay the history."""
        for target in self._targets.values():
            self._heartbeat_loop(target, -self._random.random() * HEARTBEAT_INTERVAL)
        self._plan_faults()
        self._at(0.0, self._tick)
        self._at(0.0, self._arrive)
        while self._heap:
            now, _, action = heappop(self._heap)
            if now >= SECONDS:
                break
            action(now)
        return self

    def _at(self, time: float, action: Callable[[float], None]) -> None:
        heappush(self._heap, (time, next(self._order), action))

    def _delay(self) -> float:
        return self._random.uniform(0.0009, 0.006)

    # Faults

    def _plan_faults(self) -> None:
        random = self._random
        lost_at = random.uniform(DOMAIN_LOST_AT, DOMAIN_LOST_AT + 0.3)
        for target in self._targets.values():
            if target.domain == 0:
                self._at(lost_at, lambda now, target=target: self._stop(target))
                back_at = DOMAIN_BACK_AT + random.uniform(0, 0.05)
                self._at(back_at, lambda now, target=target: self._start(now, target))
        fault_at = random.uniform(FAULT_FROM, FAULT_UNTIL)
        leaders: list[tuple[float, float, int]] = [(-60.0, SECONDS, 0)]
        events = self.event.split(" while ")
        for event in events:
            match event:
                case "the leader is lost" | "the leader restarts":
                    is_restart = event == "the leader restarts"
                    elected_at = fault_at + LEADER_LEASE + random.uniform(0.05, 0.6)
                    leaders = [(-60.0, fault_at, 0), (elected_at, SECONDS, 0 if is_restart else 1)]
                    down_until = fault_at + (0.4 if is_restart else 2.0)
                    self._at(fault_at, lambda now, end=down_until: self._lose_control(0, end))
                case "leaders change by turns":
                    leaders, at, index = [], -60.0, 0
                    until = FAULT_FROM
                    while until < SECONDS:
                        leaders.append((at, until, index % CONTROL_INSTANCES))
                        at = until + random.uniform(0.01, 0.4)
                        until = at + random.uniform(0.3, 2.0)
                        index += 1
                    leaders.append((at, SECONDS, index % CONTROL_INSTANCES))
                case "the leader is paused":
                    leaders = [
                        (-60.0, fault_at + LEADER_LEASE, 0),
                        (fault_at + LEADER_LEASE + 0.02, SECONDS, 1),
                    ]
                    self._at(fault_at, lambda now: self._pause_control(now, 0, 2.0))
                case "half of the gateways ask another instance":
                    pass
                case "gateways are cut off":
                    for gateway in self._gateways[::3]:
                        cut_at = random.uniform(1.5, 5.0)
                        self._at(cut_at, lambda now, item=gateway: self._cut(item, SECONDS))
                case "gateways are cut off by turns":
                    for _ in range(30):
                        at = random.uniform(0.5, 7.0)
                        gateway = random.choice(self._gateways)
                        end = at + random.uniform(0.2, 4.0)
                        self._at(at, lambda now, item=gateway, end=end: self._cut(item, end))
                case "gateways pause":
                    for _ in range(60):
                        at = random.uniform(FAULT_FROM, 7.0)
                        gateway = random.choice(self._gateways)
                        end = at + random.uniform(0.1, 1.5)
                        self._at(at, lambda now, item=gateway, end=end: self._pause(item, end))
                case "targets become cold again":
                    for target in self._targets.values():
                        at = random.uniform(1.0, 7.0)
                        self._at(at, lambda now, target=target: self._cool(now, target))
                case "targets restart in their place":
                    for target in self._targets.values():
                        if target.domain:
                            at = random.uniform(0.5, 5.0)
                            back_at = at + MIN_RESTART + random.random()
                            self._at(at, lambda now, target=target: self._stop(target))
                            self._at(back_at, lambda now, target=target: self._start(now, target))
                case "nothing happens":
                    pass
                case _:
                    raise ValueError(event)
        for number, (since, until, index) in enumerate(leaders):
            self._terms.append((since, until, index, Term(number + 1)))
            self._at(max(since, 0.0), lambda now, i=index, t=number + 1: self._lead(now, i, t))

    def _stop(self, target: _Target) -> None:
        target.is_up = False

    def _start(self, now: float, target: _Target) -> None:
        target.is_up = True
        target.started_at = now
        target.born_at += 1
        target.cold_spells.append((now, now + COLD_TIME))
        if self._random.random() < 0.5:
            target.says_nothing_until = now + COLD_TIME
        self._heartbeat_loop(target, now + self._random.uniform(0, 0.05))

    def _cool(self, now: float, target: _Target) -> None:
        if target.is_up:
            target.cold_spells.append((now, now + COLD_TIME))

    def _cut(self, gateway: _Gateway, until: float) -> None:
        gateway.cut_until = max(gateway.cut_until, until)

    def _pause(self, gateway: _Gateway, until: float) -> None:
        gateway.paused_until = max(gateway.paused_until, until)

    def _lose_control(self, index: int, until: float) -> None:
        self._control_down_until[index] = until
        self._control[index] = _Control(until)

    def _pause_control(self, now: float, index: int, duration: float) -> None:
        self._control_paused_until[index] = now + duration

    def _lead(self, now: float, index: int, term: int) -> None:
        cold = self._control[index].limits.cold
        cold.begin_term(
            now if self._mutant != "a window forgotten on restart" else -60.0, Term(term)
        )

    def _leads(self, now: float, index: int) -> bool:
        return any(since <= now < until and index == item for since, until, item, _ in self._terms)

    # Heartbeats and views

    def _heartbeat_loop(self, target: _Target, at: float) -> None:
        born_at = target.born_at

        def beat(now: float) -> None:
            if target.born_at != born_at:
                return
            if target.is_up:
                message = TargetCheckIn(
                    target.name,
                    "s",
                    f"10.0.0.1:{target.name[1:]}",
                    FailureDomainId(str(target.domain)),
                    FailureDomainId(str(target.domain)),
                    born_at,
                    next(self._sequence),
                    False,
                    SLOTS,
                    cold_left=target.cold_left(now),
                )
                self._deliver(now, message)
                if self._random.random() < 0.2:
                    # A copy that a slow link delays until another incarnation may have started.
                    late = now + self._random.uniform(0.5, 4.0)
                    self._at(late, lambda then: self._deliver(then, message))
                self._at(now + HEARTBEAT_INTERVAL, beat)

        self._at(at, beat)

    def _deliver(self, now: float, message: TargetCheckIn) -> None:
        for index, control in enumerate(self._control):
            if now >= self._control_down_until[index]:
                control.registry.record_heartbeat(now, message)

    def _takes_for_cold(self, now: float, control: _Control, name: InstanceId) -> bool:
        record = control.registry.record(name)
        assert record is not None
        appeared_at = record.appeared_at
        if self._mutant == "a fact kept by address":
            appeared_at = self._first_appeared.setdefault(name, appeared_at)
        # A target that was there before the traffic, or control's own restart, has an old start.
        target = self._targets[name]
        uptime = None
        if record.appeared_at < control.registry.complete_at:
            uptime = now - target.started_at
        facts = ColdFacts(
            appeared_at, record.reported_at, record.heartbeat.cold_left, False, uptime
        )
        return is_cold(now, facts, COLD_TIME)

    def _tick(self, now: float) -> None:
        self._at(now + LEADER_TICK, self._tick)
        for index, control in enumerate(self._control):
            is_running = now >= max(
                self._control_down_until[index], self._control_paused_until[index]
            )
            if not is_running or not self._leads(now, index):
                continue
            view = None
            if now >= control.registry.complete_at:
                view = {
                    record.heartbeat.instance: self._takes_for_cold(
                        now, control, record.heartbeat.instance
                    )
                    for record in control.registry.all()
                    if control.registry.is_usable(now, record.heartbeat.instance)
                }
            for gateway in self._gateways:
                is_due = now >= gateway.renewed_at + RENEW_INTERVAL
                if is_due or (view is not None and view != gateway.view):
                    self._at(
                        now + self._delay(),
                        lambda then, g=gateway, i=index, v=view, n=now: self._grant(
                            then, g, i, v, n
                        ),
                    )

    def _grant(
        self,
        now: float,
        gateway: _Gateway,
        leader: int,
        view: dict[InstanceId, bool] | None,
        sent_at: float,
    ) -> None:
        if now < max(gateway.cut_until, gateway.paused_until):
            return
        gateway.renewed_at = max(gateway.renewed_at, sent_at)
        gateway.leader = leader
        if self.event.startswith("half of") and self._gateways.index(gateway) % 2:
            gateway.leader = (leader + 1) % CONTROL_INSTANCES
        if view is not None:
            gateway.view = view
            gateway.failed_at.clear()

    # Requests

    def _arrive(self, now: float) -> None:
        is_burst = now >= DOMAIN_BACK_AT - 0.2
        rate = (BURST_DEMAND if is_burst else ORDINARY_DEMAND) * len(self._targets)
        self._at(now + self._random.expovariate(rate), self._arrive)
        gateway = self._random.randrange(len(self._gateways))
        self._try(now, _Request(next(self._permits), gateway))

    def _try(self, now: float, request: _Request) -> None:
        gateway = self._gateways[request.gateway]
        if now < gateway.paused_until:
            self._at(gateway.paused_until, lambda then: self._try(then, request))
            return
        if now >= gateway.renewed_at + LEASE or not self._candidates(now, request):
            self._refuse(now, request, 0.0)
            return
        order = [gateway.leader, *(i for i in range(CONTROL_INSTANCES) if i != gateway.leader)]
        owner = next((i for i in order if gateway.skipped_until.get(i, 0.0) <= now), None)
        if now < gateway.cut_until or owner is None:
            gateway.conditions.record_owner(now, False)
            self._send_unshared(now, request)
            return
        ask = _Ask(f"{request.number}/{next(self._permits)}", request, now, owner)
        self._at(now + self._delay(), lambda then: self._decide(then, ask))
        self._at(now + ANSWER_TIMEOUT, lambda then: self._time_out(then, ask))

    def _candidates(self, now: float, request: _Request) -> list[InstanceId]:
        gateway = self._gateways[request.gateway]
        return [
            name
            for name in gateway.view
            if name not in request.attempted
            and now >= gateway.failed_at.get(name, -60.0) + FAILURE_PAUSE
        ]

    def _decide(self, now: float, ask: _Ask) -> None:
        index = ask.owner
        if now < self._control_down_until[index]:
            return
        if now < self._control_paused_until[index]:
            self._at(self._control_paused_until[index], lambda then: self._decide(then, ask))
            return
        control, request = self._control[index], ask.request
        gateway = self._gateways[request.gateway]
        candidates = tuple(
            PlaceCandidate(
                name,
                cold_slots(SLOTS) if gateway.view[name] else SLOTS,
                None,
                COLD_RATE,
                gateway.view[name],
            )
            for name in self._candidates(now, request)
        )
        leads = self._leads(now, index) or self._mutant == "every owner grants"
        control.limits.cold.set_state(
            leads, [item.instance for item in candidates if self._is_warm(now, control, item)]
        )
        if self._mutant == "a retry not counted" and request.sends:
            control.limits.cold.take = lambda now, instance: None  # type: ignore[method-assign]
        answer = control.places.take(
            now, TakePlace(ask.permit, candidates, 8.0, RequestDigest(ask.permit), True)
        )
        vars(control.limits.cold).pop("take", None)
        self._at(now + self._delay(), lambda then: self._answer(then, ask, answer))

    def _is_warm(self, now: float, control: _Control, candidate: PlaceCandidate) -> bool:
        """Return whether a control instance knows a target to be warm."""
        record = control.registry.record(candidate.instance)
        if record is None or now > record.reported_at + EVIDENCE_VALIDITY:
            return False
        return not self._takes_for_cold(now, control, candidate.instance)

    def _time_out(self, now: float, ask: _Ask) -> None:
        gateway = self._gateways[ask.request.gateway]
        if now < gateway.paused_until:
            # After a pause an answer that has arrived is read first.
            self._at(gateway.paused_until + 0.001, lambda then: self._time_out(then, ask))
        elif ask.is_open:
            ask.is_open = False
            gateway.skipped_until[ask.owner] = now + 1.0
            self._try(now, ask.request)

    def _answer(self, now: float, ask: _Ask, answer: PlaceTaken | PlacesFull) -> None:
        gateway = self._gateways[ask.request.gateway]
        if now < gateway.paused_until:
            self._at(gateway.paused_until, lambda then: self._answer(then, ask, answer))
            return
        control = self._control[ask.owner]
        if not ask.is_open:
            control.places.release(ask.permit)
            return
        ask.is_open = False
        gateway.conditions.record_owner(now, True)
        if isinstance(answer, PlacesFull):
            self._refuse(now, ask.request, answer.wait)
            return
        is_late = now > ask.asked_at + GRANT_VALIDITY
        if is_late and self._mutant != "a late grant used":
            control.places.release(ask.permit)
            self._try(now, ask.request)
            return
        self._send(now, ask.request, answer.instance)
        self._at(now + ANSWER_TIME, lambda then: control.places.release(ask.permit))

    def _send_unshared(self, now: float, request: _Request) -> None:
        gateway = self._gateways[request.gateway]
        for name in self._candidates(now, request):
            is_proven = now <= gateway.proven_at.get(name, -60.0) + EVIDENCE_VALIDITY
            is_warm = is_proven and not gateway.view[name] and name not in gateway.failed_at
            if self._mutant == "a fraction not applied":
                is_warm = True
            bound = unshared_bound(SETTINGS, COLD_RATE, is_warm)
            if gateway.conditions.take_unshared(now, name, len(self._gateways), bound):
                self._send(now, request, name)
                return
        self._refuse(now, request, 1.0)

    def _send(self, now: float, request: _Request, name: InstanceId) -> None:
        request.sends += 1
        request.attempted.add(name)
        is_counted = self._random.random() >= MISDIRECTED_FRACTION
        born_at = self._targets[name].born_at
        self._at(
            now + self._delay(),
            lambda then: self._reach(then, request, name, born_at, is_counted),
        )

    def _reach(
        self, now: float, request: _Request, name: InstanceId, born_at: int, is_counted: bool
    ) -> None:
        target = self._targets[name]
        if not target.is_up or target.born_at != born_at:
            self._gateways[request.gateway].failed_at[name] = now
        else:
            target.received.append(now)
            self._gateways[request.gateway].proven_at[name] = now
            if is_counted:
                target.arrivals.append(now)
                # Some answers break off, and their requests are sent again elsewhere.
                if self._random.random() >= 0.3:
                    return
        if request.sends < 3:
            self._try(now, request)

    def _refuse(self, now: float, request: _Request, wait: float) -> None:
        self.refused += 1
        if not request.returns:
            request.returns += 1
            back_at = now + wait + self._random.uniform(0.2, 0.6)
            self._at(back_at, lambda then: self._try(then, request))
