"""Steps that drive the pure consensus through random histories."""

from random import Random

from behave import given, then, when
from behave.runner import Context

from jaylatch_core.ids import InstanceId, Term
from jaylatch_core.messages.consensus import ConsensusMessage, HardState, LogEntry
from jaylatch_decisions.consensus import RaftNode, RaftRole, RaftTiming

TIMING = RaftTiming(heartbeat_interval=0.1, election_timeout=0.6)
STEP = 0.03


class History:
    """One seeded run of voters over a faulty network; collects what breaks an invariant."""

    def __init__(self, voters: int, network: str, seed: int) -> None:
        self._random = Random(seed)
        self._names = tuple(InstanceId(f"v{number}") for number in range(voters))
        self._is_lossy = network != "is perfect"
        self._crashes = network == "crashes voters"
        self._now = 0.0
        self._disks = {name: (HardState(Term(0), InstanceId("")), []) for name in self._names}
        self._nodes: dict[InstanceId, RaftNode] = {}
        self._network: list[tuple[InstanceId, ConsensusMessage]] = []
        self._committed: dict[int, LogEntry] = {}
        self._leaders: dict[Term, InstanceId] = {}
        self.faults: list[str] = []
        self.commits = 0
        for name in self._names:
            self._restart(name)

    def run(self, steps: int) -> None:
        """Take ``steps`` random steps."""
        for number in range(steps):
            self._now += self._random.uniform(0, STEP)
            self._act(number)
            for name in list(self._nodes):
                self._nodes[name].tick(self._now)
                self._settle(name)
            self._check()

    def _act(self, number: int) -> None:
        for _ in range(len(self._network)):
            index = self._random.randrange(len(self._network))
            receiver, message = self._network.pop(index)
            fate = self._random.random()
            if self._is_lossy and fate < 0.1:
                continue
            if self._is_lossy and fate < 0.2:
                self._network.append((receiver, message))
            if receiver in self._nodes:
                self._nodes[receiver].step(self._now, message)
                self._settle(receiver)
        for name in self._nodes:
            if self._random.random() < 0.2:
                self._nodes[name].propose(self._now, f"{number}".encode())
        if self._crashes and self._random.random() < 0.03:
            self._nodes.pop(self._random.choice(self._names), None)
        for name in self._names:
            if name not in self._nodes and self._random.random() < 0.1:
                self._restart(name)

    def _restart(self, name: InstanceId) -> None:
        hard_state, entries = self._disks[name]
        random = Random(self._random.random())
        self._nodes[name] = RaftNode(
            "log", name, self._names, TIMING, random, hard_state, list(entries), self._now
        )

    def _settle(self, name: InstanceId) -> None:
        effects = self._nodes[name].take_effects()
        hard_state, entries = self._disks[name]
        for entry in effects.entries:
            del entries[entry.index - 1 :]
            entries.append(entry)
        self._disks[name] = (effects.hard_state or hard_state, entries)
        self._network += effects.messages
        for entry in effects.committed:
            self.commits += 1
            known = self._committed.setdefault(entry.index, entry)
            if known != entry:
                self.faults.append(f"disagreement: {name} committed {entry}, not {known}")

    def _check(self) -> None:
        newest = max(self._committed, default=0)
        for name, node in self._nodes.items():
            if node.role is not RaftRole.LEADER:
                continue
            if self._leaders.setdefault(node.term, name) != name:
                self.faults.append(f"two leaders: {name} in term {node.term}")
            if node.can_read(self._now) and node.commit < newest:
                self.faults.append(f"stale read: {name} at {node.commit} of {newest}")


@given("{voters:d} voters with a network that {network}")
def step_voters(context: Context, voters: int, network: str) -> None:
    context.voters = voters
    context.network = network


@when("{histories:d} random histories of {steps:d} steps run from seed {seed:d}")
def step_run(context: Context, histories: int, steps: int, seed: int) -> None:
    context.faults = []
    context.commits = 0
    for number in range(histories):
        history = History(context.voters, context.network, seed * 100_000 + number)
        history.run(steps)
        context.faults += [f"history {number}: {fault}" for fault in history.faults]
        context.commits += history.commits


@then("no two voters ever disagreed on a committed entry")
def step_agree(context: Context) -> None:
    assert context.commits > 0, "nothing was committed, so nothing was shown"
    assert not [fault for fault in context.faults if "disagreement" in fault], context.faults


@then("no term ever had two leaders")
def step_one_leader(context: Context) -> None:
    assert not [fault for fault in context.faults if "two leaders" in fault], context.faults


@then("no leader whose lease was valid had stale committed entries")
def step_fresh_reads(context: Context) -> None:
    assert not [fault for fault in context.faults if "stale read" in fault], context.faults
