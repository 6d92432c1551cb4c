"""The control role of a process: its voters, its state machines and the calls that it answers."""

import logging
from asyncio import create_task
from functools import partial
from pathlib import Path
from typing import Any
from uuid import uuid4

import msgspec
from returns.pipeline import is_successful
from tornado.ioloop import PeriodicCallback

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, monotonic
from jaylatch_core.compression import compress_large, expand
from jaylatch_core.configuration import parse_configuration
from jaylatch_core.control_peers import ControlPeer, address_of
from jaylatch_core.exceptions import (
    JaylatchError,
    NotLeader,
    Unavailable,
)
from jaylatch_core.ids import CommandId, InstanceId
from jaylatch_core.messages.administration import ReadHistory, ReadStatus
from jaylatch_core.messages.consensus import ConsensusBatch
from jaylatch_core.messages.control import (
    ApplyConfiguration,
    ControlCommand,
    DrainGeneration,
    JoinControl,
    LeaveControl,
    PreparePreset,
    ReadDrainGeneration,
    SetDrain,
    VotersAnnounced,
)
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.journal import JournalCommand, OrderVerdict
from jaylatch_core.messages.membership import RenewLease
from jaylatch_core.messages.targets import (
    PublishDeployment,
    ReadDeployment,
    SuspectTarget,
    TargetAcknowledged,
    TargetCheckIn,
    TargetDeparture,
    TargetMessages,
)
from jaylatch_core.settings import NodeSettings
from jaylatch_decisions.consensus import RaftTiming
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.control.state import ControlResult
from jaylatch_decisions.journal import JournalState, RetentionTimes, shard_of
from jaylatch_decisions.places import LimitTable, PlaceTable
from jaylatch_decisions.targets import TargetRegistry
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.consensus import ConsensusOutbox, ReplicatedLog, StateMachine
from jaylatch_node.control.announcements import VoterAnnouncer
from jaylatch_node.control.client import CONTROL_LOG, ControlClient, journal_log
from jaylatch_node.control.cold_targets import ColdReport, KnownWarm
from jaylatch_node.control.disk_watch import DiskWatch
from jaylatch_node.control.leader import NOT_CURRENT, LeaderController
from jaylatch_node.control.places import PlaceController
from jaylatch_node.control.referrals import Referrals
from jaylatch_node.control.replies import discard, flatten, reply_with
from jaylatch_node.control.target_reports import TargetReports
from jaylatch_node.control.targets import TargetController
from jaylatch_node.control.voters import VoterController
from jaylatch_node.role import NodeRole
from jaylatch_node.storage import DiskWorker
from jaylatch_node.streams import PeerPool, StreamConnection
from jaylatch_node.targets.orders import EngineOrderClient

_log = logging.getLogger("jaylatch.control")

LEADER_TICK = 0.1
"""Seconds between two rounds of the leader's duties."""
ANNOUNCEMENT_INTERVAL = 1.0
"""Seconds between two announcements of the voters."""
TICKS_PER_HEARTBEAT = 2

_encoder = msgspec.msgpack.Encoder()
_control_decoder: msgspec.msgpack.Decoder[ControlCommand] = msgspec.msgpack.Decoder(ControlCommand)
_journal_decoder: msgspec.msgpack.Decoder[JournalCommand] = msgspec.msgpack.Decoder(JournalCommand)


