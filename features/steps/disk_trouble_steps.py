"""Steps that test logs whose disks fill, stall, are slow or fail their syncs, and recover."""

from asyncio import create_task, get_running_loop, sleep, timeout
from collections.abc import Awaitable
from shutil import rmtree

from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful
from support.disk_faults import FaultyDisk
from support.log_network import FIRST_VOTERS, WAIT_TIMEOUT, LogNetwork

from jaylatch_core.clock import monotonic
from jaylatch_core.ids import InstanceId, Term
from jaylatch_core.messages.consensus import AppendReply, VoteReply
from jaylatch_node.consensus import DiskState
from jaylatch_standins.deployment import wait_until

LOOP_POLL_SECONDS = 0.005
MAX_LOOP_GAP_SECONDS = 1.0
"""Longest turn of the loop that is not taken for a wait for the disk, on a busy machine. A stall of
the tests lasts longer."""
MIN_FAULT_SECONDS = 1.5
MAX_STALLED_ANSWER_SECONDS = 10.0
"""A stalled write is one of 4 election timeouts, 1.2 s; the rest is for a busy machine."""


class Trouble:
    """The run of one scenario: which voter's disk is in trouble, and what was acknowledged."""

    def __init__(self, network: LogNetwork) -> None:
        self.network = network
        self.victim = InstanceId("")
        self.acknowledged: list[bytes] = []
        self.replies_before = 0
        self.longest_gap = 0.0

    @property
    def replies(self) -> int:
        """Return the number of acknowledgements and granted votes that the victim sent."""
        return sum(
            (isinstance(message, AppendReply) and message.is_accepted)
            or (isinstance(message, VoteReply) and message.is_granted)
            for message in self.network.sent[self.victim]
        )

    async def commit(self, number: int) -> None:
        for _ in range(number):
            command = f"{len(self.acknowledged)}".encode()
            await self.network.propose(command)
            self.acknowledged.append(command)

    async def find(self, voter: str) -> InstanceId:
        async def has_leader() -> bool:
            return self.network.leader is not None

        await wait_until(has_leader, WAIT_TIMEOUT, "a leader is elected")
        leader = self.network.leader
        assert leader is not None
        if voter == "the leader":
            return leader
        return next(name for name in FIRST_VOTERS if name != leader)

    async def watch_loop(self) -> None:
        """Measure the longest time during which the loop ran nothing else."""
        loop = get_running_loop()
        while True:
            before = loop.time()
            await sleep(LOOP_POLL_SECONDS)
            self.longest_gap = max(self.longest_gap, loop.time() - before)


def run(context: Context, work: Awaitable[None]) -> None:
    async def run_with_timers() -> None:
        timers = [
            create_task(context.trouble.network.tick()),
            create_task(context.trouble.watch_loop()),
        ]
        try:
            await work
        finally:
            for timer in timers:
                timer.cancel()

    context.runner.run(run_with_timers())


@given("3 connected logs with faulty disks, and {number:d} commands")
def step_faulty_logs(context: Context, number: int) -> None:
    network = LogNetwork(context.folder)
    context.trouble = Trouble(network)
    for name in FIRST_VOTERS:
        network.start(name)
    run(context, context.trouble.commit(number))


@when('the disk of "{voter}" {fault} while {number:d} more commands commit')
def step_fault(context: Context, voter: str, fault: str, number: int) -> None:
    trouble = context.trouble

    async def work() -> None:
        trouble.victim = await trouble.find(voter)
        trouble.network.disks[trouble.victim].start(fault)
        trouble.longest_gap = 0.0
        started_at = monotonic()
        # The first command makes the victim write, so that its disk is known to be in trouble.
        await trouble.commit(1)

        async def is_noticed() -> bool:
            return trouble.network.logs[trouble.victim].disk.state is not DiskState.USABLE

        await wait_until(is_noticed, WAIT_TIMEOUT, "the voter notices its disk")
        trouble.replies_before = trouble.replies
        await trouble.commit(number - 1)
        await sleep(max(started_at + MIN_FAULT_SECONDS - monotonic(), 0.0))

    run(context, work())


@then("its condition is {state}, and it acknowledged nothing meanwhile")
def step_condition(context: Context, state: str) -> None:
    trouble = context.trouble
    log = trouble.network.logs[trouble.victim]
    assert log.disk.state is DiskState(state), log.disk
    assert log.disk.error and log.disk.since > 0
    assert not log.is_leader
    assert trouble.replies == trouble.replies_before, trouble.network.sent[trouble.victim][-5:]


@then("the loop never waited for its disk")
def step_loop(context: Context) -> None:
    assert context.trouble.longest_gap < MAX_LOOP_GAP_SECONDS, context.trouble.longest_gap


@then("another voter leads")
def step_other_leader(context: Context) -> None:
    assert context.trouble.network.leader not in (None, context.trouble.victim)


@when("that disk recovers, and another voter stops")
def step_recover(context: Context) -> None:
    trouble = context.trouble

    async def work() -> None:
        network = trouble.network
        network.disks[trouble.victim].recover()

        async def is_usable() -> bool:
            log = network.logs[trouble.victim]
            return log.is_open and log.failure is None and not log.is_recovering

        await wait_until(is_usable, WAIT_TIMEOUT, "the voter writes again")
        network.stop(next(name for name in FIRST_VOTERS if name != trouble.victim))

    run(context, work())


