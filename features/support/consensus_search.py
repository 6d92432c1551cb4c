"""Exhaustive search through the histories of a log's voters with a bounded number of faults.

Without a fault a history takes one course: messages arrive in the order in which they were sent,
and time passes to the next timer when none is under way. The search tries each fault at each step
of that course, and up to ``budget`` faults in one history (delay-bounded scheduling: Emmi, Qadeer
and Rakamaric, POPL 2011). Histories that reach the same state are followed once.
"""

from collections.abc import Iterator
from copy import deepcopy
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from random import Random
from typing import Any

import msgspec
from support.raft_history import RECOVERY_BOUND, TIMING, Faults, History

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.consensus import ConsensusMessage
from jaylatch_decisions.consensus import RaftNode, RaftRole
from jaylatch_decisions.consensus.membership import (
    VOTER_LOSS_TIMEOUT,
    AddVoter,
    VoterRoster,
    VoterSet,
)

TURN_INTERVAL = 0.25
"""Seconds between two proposals, and between two rounds of membership."""
REQUEST_TURNS = 4
"""Turns between two requests for a vote."""
LATENESS = 2.5 * TIMING.election_timeout
"""Seconds: a message that is late belongs to an earlier term."""
MAX_MESSAGES = 1000
"""Messages between two timers; more are an exchange without end."""
LOSS_INTERVAL = 2.5
"""Seconds after which a lost instance has been replaced by one that waits."""
LATE_LOSS_TIMEOUT = 3.5
"""Seconds without contact until the broken rule replaces a voter; above ``LOSS_INTERVAL``."""


class FaultKind(Enum):
    """A fault that the search may place at a step.

    The first three concern the next message. ``WIPE`` restarts an instance on an empty disk, which
    has no effect while another one is on one, ``END`` kills it for good, and ``STOP`` ends it as
    planned.
    """

    LOSE = "lose"
    DOUBLE = "double"
    DELAY = "delay"
    RESTART = "restart"
    WIPE = "wipe"
    END = "end"
    STOP = "stop"


MESSAGE_FAULTS = (FaultKind.LOSE, FaultKind.DOUBLE, FaultKind.DELAY)
LOSS_FAULTS = (FaultKind.WIPE, FaultKind.END, FaultKind.STOP)


@dataclass(frozen=True)
class Fault:
    """A fault of the next message, or of an instance."""

    kind: FaultKind
    instance: InstanceId = InstanceId("")


class FixedRandom(Random):
    """Timers at a fixed place of their range, so that the same history gives the same state."""

    def __new__(cls, fraction: float, start_number: int) -> "FixedRandom":
        """Return a source that needs no seed."""
        return super().__new__(cls)

    def __init__(self, fraction: float, start_number: int) -> None:
        super().__init__(0)
        self._fraction = fraction
        self._start_number = start_number

    def __deepcopy__(self, memo: dict[int, Any]) -> "FixedRandom":
        """Return the same source, which has no state."""
        return self

    def uniform(self, a: float, b: float) -> float:
        """Return the same place in each range."""
        return a + (b - a) * self._fraction

    def getrandbits(self, k: int) -> int:
        """Return the number of this start."""
        return self._start_number * 2


