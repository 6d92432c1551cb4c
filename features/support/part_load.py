"""A seeded load with a fatal part of prompts, on groups that end under it.

Replays the incident second1: nammibar's rates, its number of groups and gateways, which each see a
few requests, and interrupted requests that are sent again, together, to another group.
"""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from jaylatch_core.ids import InstanceId, PromptPartId, RequestDigest
from jaylatch_decisions.quarantine import AnsweredParts, PartEvidence, SharedParts

FATAL = PromptPartId("fatal")
SYSTEM = PromptPartId("system")
GROUPS = 6
GATEWAYS = 11
SUBJECTS = 40
SOUND_RATE = 15.0
"""Requests a second."""
ANSWER_SECONDS = (0.6, 2.5)
CRASH_SECONDS = (0.05, 0.25)
REPAIR_SECONDS = 3.0
RENEWAL_SECONDS = 0.5
REPORT_SECONDS = 0.005
ATTEMPTS = 2
FATAL_FROM = 10.0
UNRELATED_CRASHES_PER_SECOND = 0.3
"""Crashes that no request causes: members are lost, and groups with them."""
QUARANTINE_SECONDS = 600.0


@dataclass
class Request:
    """One request, its gateway and the group that runs it."""

    digest: RequestDigest
    parts: SharedParts
    gateway: int
    attempts: int = 0
    group: int = -1


@dataclass
class Outcome:
    """What a history showed. ``wrong`` maps each quarantined sound part to its seconds."""

    fatal_deaths: int = 0
    quarantined_at: float = 0.0
    wrong: dict[PromptPartId, float] = field(default_factory=dict)


class PartLoad:
    """Plays one history in simulated time."""

    def __init__(self, seed: int, fatal_rate: float, duration: float) -> None:
        self._random = Random(seed)
        self._fatal_rate = fatal_rate
        self._duration = duration
        self._events: list[tuple[float, int, str, object]] = []
        self._order = count()
        self._evidence = PartEvidence(0.0)
        self._answered = [AnsweredParts(0.0) for _ in range(GATEWAYS)]
        self._lives = [0] * GROUPS
        self._running: list[list[Request]] = [[] for _ in range(GROUPS)]
        self._back_at = [0.0] * GROUPS
        self._wrong_since: dict[PromptPartId, float] = {}
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Play the history and return what it showed."""
        self._schedule(0.0, "sound")
        if self._fatal_rate:
            self._schedule(FATAL_FROM, "fatal")
        self._schedule(FATAL_FROM, "unrelated crash")
        self._schedule(RENEWAL_SECONDS, "renewals")
        while self._events:
            now, _, what, subject = heappop(self._events)
            if now > self._duration:
                break
            self._handle(now, what, subject)
            self._record_wrong(now)
        for part, since in self._wrong_since.items():
            self.outcome.wrong[part] = self._duration - since
        return self.outcome

    def _schedule(self, at: float, what: str, subject: object = None) -> None:
        heappush(self._events, (at, next(self._order), what, subject))

    def _handle(self, now: float, what: str, subject: object) -> None:
        match what, subject:
            case "sound", _:
                self._start(now, self._new_request(is_fatal=False))
                self._schedule(now + self._random.expovariate(SOUND_RATE), "sound")
            case "fatal", _:
                self._start(now, self._new_request(is_fatal=True))
                self._schedule(now + self._random.expovariate(self._fatal_rate), "fatal")
            case "unrelated crash", _:
                self._crash(now, self._random.randrange(GROUPS))
                after = self._random.expovariate(UNRELATED_CRASHES_PER_SECOND)
                self._schedule(now + after, "unrelated crash")
            case "renewals", _:
                for answered in self._answered:
                    self._evidence.clear(answered.proven(now, self._evidence.suspected))
                self._evidence.expire(now, QUARANTINE_SECONDS)
                self._schedule(now + RENEWAL_SECONDS, "renewals")
            case "answer", (Request() as request, int(group), int(life)):
                if self._lives[group] == life:
                    self._running[group].remove(request)
                    self._answered[request.gateway].record(now, request.parts)
            case "crash", (int(group), int(life)):
                if self._lives[group] == life:
                    self.outcome.fatal_deaths += 1
                    self._crash(now, group)
            case "resend", Request() as request:
                self._start(now, request)

    def _new_request(self, is_fatal: bool) -> Request:
        number = next(self._order)
        # A few subjects get most of the requests.
        subject = PromptPartId(f"subject-{int(SUBJECTS * self._random.random() ** 2)}")
        parts = (SYSTEM, FATAL, subject) if is_fatal else (SYSTEM, subject)
        return Request(RequestDigest(f"r{number}"), parts, self._random.randrange(GATEWAYS))

    def _start(self, now: float, request: Request) -> None:
        if set(request.parts) & set(self._evidence.quarantined):
            return
        up = [group for group in range(GROUPS) if self._back_at[group] <= now]
        if not up or request.attempts == ATTEMPTS:
            return
        request.attempts += 1
        request.group = min(up, key=lambda group: len(self._running[group]))
        self._running[request.group].append(request)
        life = self._lives[request.group]
        if FATAL in request.parts:
            after = self._random.uniform(*CRASH_SECONDS)
            self._schedule(now + after, "crash", (request.group, life))
        else:
            after = self._random.uniform(*ANSWER_SECONDS)
            self._schedule(now + after, "answer", (request, request.group, life))

    def _crash(self, now: float, group: int) -> None:
        target = InstanceId(f"head-{group}-{self._lives[group]}")
        self._lives[group] += 1
        self._back_at[group] = now + REPAIR_SECONDS
        interrupted, self._running[group] = self._running[group], []
        for request in interrupted:
            unproven = self._answered[request.gateway].unproven(now, request.parts)
            self._evidence.record_interruption(now, target, request.digest, unproven)
            self._schedule(now + REPORT_SECONDS, "resend", request)
        self._evidence.record_death(now, target)

    def _record_wrong(self, now: float) -> None:
        quarantined = self._evidence.quarantined
        if FATAL in quarantined and not self.outcome.quarantined_at:
            self.outcome.quarantined_at = now
        for part in quarantined:
            if part != FATAL:
                self._wrong_since.setdefault(part, now)
        for part in list(self._wrong_since):
            if part not in quarantined:
                lasted = now - self._wrong_since.pop(part)
                self.outcome.wrong[part] = self.outcome.wrong.get(part, 0.0) + lasted
