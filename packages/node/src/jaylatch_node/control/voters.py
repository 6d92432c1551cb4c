"""Votes of the control instances: the requests of this one, and as a leader the set of voters."""

import logging
from asyncio import Task, create_task, gather, sleep, timeout
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

from returns.pipeline import is_successful
from tornado.ioloop import PeriodicCallback

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, monotonic
from jaylatch_core.exceptions import NotLeader
from jaylatch_core.ids import InstanceId, Term
from jaylatch_core.log_records import LeaderChanged, VoteHandedOn, VotersChanged
from jaylatch_core.messages.control import (
    CommandAccepted,
    JoinControl,
    LeaveAnswered,
    LeaveControl,
)
from jaylatch_core.messages.frames import Body
from jaylatch_decisions.consensus.membership import (
    REQUEST_WAIT,
    VOTER_LOSS_TIMEOUT,
    AddVoter,
    VoterChange,
    VoterRoster,
    VoterSet,
)
from jaylatch_node.consensus import ReplicatedLog, change_voters
from jaylatch_node.control.client import ControlClient
from jaylatch_node.observability import log_record

_log = logging.getLogger("jaylatch.control")

JOIN_INTERVAL = 1.0
"""Seconds between two requests to be admitted as a voter, and before the first one: at a first
start the voters elect a leader sooner than that."""
JOIN_TIMEOUT = 5.0
"""Seconds to wait for the answer to a request for admission."""
CATCH_UP_TIMEOUT = 1.5
"""Seconds within which a joining instance must catch up before another one is tried."""
LEAVE_TIMEOUT = 4.0
"""Seconds for which the end of this process waits until its votes and leadership are handed on."""
ELECTION_TIMEOUT = 1.5
"""Seconds of these for the election of another leader."""
POLL_INTERVAL = 0.02
"""Seconds between two checks whether a vote, or leadership, has been handed on."""


