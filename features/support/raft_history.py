"""Seeded histories of voters over a faulty network, with the invariants checked at each step."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from jaylatch_core.ids import InstanceId, Term
from jaylatch_core.messages.consensus import (
    AppendRequest,
    ConsensusMessage,
    HardState,
    LogEntry,
    Snapshot,
    SnapshotRequest,
)
from jaylatch_decisions.consensus import Effects, RaftNode, RaftRole, RaftTiming
from jaylatch_node.consensus.turn import Turn

TIMING = RaftTiming(heartbeat_interval=0.08, election_timeout=0.3, drift=0.02)
MAX_STEP_SECONDS = 0.03
RECHECKED_ENTRIES = 12
"""Entries at the end of the logs that are compared after each step."""
DISK_RECOVERY_RATE = 0.06
"""Probability per step that a disk in trouble takes bytes again: after half an election timeout to
several ones."""
HAND_ON_RATE = 0.05
"""Probability per step that a leader hands leadership on during a slow write."""
CRASH_IN_TROUBLE_RATE = 0.3
"""Probability that a process crashes before its disk takes bytes again."""
RECOVERY_BOUND = 3.0
"""Seconds after the last fault until all voters must have recovered: ten election timeouts."""


@dataclass(frozen=True)
class Faults:
    """Fault probabilities, each per message or per step."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.0
    crash: float = 0.0
    partition: float = 0.0
    snapshot: float = 0.0
    change: float = 0.0
    disk_loss: float = 0.0
    transfer: float = 0.0
    disk_trouble: float = 0.0
    power_loss: float = 0.0
    slow_write: float = 0.0
    restart: float = 0.0


LOSSY = {"loss": 0.1, "duplication": 0.1, "delay": 0.3}
NETWORKS = {
    "perfect": Faults(),
    "lossy": Faults(**LOSSY),
    "crashing": Faults(**LOSSY, crash=0.03),
    "partitioned": Faults(**LOSSY, crash=0.01, partition=0.02, transfer=0.01),
    "snapshotting": Faults(**LOSSY, crash=0.03, partition=0.01, snapshot=0.1),
    "changing": Faults(**LOSSY, crash=0.02, partition=0.01, snapshot=0.05, change=0.05),
    "disk losing": Faults(**LOSSY, crash=0.01, partition=0.01, snapshot=0.05, disk_loss=0.01),
    "slow": Faults(delay=0.9, crash=0.05, partition=0.05, disk_loss=0.02),
    "everything": Faults(0.1, 0.1, 0.3, 0.02, 0.01, 0.05, 0.03, 0.01, 0.01),
    "disk filling": Faults(**LOSSY, crash=0.01, partition=0.01, snapshot=0.05, disk_trouble=0.02),
    "all disks filling": Faults(**LOSSY, snapshot=0.05, disk_trouble=0.1),
    "disks filling amid crashes": Faults(0.2, 0.1, 0.3, crash=0.03, disk_trouble=0.03),
    "slow to write": Faults(**LOSSY, crash=0.01, snapshot=0.02, slow_write=0.1),
    "slow to write amid partitions": Faults(
        **LOSSY, crash=0.02, partition=0.02, disk_trouble=0.02, slow_write=0.1
    ),
    "restarting": Faults(0.02, 0.0, 0.1, partition=0.05, restart=0.1),
    "losing power": Faults(
        0.1, 0.1, 0.3, crash=0.01, partition=0.02, snapshot=0.02, power_loss=0.01, restart=0.03
    ),
    "changing and losing power": Faults(
        0.1, 0.1, 0.3, crash=0.01, partition=0.03, change=0.05, power_loss=0.01, restart=0.03
    ),
    "everything and disk filling": Faults(
        0.1, 0.1, 0.3, 0.02, 0.01, 0.05, 0.03, 0.01, 0.01, disk_trouble=0.02
    ),
}