class SearchedHistory(History):
    """A history that takes its usual course unless it is told of a fault.

    ``successors`` instances on empty disks ask for a vote from the start. Instances are lost only
    as far as the log must tolerate it: after the first commit, a minority of the voters, and where
    an instance waits that takes the vote, again after ``LOSS_INTERVAL``.
    """

    def __init__(self, voters: int, successors: int, broken_rule: str = "") -> None:
        self._start_count = 0
        super().__init__(voters, Faults(), 1, broken_rule, states_first_start=True)
        self._wanted = voters
        self._tolerance = (voters - 1) // 2
        self._rosters: dict[InstanceId, VoterRoster] = {}
        self._stopping: list[InstanceId] = []
        self._losses: list[float] = []
        self._late: list[tuple[float, InstanceId, InstanceId, ConsensusMessage]] = []
        self._turns = 0
        self._delivered = 0
        for number in range(successors):
            name = InstanceId(f"w{number}")
            self._disks[name] = self._new_disk()
            self._instances = (*self._instances, name)
            self._rates[name] = 1.0
            self._restart(name)

    def _new_random(self, name: InstanceId) -> Random:
        self._start_count += 1
        place = self._instances.index(name)
        return FixedRandom((place + 0.5) / (len(self._instances) + 1), self._start_count)

    @property
    def time(self) -> float:
        """Return the time since the start of the history, in seconds."""
        return self._now

    @property
    def turn(self) -> int:
        """Return the number of turns so far."""
        return self._turns

    def faults_at_step(self, kinds: frozenset[FaultKind]) -> Iterator[Fault]:
        """Return the faults that may happen before the next step."""
        if self._network:
            yield from (Fault(kind) for kind in MESSAGE_FAULTS if kind in kinds)
        if FaultKind.RESTART in kinds:
            yield from (Fault(FaultKind.RESTART, name) for name in self._nodes)
        if self._network or not self._can_lose_another():
            return
        for name in self._nodes:
            possible = (FaultKind.WIPE,) if name in self._stopping else LOSS_FAULTS
            yield from (Fault(kind, name) for kind in possible if kind in kinds)

    def apply_fault(self, fault: Fault) -> None:
        """Let a fault happen now."""
        name = fault.instance
        match fault.kind:
            case FaultKind.LOSE:
                del self._network[0]
            case FaultKind.DOUBLE:
                self._network.append(self._network[0])
            case FaultKind.DELAY:
                self._late.append((self._now + LATENESS, *self._network.pop(0)))
            case FaultKind.RESTART:
                self._crash(name)
                self._restart(name)
            case FaultKind.WIPE:
                self._losses.append(self._now)
                self._lose_disk(name)
                self._restart(name)
            case FaultKind.END:
                self._losses.append(self._now)
                self._crash(name)
            case FaultKind.STOP:
                self._losses.append(self._now)
                self._stopping.append(name)

    def take_step(self) -> None:
        """Deliver the oldest message, or let time pass to the next timer."""
        if self._network:
            self._delivered += 1
            if self._delivered > MAX_MESSAGES:
                self.faults.append("no progress: messages without end")
            _, receiver, message = self._network.pop(0)
            if (node := self._nodes.get(receiver)) is not None:
                node.step(self._clock(receiver), message)
                self._process_effects(receiver)
        else:
            self._delivered = 0
            self._pass_time()
        self._check_leaders()

    def check_progress(self) -> None:
        """Go on without faults: an entry must be committed within the bound."""
        before, end = self.commits, self._now + 2 * RECOVERY_BOUND
        while self.commits == before and self._now < end and not self.faults:
            self.take_step()
        if self.commits == before:
            self.faults.append("no progress: no commit after the last fault")

    def state_key(self) -> int:
        """Return a hash of all that the further course depends on."""
        ignored = {"_checked_leaders", "_proposed", "_delivered", "_start_count"}
        state = {name: value for name, value in self.__dict__.items() if name not in ignored}
        return hash(_freeze(state))

    def _can_lose_another(self) -> bool:
        if not self.commits:
            return False
        voters = max(self._nodes.values(), key=lambda node: node.last_index).voters
        is_any_waiting = any(name not in voters for name in self._nodes)
        if is_any_waiting:
            recent = [at for at in self._losses if self._now < at + LOSS_INTERVAL]
            return len(recent) < self._tolerance
        return len(self._losses) < self._tolerance

    def _pass_time(self) -> None:
        turn_due = (self._turns + 1) * TURN_INTERVAL
        timers = [node.tick_due / self._rates[name] for name, node in self._nodes.items()]
        due_messages = [due for due, *_ in self._late]
        self._now = max(self._now, min([turn_due, *timers, *due_messages]))
        arrived = [item for item in self._late if item[0] <= self._now]
        self._late = [item for item in self._late if item[0] > self._now]
        self._network += [tuple(message) for _, *message in arrived]
        if self._now >= turn_due:
            self._turns += 1
            self._take_turn()
        for name, node in list(self._nodes.items()):
            if node.tick_due / self._rates[name] <= self._now:
                # The clock of a voter may round to a time just before its timer.
                node.tick(max(self._clock(name), node.tick_due))
            self._process_effects(name)

    def _take_turn(self) -> None:
        """Propose a command at each leader, and let it change the voters."""
        for name, node in list(self._nodes.items()):
            if node.role is not RaftRole.LEADER:
                self._rosters.pop(name, None)
                continue
            if node.can_read(self._clock(name)):
                self._change_voters_of(name, node)
            node.propose(self._clock(name), f"{self._turns}".encode())

    def _change_voters_of(self, name: InstanceId, node: RaftNode) -> None:
        now = self._clock(name)
        roster = self._rosters.setdefault(name, VoterRoster())
        for other in self._nodes:
            if other in self._stopping:
                roster.record_leave(now, other)
            elif other not in node.voters and self._turns % REQUEST_TURNS == 0:
                roster.record_request(now, other, self._disks[other].hard_state.disk)
        is_broken = self._broken_rule == "takes back votes late"
        limit = LATE_LOSS_TIMEOUT if is_broken else VOTER_LOSS_TIMEOUT
        voter_set = VoterSet(
            node.voters,
            name,
            self._wanted,
            tuple(node.unresponsive_voters(now, limit)),
            {voter: node.disk_of(voter) for voter in node.voters},
        )
        self._end_stopped(name, node, roster, voter_set)
        change = roster.plan(now, voter_set)
        if isinstance(change, AddVoter):
            node.add_learner(now, change.instance)
            if not node.is_caught_up(change.instance) or (is_broken and not voter_set.lost):
                return
        if change is not None:
            node.propose_voters(now, voter_set.after(change))

    def _end_stopped(
        self, leader: InstanceId, node: RaftNode, roster: VoterRoster, voter_set: VoterSet
    ) -> None:
        """End the instances that have handed on their vote, or have nobody to hand it on to."""
        now = self._clock(leader)
        for name in [name for name in self._stopping if name in self._nodes]:
            if name in node.voters:
                may_end = not roster.can_hand_on(now, voter_set)
            else:
                may_end = node.commit == node.last_index
            if may_end and name == leader:
                node.transfer(now)
                self._process_effects(name)
            if may_end:
                self._crash(name)