class VoterController:
    """Requests votes for this instance, and changes the voters of the logs that it leads.

    ``may_have_successors`` returns whether control instances without a vote are known, which may
    not have asked a new leader for admission yet. ``lacks_vote`` returns whether this instance
    should ask for a vote in a log.
    """

    def __init__(
        self,
        instance: InstanceId,
        logs: Mapping[str, ReplicatedLog[Any]],
        client: ControlClient,
        wanted: int,
        lacks_vote: Callable[[ReplicatedLog[Any]], bool],
        may_have_successors: Callable[[], bool],
    ) -> None:
        self._instance = instance
        self._logs = logs
        self._client = client
        self._wanted = wanted
        self._lacks_vote = lacks_vote
        self._may_have_successors = may_have_successors
        self._rosters: dict[str, VoterRoster] = {}
        self._leading_since: dict[str, tuple[Term, float]] = {}
        self._reported: dict[str, LeaderChanged] = {}
        self._changing: set[str] = set()
        self._requests: dict[str, Task[None]] = {}
        self._join_timer = PeriodicCallback(self._join, JOIN_INTERVAL * MILLISECONDS_PER_SECOND)

    def start(self) -> None:
        """Ask for the votes that this instance lacks."""
        self._join_timer.start()

    def stop(self) -> None:
        """Ask for no more votes."""
        self._join_timer.stop()
        for request in self._requests.values():
            request.cancel()

    def tick(self, now: float) -> None:
        """Start the next change of the voters of each log that this instance leads."""
        for log in self._logs.values():
            self._report_leader(log)
            if not log.is_leader:
                self._rosters.pop(log.name, None)
                self._leading_since.pop(log.name, None)
            elif log.can_read(now):
                self._note_term(now, log)
                self._change_if_due(now, log)

    def record_request(self, now: float, body: JoinControl) -> Body:
        """Record that an instance asks for a vote, as the leader of its log."""
        log = self._logs.get(body.log)
        if log is None or not log.is_leader:
            return _refer_to_leader(log)
        if body.instance not in log.voters:
            self._roster(log).record_request(
                now, body.instance, body.disk, is_successor=body.is_successor
            )
        else:
            self._roster(log).drop_leave(body.instance)
        return CommandAccepted(len(log.voters))

    async def release(self, body: LeaveControl) -> Body:
        """Hand on the vote of an instance that is about to end, as the leader of its log."""
        log = self._logs.get(body.log)
        if log is None or not log.is_leader:
            return _refer_to_leader(log)
        started_at = monotonic()
        self._roster(log).record_leave(started_at, body.instance)
        while body.log in self._changing or body.instance in log.voters:
            now = monotonic()
            if not log.is_leader:
                return _refer_to_leader(log)
            if log.can_read(now) and body.log not in self._changing:
                self._note_term(now, log)
                if now > started_at + LEAVE_TIMEOUT or not self._can_hand_on(now, log):
                    self._roster(log).drop_leave(body.instance)
                    return LeaveAnswered(keeps_vote=True)
                self._change_if_due(now, log)
            await sleep(POLL_INTERVAL)
        return LeaveAnswered(keeps_vote=False)

    async def leave(self) -> None:
        """Hand on the votes and the leadership of this instance before it ends."""
        self.stop()
        with suppress(TimeoutError):
            async with timeout(LEAVE_TIMEOUT):
                await gather(*(self._leave(log) for log in self._logs.values()))

    async def _leave(self, log: ReplicatedLog[Any]) -> None:
        body = LeaveControl(log.name, self._instance)
        answer: Body | None = None
        if not await _wait_until(lambda: bool(log.leader), ELECTION_TIMEOUT):
            return
        if log.is_leader:
            answer = await self.release(body)
        if not isinstance(answer, LeaveAnswered):
            answer = (await self._client.call(log.name, body, LEAVE_TIMEOUT)).value_or(None)
        if isinstance(answer, LeaveAnswered):
            log_record(_log, VoteHandedOn(log=log.name, keeps_vote=answer.keeps_vote))
        if log.is_leader:
            await self._hand_on_leadership(log)

    async def _hand_on_leadership(self, log: ReplicatedLog[Any]) -> None:
        others = set(log.voters) - {self._instance}
        if not others:
            # Other roles of this process may still need it.
            return
        log.hand_on_leadership(monotonic())
        # The message must leave before the streams are closed.
        await sleep(POLL_INTERVAL)
        if self._instance in log.voters:
            await _wait_until(lambda: log.leader in others, ELECTION_TIMEOUT)

    def _join(self) -> None:
        for log in self._logs.values():
            if self._lacks_vote(log) and log.name not in self._requests:
                self._requests[log.name] = create_task(self._request_admission(log))

    async def _request_admission(self, log: ReplicatedLog[Any]) -> None:
        disk = log.disk_of(self._instance)
        body = JoinControl(log.name, self._instance, disk, not log.is_spare)
        try:
            await self._client.call(log.name, body, JOIN_TIMEOUT)
        finally:
            del self._requests[log.name]

    def _report_leader(self, log: ReplicatedLog[Any]) -> None:
        record = LeaderChanged(log=log.name, leader=log.leader, term=log.term)
        if record != self._reported.get(log.name):
            self._reported[log.name] = record
            log_record(_log, record)

    def _roster(self, log: ReplicatedLog[Any]) -> VoterRoster:
        return self._rosters.setdefault(log.name, VoterRoster())

    def _note_term(self, now: float, log: ReplicatedLog[Any]) -> None:
        term, _ = self._leading_since.get(log.name, (None, now))
        if term != log.term:
            self._leading_since[log.name] = (log.term, now)

    def _can_hand_on(self, now: float, log: ReplicatedLog[Any]) -> bool:
        """Return whether an instance waits for the vote, or may not have asked for it yet."""
        _, since = self._leading_since[log.name]
        if self._may_have_successors() and now < since + REQUEST_WAIT:
            return True
        return self._roster(log).can_hand_on(now, self._voter_set(now, log))

    def _voter_set(self, now: float, log: ReplicatedLog[Any]) -> VoterSet:
        return VoterSet(
            log.voters,
            self._instance,
            self._wanted,
            tuple(log.unresponsive_voters(now, VOTER_LOSS_TIMEOUT)),
            {voter: log.disk_of(voter) for voter in log.voters},
        )

    def _change_if_due(self, now: float, log: ReplicatedLog[Any]) -> None:
        if log.name in self._changing:
            return
        voter_set = self._voter_set(now, log)
        change = self._roster(log).plan(now, voter_set)
        if change is not None:
            self._changing.add(log.name)
            create_task(self._change(log, change, voter_set.after(change)))

    async def _change(
        self, log: ReplicatedLog[Any], change: VoterChange, voters: tuple[InstanceId, ...]
    ) -> None:
        try:
            changed = await change_voters(log, voters, CATCH_UP_TIMEOUT)
        finally:
            self._changing.discard(log.name)
        log_record(_log, VotersChanged(log=log.name, voters=voters, outcome=repr(changed)))
        if isinstance(change, AddVoter) and not is_successful(changed):
            self._roster(log).drop_request(change.instance)


async def _wait_until(condition: Callable[[], bool], limit: float) -> bool:
    """Wait until the condition holds, at most ``limit`` seconds; return whether it holds."""
    deadline = monotonic() + limit
    while not condition() and monotonic() < deadline:
        await sleep(POLL_INTERVAL)
    return condition()


def _refer_to_leader(log: ReplicatedLog[Any] | None) -> NotLeader:
    return NotLeader("ask the leader of the log", InstanceId("") if log is None else log.leader)