@then("{number:d} more commands commit with its vote")
def step_commit_again(context: Context, number: int) -> None:
    run(context, context.trouble.commit(number))


@then("after a restart of all voters no acknowledged command is lost")
def step_restart_all(context: Context) -> None:
    trouble = context.trouble
    network = trouble.network

    async def work() -> None:
        for name in list(network.logs):
            network.stop(name)
        for name in FIRST_VOTERS:
            network.start(name)
        await trouble.commit(1)

        async def is_complete() -> bool:
            machines = [network.machines[name] for name in FIRST_VOTERS]
            return len({machine.digest for machine in machines}) == 1

        await wait_until(is_complete, WAIT_TIMEOUT, "all voters hold the same commands")

    run(context, work())
    for name in FIRST_VOTERS:
        commands = network.machines[name].commands
        positions = [commands.index(command) for command in trouble.acknowledged]
        assert positions == sorted(positions), (name, positions)


@when("a follower restarts on {folder} and a disk that {fault}")
def step_restart_faulty(context: Context, folder: str, fault: str) -> None:
    trouble = context.trouble

    async def work() -> None:
        network = trouble.network
        trouble.victim = await trouble.find("a follower")
        network.stop(trouble.victim)
        if folder == "an empty folder":
            rmtree(network.folder / trouble.victim)
        disk = FaultyDisk()
        disk.start(fault)
        network.start(trouble.victim, disk=disk)

    run(context, work())


@then("{number:d} commands commit without it, and it names the leader")
def step_commit_without(context: Context, number: int) -> None:
    trouble = context.trouble
    network = trouble.network

    async def work() -> None:
        await trouble.commit(number)
        log = network.logs[trouble.victim]
        assert log.disk.state is DiskState.FAILED or not log.is_open, log.disk

        async def names_leader() -> bool:
            return bool(log.leader) and log.leader == network.leader

        await wait_until(names_leader, WAIT_TIMEOUT, "the voter names the leader")
        refused = await log.propose(b"refused")
        assert not is_successful(refused)

    run(context, work())


@given("a single log whose disk is slow from its start")
def step_single_slow(context: Context) -> None:
    network = LogNetwork(context.folder)
    context.trouble = Trouble(network)
    context.trouble.victim = FIRST_VOTERS[0]
    disk = FaultyDisk()
    disk.start("is slow")
    network.start(FIRST_VOTERS[0], (FIRST_VOTERS[0],), disk)


@when("{number:d} commands are proposed to it one after another")
def step_propose_to_single(context: Context, number: int) -> None:
    trouble = context.trouble
    log = trouble.network.logs[trouble.victim]
    context.terms = []
    context.answers = []

    async def work() -> None:
        async def has_leader() -> bool:
            return trouble.network.leader is not None

        await wait_until(has_leader, WAIT_TIMEOUT, "the single voter leads")
        for position in range(number):
            context.terms.append(log.term)
            context.answers.append(await log.propose(f"{position}".encode()))

    run(context, work())


@then("it commits each of them in one term")
def step_single_commits(context: Context) -> None:
    assert all(is_successful(answer) for answer in context.answers), context.answers
    assert len(set(context.terms)) == 1, context.terms


@then("a command proposed to it during a long stall is answered before the stall ends")
def step_single_stall(context: Context) -> None:
    trouble = context.trouble
    log = trouble.network.logs[trouble.victim]
    disk = trouble.network.disks[trouble.victim]

    async def work() -> None:
        disk.start("stalls")
        try:
            async with timeout(MAX_STALLED_ANSWER_SECONDS):
                answer = await log.propose(b"stalled")
        finally:
            disk.recover()
        assert not is_successful(answer), answer

    run(context, work())


@when("each write on every disk takes {seconds:g} s while {number:d} more commands commit")
def step_all_slow(context: Context, seconds: float, number: int) -> None:
    for disk in context.trouble.network.disks.values():
        disk.write_seconds = seconds
        disk.start("is slow")
    run(context, context.trouble.commit(number))
    for disk in context.trouble.network.disks.values():
        disk.recover()


@when("the leader's disk stalls in a proposal, and a voter reports a newer term at once")
def step_lose_term_in_stall(context: Context) -> None:
    trouble = context.trouble

    async def work() -> None:
        network = trouble.network
        trouble.victim = await trouble.find("the leader")
        log, disk = network.logs[trouble.victim], network.disks[trouble.victim]
        peer = next(name for name in FIRST_VOTERS if name != trouble.victim)
        disk.start("stalls")
        proposal = create_task(log.propose(b"stalled"))
        try:
            # One turn of the loop adds the proposal, the next one starts its write.
            await sleep(0)
            await sleep(0)
            log.step(VoteReply("log", peer, Term(log.term + 1), False, False))
            assert not log.is_leader
            async with timeout(MAX_STALLED_ANSWER_SECONDS):
                context.answer = await proposal
        finally:
            disk.recover()

    run(context, work())


@then("the proposal is refused before the stall ends")
def step_refused_in_stall(context: Context) -> None:
    assert not is_successful(context.answer), context.answer