class ControlRole(NodeRole):
    """A voter of the control log and of every journal shard."""

    def __init__(
        self,
        settings: NodeSettings,
        board: Blackboard,
        peers: PeerPool,
        client: ControlClient,
        engines: EngineOrderClient | None = None,
    ) -> None:
        self._client = client
        self._engines = engines
        self._registry = TargetRegistry(settings.control.target_silence, monotonic())
        self._settings = settings
        self._board = board
        self._peers = peers
        self._limits = LimitTable(settings.cold)
        # What it knows as an owner, leader or not.
        self._known_warm = KnownWarm(self._registry, monotonic())
        self._places = PlaceController(
            peers,
            board.metrics,
            PlaceTable(request_limits=self._limits),
            self._update_cold_limits,
        )
        self._cold_report = ColdReport(board.metrics, self._limits.cold)
        self._addresses = {peer.instance: peer.address for peer in settings.control.peers}
        self._leader: LeaderController | None = None
        self._referrals = Referrals(board.identity.instance, client)
        self._announcer = VoterAnnouncer(
            board.identity.instance, settings.control.peers, peers, self._voting_peers
        )
        period = ANNOUNCEMENT_INTERVAL * MILLISECONDS_PER_SECOND
        self._announcement_timer = PeriodicCallback(self._announce_voters, period)
        self._state = ControlState()
        self._reports = TargetReports(
            board.identity.instance,
            self._registry,
            peers,
            self._voting_peers,
            lambda: self._state.deployment.service_names,
            self._propose_control,
        )
        control = settings.control
        shards = control.journal_shards if control.keeps_journal else 0
        self._retention = RetentionTimes(control.answer_retention, control.key_retention)
        self._journals = [JournalState(self._retention) for _ in range(shards)]
        self._outbox = ConsensusOutbox(self._send)
        self._disk_worker = DiskWorker()
        self._control: ReplicatedLog[ControlResult] = self._open_log(
            CONTROL_LOG, StateMachine(self._apply_control, self._dump_control, self._load_control)
        )
        self._shards: list[ReplicatedLog[OrderVerdict]] = [
            self._open_log(journal_log(number), self._journal_machine(number))
            for number in range(len(self._journals))
        ]
        self._logs: dict[str, ReplicatedLog[Any]] = {self._control.name: self._control}
        self._logs.update((shard.name, shard) for shard in self._shards)
        self._voters = VoterController(
            board.identity.instance,
            self._logs,
            client,
            control.voter_count or len(control.voters or control.peers),
            self._lacks_vote,
            self._announcer.knows_others,
        )
        self._disk_watch = DiskWatch(board, self._logs.values())
        self._timer = PeriodicCallback(self._tick, LEADER_TICK * MILLISECONDS_PER_SECOND)
        # One timer for all logs: messages due at the same time are sent to each peer in one frame.
        period = settings.control.heartbeat_interval * MILLISECONDS_PER_SECOND
        self._consensus_timer = PeriodicCallback(self._tick_logs, period / TICKS_PER_HEARTBEAT)

    def start(self) -> None:
        """Take part in elections, and perform the leader's duties when elected."""
        self._disk_watch.report()
        self._consensus_timer.start()
        self._timer.start()
        self._voters.start()
        self._announcement_timer.start()

    async def drain(self) -> None:
        """Hand on the votes and the leadership of this instance."""
        await self._voters.leave()

    def stop(self) -> None:
        """Stop all logs."""
        self._timer.stop()
        self._voters.stop()
        self._announcement_timer.stop()
        self._consensus_timer.stop()
        self._places.stop()
        for log in self._logs.values():
            log.stop()
        self._disk_worker.stop(0.0)

    def handle_consensus(self, batch: ConsensusBatch) -> None:
        """Pass a voter's messages to their logs; drop messages for unknown logs."""
        for message in batch.messages:
            log = self._logs.get(message.log)
            if log is not None:
                log.step(message)

    def handle_call(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Answer a call of the control role; returns False if the body is not one."""
        match body:
            case RenewLease():
                connection.reply(call, self._renew(body, connection))
            case JoinControl():
                connection.reply(call, self._voters.record_request(monotonic(), body))
            case LeaveControl():
                create_task(reply_with(connection, call, self._voters.release(body)))
            case ReadStatus():
                connection.reply(call, self._status())
            case ReadHistory():
                connection.reply(call, self._history())
            case TargetCheckIn() | TargetDeparture():
                self._handle_target_message(connection, call, body)
            case TargetMessages():
                self._reports.record_forwarded(monotonic(), body)
            case SuspectTarget():
                connection.reply(call, self._suspect(body))
            case ReadDeployment():
                connection.reply(call, self._deployment())
            case ReadDrainGeneration():
                connection.reply(call, self._drain_generation())
            case SetDrain():
                create_task(reply_with(connection, call, self._set_drain(body)))
            case ApplyConfiguration() | PreparePreset() | PublishDeployment():
                create_task(reply_with(connection, call, self._propose_control(body)))
            case VotersAnnounced():
                self._note_voters(body)
            case _ if isinstance(body, JournalCommand):
                create_task(reply_with(connection, call, self._propose_journal(body)))
            case _:
                return self._places.handle(connection, call, body)
        return True

    def _open_log(self, name: str, machine: StateMachine[Any]) -> ReplicatedLog[Any]:
        control = self._settings.control
        return ReplicatedLog(
            name,
            self._board.identity.instance,
            control.voters or tuple(peer.instance for peer in control.peers),
            RaftTiming(
                control.heartbeat_interval, control.election_timeout, self._settings.lease.drift
            ),
            Path(control.data_folder) / name,
            machine,
            self._outbox.send,
            worker=self._disk_worker,
            first_start=control.first_start,
        )

    def _journal_machine(self, number: int) -> StateMachine[OrderVerdict]:
        return StateMachine(
            partial(self._apply_journal, number),
            partial(self._dump_journal, number),
            partial(self._load_journal, number),
        )

    def _tick_logs(self) -> None:
        now = monotonic()
        for log in self._logs.values():
            log.tick(now)

    def _send(self, peer: InstanceId, batch: ConsensusBatch) -> None:
        address = self._address(peer)
        if address is not None:
            self._peers.get(address).send(batch)

    def _address(self, instance: InstanceId) -> str | None:
        return address_of(instance, self._addresses)

    def _voting_peers(self) -> tuple[ControlPeer, ...]:
        peers = ((voter, self._address(voter)) for voter in self._control.voters)
        return tuple(ControlPeer(voter, address) for voter, address in peers if address)

    def _apply_control(self, command: bytes) -> ControlResult:
        decoded = _control_decoder.decode(expand(command))
        if isinstance(decoded, TargetDeparture):
            self._registry.depart(monotonic(), decoded)
        return self._state.apply(decoded)

    def _dump_control(self) -> bytes:
        return self._state.dump()

    def _load_control(self, data: bytes) -> None:
        self._state = ControlState.load(data)
        for departure in self._state.departures.values():
            self._registry.depart(monotonic(), departure)
        self._leader = None

    def _apply_journal(self, number: int, command: bytes) -> OrderVerdict:
        return self._journals[number].apply(_journal_decoder.decode(command))

    def _dump_journal(self, number: int) -> bytes:
        return self._journals[number].dump()

    def _load_journal(self, number: int, data: bytes) -> None:
        self._journals[number] = JournalState.load(data, self._retention)

    async def _propose_control(self, command: ControlCommand) -> Body:
        committed = await self._control.propose(compress_large(_encoder.encode(command)))
        return flatten(committed.value_or(committed))

    def _drain_generation(self) -> Body:
        leader = self._current_leader(monotonic())
        if isinstance(leader, LeaderController):
            return DrainGeneration(self._state.drain_generation)
        return leader

    async def _set_drain(self, command: SetDrain) -> Body:
        now = monotonic()
        leader = self._current_leader(now)
        if not isinstance(leader, LeaderController):
            return leader
        refusal = leader.check_drain(now, command, self._settings.control.failure_domains)
        return refusal or await self._propose_control(command)

    async def _propose_journal(self, command: JournalCommand) -> Body:
        shard = self._shards[shard_of(command.order, len(self._shards))]
        return flatten(await shard.propose(_encoder.encode(command)))

    def _renew(self, renewal: RenewLease, connection: StreamConnection) -> Body:
        now = monotonic()
        leader = self._current_leader(now)
        if isinstance(leader, LeaderController):
            self._announcer.record(now, renewal)
            return leader.renew(now, renewal, connection)
        return leader

    def _update_cold_limits(self, now: float) -> None:
        """Tell the limits of cold targets whether this instance leads, and what is warm."""
        is_leading = isinstance(self._current_leader(now), LeaderController)
        warm = self._known_warm.instances(now, self._state.deployment)
        self._limits.cold.set_state(is_leading, warm)

    def _status(self) -> Body:
        now = monotonic()
        leader = self._current_leader(now)
        return leader.status(now) if isinstance(leader, LeaderController) else leader

    def _history(self) -> Body:
        leader = self._current_leader(monotonic())
        return leader.history() if isinstance(leader, LeaderController) else leader

    def _handle_target_message(
        self, connection: StreamConnection, call: int, body: TargetCheckIn | TargetDeparture
    ) -> None:
        """Record and acknowledge a target's message, as the leader."""
        now = monotonic()
        leader = self._current_leader(now)
        if not isinstance(leader, LeaderController):
            connection.reply(call, leader)
            return
        match body:
            case TargetCheckIn():
                connection.reply(call, self._reports.receive_heartbeat(now, body, leader))
            case TargetDeparture():
                answer = self._reports.receive_departure(now, body, leader)
                create_task(reply_with(connection, call, answer))

    def _suspect(self, body: SuspectTarget) -> Body:
        now = monotonic()
        leader = self._current_leader(now)
        if not isinstance(leader, LeaderController):
            return leader
        leader.suspect(now, body)
        return TargetAcknowledged(body.instance)

    def _deployment(self) -> Body:
        leader = self._current_leader(monotonic())
        return leader.deployment() if isinstance(leader, LeaderController) else leader

    def _current_leader(self, now: float) -> LeaderController | NotLeader | Unavailable:
        if not self._control.is_leader:
            known = self._control.leader or self._referrals.choose()
            return NotLeader("ask the leader of the control log", known)
        if self._leader is None or not self._control.can_read(now):
            return NOT_CURRENT
        return self._leader

    def _announce_voters(self) -> None:
        if self._has_vote(self._control):
            self._announcer.announce(is_leader=self._control.is_leader)

    def _note_voters(self, message: VotersAnnounced) -> None:
        self._referrals.note_voters(message.voters)
        if not self._control.is_leader:
            self._announcer.adopt(monotonic(), message)

    def _lacks_vote(self, log: ReplicatedLog[Any]) -> bool:
        # A voter of a journal that was replaced while it was away hears from no leader.
        return not self._has_vote(log) or (log is not self._control and not log.leader)

    def _has_vote(self, log: ReplicatedLog[Any]) -> bool:
        # A voter that was replaced while it was away does not find that in its own log.
        if log is self._control and not log.leader and self._referrals.is_replaced:
            return False
        return self._board.identity.instance in log.voters and not log.is_recovering

    def _tick(self) -> None:
        now = monotonic()
        self._disk_watch.report()
        self._voters.tick(now)
        if not self._control.is_leader:
            self._leader = None
            self._cold_report.clear()
            self._reports.drop_unforwarded()
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
                self._create_target_controller(now),
                self._voting_peers,
                self._settings.control.evacuation_bound,
                self._settings.control.apply_bound,
            )
            self._apply_initial_configuration()
            self._limits.cold.begin_term(now, self._control.term)
        self._leader.tick(now)
        self._cold_report.update(now, self._leader.cold_targets(now))
        self._reports.forward_heartbeats()

    def _create_target_controller(self, now: float) -> TargetController | None:
        if self._engines is None:
            return None
        self._registry.begin_leading(now)
        return TargetController(
            self._registry,
            self._control.term,
            self._engines.send,
            self._engines.probe,
            bool(self._state.groups),
            now,
            self._state.quarantined_parts,
        )

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
        create_task(discard(self._propose_control(command)))