@dataclass
class Disk:
    """The synced state of one voter."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[LogEntry] = field(default_factory=list)


class History:
    """One run; ``broken_rule`` makes the voters violate a rule, to test the checks themselves."""

    def __init__(
        self,
        voters: int,
        faults: Faults,
        seed: int,
        broken_rule: str = "",
        *,
        is_first_start: bool = False,
        states_first_start: bool = False,
    ) -> None:
        self._states_first_start = states_first_start
        self._random = Random(seed)
        self._initial_voters = tuple(InstanceId(f"v{number}") for number in range(voters))
        spare = (InstanceId("spare"),) if faults.change else ()
        self._instances = self._initial_voters + spare
        self._faults = faults
        self._broken_rule = broken_rule
        self._now = 0.0
        self._disk_count = 0
        self._starts_empty = self._random.random() < 0.3 or is_first_start or states_first_start
        self._rates = {
            name: 1 + self._random.uniform(-0.5, 0.5) * TIMING.drift for name in self._instances
        }
        self._disks = {name: self._new_disk() for name in self._instances}
        self._nodes: dict[InstanceId, RaftNode] = {}
        self._applied: dict[InstanceId, list[bytes]] = {}
        self._withheld: dict[InstanceId, Turn] = {}
        self._slow_writes: dict[InstanceId, tuple[float, Effects]] = {}
        self.disk_recoveries = 0
        self.slow_elections = 0
        self._network: list[tuple[InstanceId, InstanceId, ConsensusMessage]] = []
        self._blocked: set[tuple[InstanceId, InstanceId]] = set()
        self._committed: dict[int, LogEntry] = {}
        self._leaders: dict[Term, InstanceId] = {}
        self._checked_leaders: dict[Term, InstanceId] = {}
        self._proposed = 0
        self.faults: list[str] = []
        for name in self._instances:
            self._restart(name)

    @property
    def commits(self) -> int:
        """Return the number of different entries that were committed."""
        return len(self._committed)

    def run(self, steps: int) -> None:
        """Take ``steps`` random steps, with the invariants checked after each."""
        for _ in range(steps):
            self._now += self._random.uniform(0, MAX_STEP_SECONDS)
            self._deliver()
            self._propose()
            self._inject_faults()
            self._tick()

    def recover(self) -> None:
        """End all faults; one leader must commit and all voters catch up within the bound."""
        self._faults = Faults()
        self._blocked.clear()
        for name in list(self._slow_writes):
            self._end_slow_write(name)
        for name in list(self._withheld):
            self._end_disk_trouble(name)
        for name in self._instances:
            if name not in self._nodes:
                self._restart(name)
        before = self.commits
        end = self._now + RECOVERY_BOUND
        while self._now < end:
            self._now += MAX_STEP_SECONDS / 2
            self._deliver()
            self._propose()
            self._tick()
            if self.commits > before and not self._missing_progress(before):
                return
        self.faults += [f"no progress: {reason}" for reason in self._missing_progress(before)]

    def lose_first_leader(self) -> None:
        """Start, and lose the leader for good at its first commit; the others must then commit."""
        self._run_until(lambda: self.commits > 0)
        first = next(name for name, node in self._nodes.items() if node.commit > 0)
        del self._nodes[first]
        before = self.commits
        self._run_until(lambda: self.commits > before)
        if self.commits == before:
            self.faults.append("no progress: the voters left have no quorum")

    def start_without(self, count: int) -> None:
        """Start without ``count`` of the voters; the others must commit."""
        for name in self._instances[:count]:
            del self._nodes[name]
        self._run_until(lambda: self.commits > 0)
        if not self.commits:
            self.faults.append("no progress: no commit without the lost voters")

    def restart_all(self) -> float:
        """Restart all voters at once; return the time until a commit, in election timeouts."""
        self._run_until(lambda: self.commits > 0)
        for name in self._instances:
            self._crash(name)
            self._restart(name)
        started_at, before = self._now, self.commits
        self._run_until(lambda: self.commits > before)
        if self.commits == before:
            self.faults.append("no progress: no commit after a restart of all")
        return (self._now - started_at) / TIMING.election_timeout

    def _run_until(self, is_reached: Callable[[], bool]) -> None:
        end = self._now + 2 * RECOVERY_BOUND
        while self._now < end and not is_reached():
            self._now += MAX_STEP_SECONDS / 2
            self._deliver()
            self._propose()
            self._tick()

    def _missing_progress(self, before: int) -> list[str]:
        """Return the conditions of a full recovery that do not hold yet."""
        leaders = [node for node in self._nodes.values() if node.role is RaftRole.LEADER]
        reasons = []
        if len({node.term for node in leaders}) != 1 or self.commits <= before:
            return [f"{len(leaders)} leaders, {self.commits} commits"]
        voters = [node for name, node in self._nodes.items() if name in leaders[0].voters]
        if min(node.commit for node in voters) <= before:
            reasons.append("a voter has not caught up")
        if any(node.is_recovering for node in voters):
            reasons.append("a voter was not readmitted")
        return reasons

    # Faults

    def _deliver(self) -> None:
        random, faults = self._random, self._faults
        waiting, self._network = self._network, []
        random.shuffle(waiting)
        for sender, receiver, message in waiting:
            if (sender, receiver) in self._blocked or random.random() < faults.loss:
                continue
            if random.random() < faults.delay:
                self._network.append((sender, receiver, message))
                continue
            if random.random() < faults.duplication:
                self._network.append((sender, receiver, message))
            node = self._nodes.get(receiver)
            if receiver in self._withheld and not isinstance(
                message, AppendRequest | SnapshotRequest
            ):
                continue
            if node is not None:
                node.step(self._clock(receiver), message)
                self._process_effects(receiver)

    def _inject_faults(self) -> None:
        random, faults = self._random, self._faults
        if random.random() < faults.crash:
            self._crash(random.choice(self._instances))
        if random.random() < faults.restart:
            name = random.choice(self._instances)
            self._crash(name)
            self._restart(name)
        if random.random() < faults.power_loss:
            for name in self._instances:
                self._crash(name)
            # Each process but perhaps one returns at once, in the step of the loss.
            late = random.choice(self._instances) if random.random() < 0.3 else None
            for name in self._instances:
                if name != late:
                    self._restart(name)
        if random.random() < faults.disk_trouble:
            self._begin_disk_trouble(random.choice(self._instances))
        if faults.slow_write:
            self._step_slow_writes()
        for name in list(self._withheld):
            if random.random() < DISK_RECOVERY_RATE:
                if random.random() < CRASH_IN_TROUBLE_RATE:
                    self._crash(name)
                self._end_disk_trouble(name)
        if random.random() < faults.disk_loss:
            self._lose_disk(random.choice(self._instances))
        for name in self._instances:
            if name not in self._nodes and random.random() < 0.1:
                self._restart(name)
        if random.random() < faults.partition:
            self._change_partition()
        if random.random() < faults.change:
            self._change_voters()
        for name, node in list(self._nodes.items()):
            if name not in self._withheld and random.random() < faults.transfer:
                node.transfer(self._clock(name))
            self._process_effects(name)
            can_write = (
                name in self._nodes and name not in self._withheld and name not in self._slow_writes
            )
            if can_write and random.random() < faults.snapshot:
                self._compact(name, node)

    def _change_partition(self) -> None:
        random = self._random
        if self._blocked and random.random() < 0.6:
            self._blocked.clear()
            return
        victim = random.choice(self._instances)
        others = [name for name in self._instances if name != victim and random.random() < 0.8]
        directions = random.choice(("out", "in", "both"))
        self._blocked |= {(victim, other) for other in others if directions != "in"}
        self._blocked |= {(other, victim) for other in others if directions != "out"}

    def _change_voters(self) -> None:
        for name, node in self._nodes.items():
            if node.role is not RaftRole.LEADER:
                continue
            missing = [other for other in self._instances if other not in node.voters]
            if missing:
                node.add_learner(self._clock(name), missing[0])
                if node.is_caught_up(missing[0]):
                    node.propose_voters(self._clock(name), (*node.voters, missing[0]))
            elif len(node.voters) > 2:
                leaving = self._random.choice(node.voters)
                remaining = tuple(other for other in node.voters if other != leaving)
                node.propose_voters(self._clock(name), remaining)

    def _lose_disk(self, name: InstanceId) -> None:
        """Lose one disk, unless another is being restored or there are fewer than 3 voters.

        Only one loss at a time is tolerated.
        """
        is_restored = all(not disk.hard_state.is_recovering for disk in self._disks.values())
        if not is_restored or len(self._initial_voters) < 3:
            return
        self._crash(name)
        self._withheld.pop(name, None)
        self._disks[name] = self._new_disk()

    def _crash(self, name: InstanceId) -> None:
        """End a process. A full disk may hold a part of the write that failed."""
        node = self._nodes.pop(name, None)
        _, in_flight = self._slow_writes.pop(name, (0.0, None))
        if in_flight is not None and in_flight.snapshot is None:
            # Any part of the write may have reached the disk, or all of it.
            kept = self._random.randint(0, len(in_flight.entries))
            in_flight.entries = in_flight.entries[:kept]
            if not (in_flight.hard_state and self._random.random() < 0.5):
                _write(self._disks[name], in_flight)
        turn = self._withheld.get(name)
        if node is None or turn is None:
            return
        if turn.snapshot is None and self._random.random() < 0.5:
            disk = self._disks[name]
            disk.hard_state = node.hard_state
            first = node.last_index + 1 if turn.first_entry is None else turn.first_entry
            for entry in node.entries_after(first - 1):
                if self._random.random() < 0.3:
                    break
                _write_entry(disk, entry)
        self._withheld[name] = Turn()

    def _begin_disk_trouble(self, name: InstanceId) -> None:
        """Fill or stall a disk."""
        if name not in self._withheld:
            turn = Turn()
            _, in_flight = self._slow_writes.pop(name, (0.0, None))
            if in_flight is not None:
                # The write was slow, and now fails.
                turn.absorb(in_flight)
                turn.messages.clear()
            self._withheld[name] = turn
            self._process_effects(name)

    def _step_slow_writes(self) -> None:
        """Let leaders hand on during slow writes, and let some of the writes end."""
        random = self._random
        for name in list(self._slow_writes):
            node = self._nodes[name]
            if node.role is RaftRole.LEADER and random.random() < HAND_ON_RATE:
                # A peer is known to be quicker.
                handed_on = node.step_down(self._clock(name))
                self._network += [(name, peer, message) for peer, message in handed_on]
                self._slow_writes[name][1].messages.clear()
            if random.random() < DISK_RECOVERY_RATE:
                self._end_slow_write(name)

    def _begin_slow_write(self, name: InstanceId, effects: Effects) -> None:
        """Begin a write that takes long; its messages leave, and its entries apply, after it."""
        self._slow_writes[name] = (self._clock(name), effects)
        if self._broken_rule == "sends before a slow write ends":
            self._send(name, effects)

    def _end_slow_write(self, name: InstanceId) -> None:
        """End a slow write with success; a candidate or leader goes on as one."""
        started_at, effects = self._slow_writes.pop(name)
        node, now = self._nodes[name], self._clock(name)
        self.disk_recoveries += 1
        self.slow_elections += node.role is RaftRole.CANDIDATE
        _write(self._disks[name], effects)
        node.note_write(now, now - started_at)
        self._finish(name, effects)
        self._process_effects(name)

    def _end_disk_trouble(self, name: InstanceId) -> None:
        """Write the complete state in memory, as a voter repairs its folder; then apply."""
        turn = self._withheld.pop(name)
        node = self._nodes.get(name)
        if node is None:
            return
        self.disk_recoveries += 1
        disk = self._disks[name]
        disk.hard_state = node.hard_state
        if self._broken_rule == "repairs without what failed":
            pass
        elif turn.first_entry is not None or turn.snapshot is not None:
            disk.snapshot = node.snapshot
            disk.entries = node.entries_after(node.snapshot.index)
        if turn.snapshot is not None:
            self._applied[name] = _load(turn.snapshot.data)
        for entry in turn.committed:
            self._apply(name, entry)

    def _new_disk(self) -> Disk:
        self._disk_count += 1
        is_first = self._disk_count <= len(self._instances)
        is_recovering = self._starts_empty if is_first else True
        if self._broken_rule == "votes on an empty disk":
            is_recovering = False
        is_stated = self._states_first_start
        voters = self._initial_voters if is_first or not is_stated else ()
        hard_state = HardState(
            Term(0),
            InstanceId(""),
            self._disk_count,
            is_recovering,
            voters,
            is_first and is_stated,
        )
        return Disk(hard_state, Snapshot(0, Term(0), voters, b""))

    def _restart(self, name: InstanceId) -> None:
        if name in self._withheld:
            # The folder cannot be opened before the disk takes bytes.
            return
        disk = self._disks[name]
        if self._broken_rule == "forgets its vote":
            state = disk.hard_state
            disk.hard_state = HardState(Term(0), InstanceId(""), state.disk, False)
        if self._broken_rule == "answers before the sync":
            del disk.entries[-3:]
        node = RaftNode(
            "log",
            name,
            TIMING,
            self._new_random(name),
            disk.hard_state,
            disk.snapshot,
            list(disk.entries),
            self._clock(name),
        )
        if self._broken_rule == "votes at once after a restart":
            node._state.end_start_wait(self._clock(name))
        if self._broken_rule == "believes a majority after a restart":
            _believe_majority(node)
        self._nodes[name] = node
        self._applied[name] = _load(disk.snapshot.data)

    def _new_random(self, name: InstanceId) -> Random:
        """Return the source of the random timers of a voter that starts."""
        return Random(self._random.random())

    # The process that runs the nodes

    def _propose(self) -> None:
        for name, node in self._nodes.items():
            if name not in self._withheld and self._random.random() < 0.2:
                self._proposed += 1
                node.propose(self._clock(name), f"{self._proposed}".encode())

    def _tick(self) -> None:
        for name in list(self._nodes):
            if name not in self._withheld and name not in self._slow_writes:
                self._nodes[name].tick(self._clock(name))
            self._process_effects(name)
        self._check_leaders()

    def _compact(self, name: InstanceId, node: RaftNode) -> None:
        disk = self._disks[name]
        if node.commit > disk.snapshot.index:
            disk.snapshot = node.compact(node.commit, b" ".join(self._applied[name]))
            disk.entries = [entry for entry in disk.entries if entry.index > node.commit]

    def _process_effects(self, name: InstanceId) -> None:
        if name in self._withheld:
            self._process_without_disk(name)
            return
        if name in self._slow_writes:
            # What arrives during a write shares the next one.
            return
        effects = self._nodes[name].take_effects()
        has_writes = bool(effects.entries or effects.hard_state or effects.snapshot)
        if has_writes and self._random.random() < self._faults.crash / 4:
            self._crash_during_write(name, effects)
            return
        slow_rate = self._faults.slow_write
        if has_writes and slow_rate and self._random.random() < slow_rate:
            self._begin_slow_write(name, effects)
            return
        _write(self._disks[name], effects)
        self._finish(name, effects)

    def _finish(self, name: InstanceId, effects: Effects) -> None:
        """Send and apply what a write allows."""
        self._send(name, effects)
        if effects.snapshot is not None:
            self._applied[name] = _load(effects.snapshot.data)
        for entry in effects.committed:
            self._apply(name, entry)

    def _process_without_disk(self, name: InstanceId) -> None:
        """Send only what hands leadership on, and keep the rest for the next write."""
        node = self._nodes.get(name)
        if node is None:
            return
        self._network += [
            (name, peer, message) for peer, message in node.step_down(self._clock(name))
        ]
        turn = self._withheld[name]
        turn.absorb(node.take_effects())
        if self._broken_rule == "answers without its disk":
            self._network += [(name, peer, message) for peer, message in turn.messages]
        turn.messages.clear()

    def _crash_during_write(self, name: InstanceId, effects: Effects) -> None:
        """Keep part of the writes that were not yet synced, and send nothing."""
        if effects.snapshot is None:
            kept = self._random.randint(0, len(effects.entries))
            effects.entries = effects.entries[:kept]
            if not (effects.hard_state and self._random.random() < 0.5):
                _write(self._disks[name], effects)
        self._nodes.pop(name)

    def _send(self, name: InstanceId, effects: Effects) -> None:
        self._network += [(name, peer, message) for peer, message in effects.messages]

    def _clock(self, name: InstanceId) -> float:
        return self._now * self._rates[name]

    # Invariants

    def _apply(self, name: InstanceId, entry: LogEntry) -> None:
        known = self._committed.setdefault(entry.index, entry)
        if known != entry:
            self.faults.append(f"disagreement: {name} committed {entry}, not {known}")
        if entry.command:
            self._applied[name].append(entry.command)

    def _check_leaders(self) -> None:
        newest = max(self._committed, default=0)
        for name, node in self._nodes.items():
            if node.role is not RaftRole.LEADER:
                continue
            if self._leaders.setdefault(node.term, name) != name:
                self.faults.append(f"two leaders: {name} in term {node.term}")
            can_read_locally = (
                node.can_read(self._clock(name)) or self._broken_rule == "has no lease"
            )
            if can_read_locally and node.commit < newest:
                self.faults.append(f"stale read: {name} at {node.commit} of {newest}")
            if node.term == max(self._leaders):
                self._check_completeness(name, node)
        self._check_matching()

    def _check_completeness(self, name: InstanceId, node: RaftNode) -> None:
        is_new = self._checked_leaders.get(node.term) != name
        self._checked_leaders[node.term] = name
        first = 1 if is_new else max(self._committed, default=0) - RECHECKED_ENTRIES
        for index in range(max(first, 1), max(self._committed, default=0) + 1):
            entry = self._committed[index]
            held = node.term_at(index)
            is_missing = held is None and index > node.last_index
            if is_missing or held not in (None, entry.term):
                self.faults.append(f"incomplete leader: {name} lacks {entry}")

    def _check_matching(self) -> None:
        """Check that two logs that agree on an entry agree on the one before it."""
        nodes = list(self._nodes.values())
        for first, second in zip(nodes, nodes[1:], strict=False):
            last = min(first.last_index, second.last_index)
            has_matched = False
            for index in range(last, max(last - RECHECKED_ENTRIES, 0), -1):
                one, two = first.term_at(index), second.term_at(index)
                if one is None or two is None:
                    break
                if has_matched and one != two:
                    self.faults.append(f"logs differ at {index} below an entry that agrees")
                has_matched = has_matched or one == two


def _believe_majority(node: RaftNode) -> None:
    """Let a voter end its wait once a majority, instead of all, has said that it does not lead."""
    check = node._elections._restarts
    list_missing = check._missing

    def list_missing_of_majority() -> set[InstanceId]:
        is_majority = len(check._answered) + 1 >= node._state.quorum
        return set() if is_majority else list_missing()

    check._missing = list_missing_of_majority


def _write(disk: Disk, effects: Effects) -> None:
    if effects.snapshot is not None:
        disk.snapshot = effects.snapshot
        disk.entries = []
    disk.hard_state = effects.hard_state or disk.hard_state
    for entry in effects.entries:
        _write_entry(disk, entry)


def _write_entry(disk: Disk, entry: LogEntry) -> None:
    del disk.entries[entry.index - disk.snapshot.index - 1 :]
    disk.entries.append(entry)


def _load(data: bytes) -> list[bytes]:
    return data.split()
