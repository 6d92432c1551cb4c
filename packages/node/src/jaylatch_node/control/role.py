"""The control role of a process: its voters, its state machines, and the calls they answer."""

from asyncio import create_task
from collections.abc import Awaitable
from functools import partial
from pathlib import Path
from typing import Any
from uuid import uuid4

import msgspec
from returns.pipeline import is_successful
from returns.result import Result
from tornado.ioloop import PeriodicCallback

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, monotonic
from jaylatch_core.configuration import parse_configuration
from jaylatch_core.exceptions import JaylatchError, NotLeader, StorageFailed, Unavailable
from jaylatch_core.ids import CommandId, InstanceId
from jaylatch_core.messages.administration import ReadStatus
from jaylatch_core.messages.consensus import ConsensusMessage
from jaylatch_core.messages.control import (
    ApplyConfiguration,
    ControlCommand,
    PreparePreset,
    SetDrain,
)
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.journal import JournalCommand, OrderVerdict
from jaylatch_core.messages.membership import RenewLease
from jaylatch_core.settings import NodeSettings
from jaylatch_decisions.consensus import RaftTiming
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.control.state import ControlResult
from jaylatch_decisions.journal import JournalState, RetentionTimes, shard_of
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.consensus import ReplicatedLog
from jaylatch_node.control.client import CONTROL_LOG, journal_log
from jaylatch_node.control.leader import NOT_CURRENT, LeaderController
from jaylatch_node.streams import PeerPool, StreamConnection

LEADER_TICK = 0.1

_encoder = msgspec.msgpack.Encoder()
_control_decoder: msgspec.msgpack.Decoder[ControlCommand] = msgspec.msgpack.Decoder(ControlCommand)
_journal_decoder: msgspec.msgpack.Decoder[JournalCommand] = msgspec.msgpack.Decoder(JournalCommand)


class ControlRole:
    """A voter of the control log and of every journal shard."""

    def __init__(self, settings: NodeSettings, board: Blackboard, peers: PeerPool) -> None:
        self._settings = settings
        self._board = board
        self._peers = peers
        self._addresses = {peer.instance: peer.address for peer in settings.control.peers}
        self._state = ControlState()
        times = RetentionTimes(settings.control.answer_retention, settings.control.key_retention)
        self._journals = [JournalState(times) for _ in range(settings.control.journal_shards)]
        self._control: ReplicatedLog[ControlResult] = self._open(CONTROL_LOG, self._apply_control)
        self._shards: list[ReplicatedLog[OrderVerdict]] = [
            self._open(journal_log(number), partial(self._apply_journal, journal))
            for number, journal in enumerate(self._journals)
        ]
        self._logs: dict[str, ReplicatedLog[Any]] = {self._control.name: self._control}
        self._logs.update((shard.name, shard) for shard in self._shards)
        self._leader: LeaderController | None = None
        self._timer = PeriodicCallback(self._tick, LEADER_TICK * MILLISECONDS_PER_SECOND)

    def start(self) -> None:
        """Join the elections and begin the leader's duties when elected."""
        for log in self._logs.values():
            log.start()
        self._timer.start()

    def stop(self) -> None:
        """Stop all logs."""
        self._timer.stop()
        for log in self._logs.values():
            log.stop()

    def handle_consensus(self, message: ConsensusMessage) -> None:
        """Give a voter's message to its log; messages of unknown logs are dropped."""
        log = self._logs.get(message.log)
        if log is not None:
            log.step(message)

    def handle_call(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Answer a call of the control role; returns False if the body is not one."""
        match body:
            case RenewLease():
                connection.reply(call, self._renew(body, connection))
            case ReadStatus():
                connection.reply(call, self._status())
            case ApplyConfiguration() | PreparePreset() | SetDrain():
                create_task(_answer(connection, call, self._propose_control(body)))
            case _ if isinstance(body, JournalCommand):
                create_task(_answer(connection, call, self._propose_journal(body)))
            case _:
                return False
        return True

    def _open(self, name: str, apply: Any) -> ReplicatedLog[Any]:
        control = self._settings.control
        return ReplicatedLog(
            name,
            self._board.identity.instance,
            tuple(peer.instance for peer in control.peers),
            RaftTiming(
                control.heartbeat_interval, control.election_timeout, self._settings.lease.drift
            ),
            Path(control.data_folder) / f"{name}.log",
            apply,
            self._send,
        )

    def _send(self, peer: InstanceId, message: ConsensusMessage) -> None:
        self._peers.get(self._addresses[peer]).send(message)

    def _apply_control(self, command: bytes) -> ControlResult:
        return self._state.apply(_control_decoder.decode(command))

    def _apply_journal(self, journal: JournalState, command: bytes) -> OrderVerdict:
        return journal.apply(_journal_decoder.decode(command))

    async def _propose_control(self, command: ControlCommand) -> Body:
        committed = await self._control.propose(_encoder.encode(command))
        return _flatten(committed.value_or(committed))

    async def _propose_journal(self, command: JournalCommand) -> Body:
        shard = self._shards[shard_of(command.order, len(self._shards))]
        return _flatten(await shard.propose(_encoder.encode(command)))

    def _renew(self, renewal: RenewLease, connection: StreamConnection) -> Body:
        now = monotonic()
        leader = self._current_leader(now)
        if isinstance(leader, LeaderController):
            return leader.renew(now, renewal, connection)
        return leader

    def _status(self) -> Body:
        now = monotonic()
        leader = self._current_leader(now)
        return leader.status(now) if isinstance(leader, LeaderController) else leader

    def _current_leader(self, now: float) -> LeaderController | NotLeader | Unavailable:
        if not self._control.is_leader:
            return NotLeader("ask the leader of the control log", self._control.leader)
        if self._leader is None or not self._control.can_read(now):
            return NOT_CURRENT
        return self._leader

    def _tick(self) -> None:
        now = monotonic()
        if not self._control.is_leader:
            self._leader = None
            return
        if not self._control.can_read(now):
            return
        if self._leader is None or self._leader.term != self._control.term:
            self._leader = LeaderController(
                self._board,
                self._state,
                self._settings.lease,
                self._control.term,
                self._propose_control,
                now,
            )
            self._apply_initial_configuration()
        self._leader.tick(now)

    def _apply_initial_configuration(self) -> None:
        path = self._settings.control.initial_configuration
        if not path or self._state.generation:
            return
        parsed = parse_configuration(Path(path).read_bytes())
        if not is_successful(parsed):
            raise JaylatchError(parsed.failure())
        command = ApplyConfiguration(
            CommandId(f"initial-{uuid4().hex}"), self._state.generation, parsed.unwrap()
        )
        create_task(_discard(self._propose_control(command)))


async def _answer(connection: StreamConnection, call: int, answer: Awaitable[Body]) -> None:
    connection.reply(call, await answer)


async def _discard(answer: Awaitable[Body]) -> None:
    await answer


def _flatten(result: Result[Any, NotLeader | Unavailable | StorageFailed | Any]) -> Body:
    body: Body = result.unwrap() if is_successful(result) else result.failure()
    return body
