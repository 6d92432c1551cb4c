"""The entry's connections to agents, and the attempts that run over them."""

from functools import partial

from tornado.ioloop import PeriodicCallback

from jaylatch_core.clock import MILLISECONDS_PER_SECOND, monotonic
from jaylatch_core.enums import Outcome
from jaylatch_core.ids import AttemptId, InstanceId
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import View
from jaylatch_core.messages.requests import (
    AttemptChunk,
    AttemptEnd,
    AttemptRefused,
    AttemptStarted,
    CancelAttempt,
    StartAttempt,
    TargetReport,
)
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.entry.open_attempt import OpenAttempt
from jaylatch_node.streams import Peer, PeerPool, StreamConnection

REPORT_TIMEOUT = 1.0
WATCH_INTERVAL = 0.2


class AgentLinks:
    """Keeps a connection to each agent in the view and gives each frame to its attempt."""

    def __init__(self, board: Blackboard, peers: PeerPool) -> None:
        self._board = board
        self._peers = peers
        self._addresses: dict[InstanceId, str] = {}
        self._instances: dict[str, InstanceId] = {}
        self._attempts: dict[AttemptId, OpenAttempt] = {}
        self._watcher = PeriodicCallback(self._watch, WATCH_INTERVAL * MILLISECONDS_PER_SECOND)

    def start(self) -> None:
        """Begin to watch for agents that have fallen silent."""
        self._watcher.start()

    def stop(self) -> None:
        """Stop watching."""
        self._watcher.stop()

    def follow_view(self, view: View) -> None:
        """Connect to the agents of a new view."""
        for group in view.groups:
            self._connect(group.head, group.address)
        for service in view.services:
            self._connect(service.instance, service.address)

    def open(self, instance: InstanceId, start: StartAttempt) -> OpenAttempt:
        """Send the start of an attempt; the result may already be a refusal."""
        attempt = OpenAttempt(instance, start)
        self._attempts[start.attempt] = attempt
        target = self._board.target(instance)
        target.own_in_flight += 1
        if target.reserved_until:
            target.reserved_until.pop(0)
        if self._peers.get(self._addresses[instance]).send(start):
            attempt.mark_sent()
        else:
            attempt.fail("agent_unreachable", Outcome.NOT_RUN, "the agent is not connected")
        return attempt

    def open_resumed(self, instance: InstanceId, start: StartAttempt) -> OpenAttempt:
        """Take over an attempt that another entry or connection has started."""
        attempt = OpenAttempt(instance, start)
        attempt.mark_sent()
        self._attempts[start.attempt] = attempt
        self._board.target(instance).own_in_flight += 1
        self._ask_again(attempt)
        return attempt

    def close(self, attempt: OpenAttempt) -> None:
        """Forget an attempt; one that still runs is cancelled."""
        self._attempts.pop(attempt.start.attempt, None)
        self._board.target(attempt.instance).own_in_flight -= 1
        if not attempt.is_done:
            self.cancel(attempt)

    def cancel(self, attempt: OpenAttempt) -> None:
        """Ask the agent to end an attempt; its verdict arrives as the attempt's last item."""
        start = attempt.start
        peer = self._peers.get(self._addresses[attempt.instance])
        peer.send(CancelAttempt(start.attempt, start.clock))

    def peer(self, instance: InstanceId) -> Peer | None:
        """Return the peer of a known agent, or None."""
        address = self._addresses.get(instance)
        return self._peers.get(address) if address is not None else None

    def handle(self, connection: StreamConnection, body: Body) -> bool:
        """Handle an agent's message; returns False if the body is not one."""
        match body:
            case AttemptStarted(attempt):
                self._record_start(attempt, body)
            case AttemptChunk(attempt):
                self._route_chunk(attempt, body)
            case AttemptEnd(attempt):
                self._route_end(attempt, body)
            case AttemptRefused(attempt):
                if attempt in self._attempts:
                    self._attempts[attempt].accept_refusal(body)
            case _:
                return False
        return True

    def record_report(self, instance: InstanceId, report: TargetReport) -> None:
        """Take an agent's report; a new incarnation ends the attempts of the old one."""
        target = self._board.target(instance)
        target.take_report(monotonic(), report)
        for attempt in list(self._attempts.values()):
            if attempt.instance != instance or attempt.is_done:
                continue
            if attempt.start.incarnation != report.incarnation:
                attempt.fail("agent_restarted", Outcome.UNKNOWN, "the agent has restarted")

    def _connect(self, instance: InstanceId, address: str) -> None:
        if self._addresses.get(instance) == address:
            return
        self._addresses[instance] = address
        self._instances[address] = instance
        self._peers.get(address).on_connect(partial(self._resume_all, instance))

    def instance_at(self, address: str) -> InstanceId | None:
        """Return the instance whose agent listens at ``address``, or None."""
        return self._instances.get(address)

    def _resume_all(self, instance: InstanceId, peer: Peer) -> None:
        for attempt in self._attempts.values():
            if attempt.instance == instance and attempt.is_sent and not attempt.is_done:
                peer.send(attempt.resume_message())

    def _record_start(self, name: AttemptId, started: AttemptStarted) -> None:
        attempt = self._attempts.get(name)
        if attempt is not None:
            self._board.target(attempt.instance).take_start(started)

    def _route_chunk(self, name: AttemptId, chunk: AttemptChunk) -> None:
        attempt = self._attempts.get(name)
        if attempt is not None and not attempt.accept_chunk(chunk):
            self._ask_again(attempt)

    def _route_end(self, name: AttemptId, end: AttemptEnd) -> None:
        attempt = self._attempts.get(name)
        if attempt is not None and not attempt.accept_end(end):
            self._ask_again(attempt)

    def _ask_again(self, attempt: OpenAttempt) -> None:
        self._peers.get(self._addresses[attempt.instance]).send(attempt.resume_message())

    def _watch(self) -> None:
        oldest = monotonic() - REPORT_TIMEOUT
        for attempt in list(self._attempts.values()):
            is_silent = self._board.target(attempt.instance).received_at < oldest
            if is_silent and not attempt.is_done:
                attempt.fail("agent_unreachable", Outcome.UNKNOWN, "the agent has fallen silent")
