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
    AttemptCredit,
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
ACKNOWLEDGE_TIMEOUT = 1.0
RESET_INTERVAL = 1.0
WATCH_INTERVAL = 0.2


class AgentLinks:
    """Keeps a connection to each agent in the view and gives each frame to its attempt."""

    def __init__(self, board: Blackboard, peers: PeerPool) -> None:
        self._board = board
        self._peers = peers
        self._addresses: dict[InstanceId, str] = {}
        self._instances: dict[str, InstanceId] = {}
        self._attempts: dict[AttemptId, list[OpenAttempt]] = {}
        self._dropped = board.metrics.counter(
            "frames_dropped", "Frames of attempts that were late, crossed or doubled."
        )
        self._resumes = board.metrics.counter(
            "attempts_resumed", "Attempts whose missing chunks were asked for again."
        )
        self._resets = board.metrics.counter(
            "agent_connections_reset", "Connections to agents closed because nothing passed."
        )
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

    def open(
        self, instance: InstanceId, start: StartAttempt, *, is_patient: bool = False
    ) -> OpenAttempt:
        """Send the start of an attempt; the result may already be a refusal."""
        attempt = self._add(instance, start, is_patient=is_patient)
        reserved = self._board.target(instance).reserved_until
        if reserved:
            reserved.pop(0)
        if self._peers.get(self._addresses[instance]).send(start):
            attempt.mark_sent()
        else:
            attempt.fail("agent_unreachable", Outcome.NOT_RUN, "the agent is not connected")
        return attempt

    def open_resumed(self, instance: InstanceId, start: StartAttempt) -> OpenAttempt:
        """Listen to an attempt that another entry or connection has started."""
        attempt = self._add(instance, start, is_patient=True)
        attempt.mark_sent()
        self._ask_again(attempt)
        return attempt

    def _add(self, instance: InstanceId, start: StartAttempt, *, is_patient: bool) -> OpenAttempt:
        attempt = OpenAttempt(
            instance, start, monotonic(), self._send_credit, is_patient=is_patient
        )
        self._attempts.setdefault(start.attempt, []).append(attempt)
        self._board.target(instance).own_in_flight += 1
        return attempt

    def _send_credit(self, attempt: OpenAttempt, credit: AttemptCredit) -> None:
        self._peers.get(self._addresses[attempt.instance]).send(credit)

    def close(self, attempt: OpenAttempt) -> None:
        """Forget an attempt; one that still runs is cancelled."""
        name = attempt.start.attempt
        listeners = self._attempts[name]
        listeners.remove(attempt)
        if not listeners:
            del self._attempts[name]
        self._board.target(attempt.instance).own_in_flight -= 1
        self._dropped.inc(attempt.dropped)
        if not attempt.is_done:
            if not listeners:
                self.cancel(attempt)
            return
        credit = attempt.final_credit()
        if credit is not None:
            self._send_credit(attempt, credit)

    def cancel(self, attempt: OpenAttempt) -> None:
        """Ask the agent to end an attempt; its verdict arrives as the attempt's last item.

        An attempt that another caller of this entry also waits for goes on.
        """
        if len(self._attempts.get(attempt.start.attempt, ())) > 1:
            return
        start = attempt.start
        peer = self._peers.get(self._addresses[attempt.instance])
        peer.send(CancelAttempt(start.attempt, start.clock))

    def peer_at(self, instance: InstanceId, address: str) -> Peer | None:
        """Return the peer of an agent; ``address`` helps where this entry does not know it yet."""
        known = self._addresses.get(instance)
        if known is None and address:
            self._connect(instance, address)
            known = address
        return self._peers.get(known) if known is not None else None

    def handle(self, connection: StreamConnection, body: Body) -> bool:
        """Handle an agent's message; returns False if the body is not one."""
        match body:
            case AttemptStarted():
                for attempt in self._listeners(body.attempt):
                    attempt.acknowledge()
                    self._board.target(attempt.instance).take_start(body)
            case AttemptChunk():
                for attempt in self._listeners(body.attempt):
                    if not attempt.accept_chunk(body):
                        self._ask_again(attempt)
            case AttemptEnd():
                for attempt in self._listeners(body.attempt):
                    if not attempt.accept_end(body):
                        self._ask_again(attempt)
            case AttemptRefused():
                for attempt in self._listeners(body.attempt):
                    attempt.accept_refusal(body)
            case _:
                return False
        return True

    def record_report(self, instance: InstanceId, report: TargetReport) -> None:
        """Take an agent's report; a new incarnation ends the attempts of the old one."""
        target = self._board.target(instance)
        target.take_report(monotonic(), report)
        for attempt in self._open_attempts():
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
        for attempt in self._open_attempts():
            if attempt.instance == instance and attempt.is_sent and not attempt.is_done:
                self._ask_again(attempt)

    def _listeners(self, name: AttemptId) -> list[OpenAttempt]:
        listeners = self._attempts.get(name, [])
        if not listeners:
            self._dropped.inc()
        return listeners

    def _open_attempts(self) -> list[OpenAttempt]:
        return [item for listeners in self._attempts.values() for item in listeners]

    def _ask_again(self, attempt: OpenAttempt) -> None:
        self._resumes.inc()
        attempt.asked_at = monotonic()
        attempt.is_acknowledged = False
        self._peers.get(self._addresses[attempt.instance]).send(attempt.resume_message())

    def _watch(self) -> None:
        """Give up on silent agents, and replace connections on which nothing seems to pass."""
        now = monotonic()
        suspects = {
            instance
            for instance in self._addresses
            if now - self._board.target(instance).received_at > REPORT_TIMEOUT
        }
        silent = frozenset(suspects)
        for attempt in self._open_attempts():
            if attempt.is_done:
                continue
            is_unread = not attempt.is_acknowledged
            is_overdue = is_unread and now - attempt.asked_at > ACKNOWLEDGE_TIMEOUT
            if is_overdue:
                suspects.add(attempt.instance)
            if not attempt.is_patient and (is_overdue or attempt.instance in silent):
                attempt.fail("agent_unreachable", Outcome.UNKNOWN, "the agent has fallen silent")
        for instance in suspects:
            peer = self._peers.get(self._addresses[instance])
            if now - peer.connected_at > RESET_INTERVAL:
                self._resets.inc()
                peer.reset()