@dataclass
class SearchResult:
    """What a search has visited, and the first history that broke a rule."""

    histories: int = 0
    states: int = 0
    broken: tuple[str, ...] = ()


def search(
    start: SearchedHistory, kinds: frozenset[FaultKind], budget: int, until: float
) -> SearchResult:
    """Try each combination of up to ``budget`` faults in the first ``until`` seconds."""
    result = SearchResult()
    seen: set[tuple[int, int]] = set()
    waiting = [(start, budget, ())]
    while waiting and not result.broken:
        history, left, placed = waiting.pop()
        result.histories += 1
        is_known, turn = False, history.turn
        while history.time < until and not history.faults and not is_known:
            if history.turn != turn:
                turn = history.turn
                key = (history.state_key(), left)
                is_known = key in seen
                seen.add(key)
            if left and not is_known:
                for fault in history.faults_at_step(kinds):
                    branch = deepcopy(history)
                    branch.apply_fault(fault)
                    text = f"{history.time:.2f} s: {fault.kind.value} {fault.instance}".strip()
                    waiting.append((branch, left - 1, (*placed, text)))
            history.take_step()
        if not is_known:
            history.check_progress()
        if history.faults:
            result.broken = (*placed, *history.faults[:3])
    result.states = len(seen)
    return result


def _freeze(value: Any) -> Any:
    """Return a hashable value that is equal for equal states."""
    match value:
        case str() | bytes() | int() | float() | None:
            return value
        case dict():
            return tuple(sorted((str(k), _freeze(v)) for k, v in value.items()))
        case set() | frozenset():
            return tuple(sorted(str(item) for item in value))
        case FixedRandom():
            return value.uniform(0.0, 1.0)
        case Random():
            return 0
        case msgspec.Struct() if value.__struct_config__.frozen:
            return value
        case msgspec.Struct():
            return tuple(_freeze(getattr(value, name)) for name in value.__struct_fields__)
    if is_dataclass(value):
        return tuple(_freeze(getattr(value, item.name)) for item in fields(value))
    if hasattr(value, "__dict__"):
        return _freeze(value.__dict__)
    return tuple(_freeze(item) for item in value)
