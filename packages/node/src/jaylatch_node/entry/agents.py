"""Connections of an entry to agents, and the attempts that run over them."""

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
"""Seconds without a report after which an agent counts as unresponsive."""
ACKNOWLEDGE_TIMEOUT = 1.0
"""Seconds within which an agent must acknowledge an attempt."""
RESET_INTERVAL = 1.0
"""Minimum age in seconds of a connection that is reset."""
AGENT_CHECK_INTERVAL = 0.2
"""Seconds between two checks for unresponsive agents."""


class AgentConnections:
    """Connects to each agent in the view and dispatches received frames to their attempts."""

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
            "attempts_resumed",
            "Attempts whose missing chunks were asked for again.",
        )
        self._resets = board.metrics.counter(
            "agent_connections_reset",
            "Connections to agents closed because nothing passed.",
        )
        self._ticker = PeriodicCallback(
            self._check_agents, AGENT_CHECK_INTERVAL * MILLISECONDS_PER_SECOND
        )

    def start(self) -> None:
        """Start checking for unresponsive agents."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop checking."""
        self._ticker.stop()

    def follow_view(self, view: View) -> None:
        """Connect to the agents of a new view."""
        for group in view.groups:
            self._connect(group.head, group.address)
        for service in view.services:
            self._connect(service.instance, service.address)

    def open(
        self, instance: InstanceId, start: StartAttempt, *, waits_until_deadline: bool = False
    ) -> OpenAttempt:
        """Send the start of an attempt; the attempt returned may already have failed."""
        attempt = self._add(instance, start, waits_until_deadline=waits_until_deadline)
        reserved = self._board.target(instance).reserved_until
        if reserved:
            reserved.pop(0)
        if self._peers.get(self._addresses[instance]).send(start):
            attempt.mark_sent()
        else:
            attempt.fail("agent_unreachable", Outcome.NOT_RUN, "the agent is not connected")
        return attempt

    def open_resumed(self, instance: InstanceId, start: StartAttempt) -> OpenAttempt:
        """Resume an attempt that another entry or connection has started."""
        attempt = self._add(instance, start, waits_until_deadline=True)
        attempt.mark_sent()
        self._request_resume(attempt)
        return attempt

    def _add(
        self, instance: InstanceId, start: StartAttempt, *, waits_until_deadline: bool
    ) -> OpenAttempt:
        attempt = OpenAttempt(
            instance,
            start,
            monotonic(),
            self._send_credit,
            waits_until_deadline=waits_until_deadline,
        )
        self._attempts.setdefault(start.attempt, []).append(attempt)
        self._board.target(instance).own_in_flight += 1
        return attempt

    def _send_credit(self, attempt: OpenAttempt, credit: AttemptCredit) -> None:
        self._peers.get(self._addresses[attempt.instance]).send(credit)

    def close(self, attempt: OpenAttempt) -> None:
        """Stop listening to an attempt, and cancel it if it is running without other listeners."""
        attempt_id = attempt.start.attempt
        listeners = self._attempts[attempt_id]
        listeners.remove(attempt)
        if not listeners:
            del self._attempts[attempt_id]
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
        """Ask the agent to end an attempt; the result arrives as the attempt's last item.

        An attempt with other listeners on this entry is not cancelled.
        """
        if len(self._attempts.get(attempt.start.attempt, ())) > 1:
            return
        start = attempt.start
        peer = self._peers.get(self._addresses[attempt.instance])
        peer.send(CancelAttempt(start.attempt, start.clock))

    def peer_at(self, instance: InstanceId, address: str) -> Peer | None:
        """Return the peer of an agent, connecting to ``address`` if the agent is unknown."""
        known = self._addresses.get(instance)
        if known is None and address:
            self._connect(instance, address)
            known = address
        return self._peers.get(known) if known is not None else None

    def handle(self, connection: StreamConnection, body: Body) -> bool:
        """Handle an agent's message; return False for any other body."""
        match body:
            case AttemptStarted():
                for attempt in self._listeners(body.attempt):
                    attempt.acknowledge()
                    self._board.target(attempt.instance).record_start(body)
            case AttemptChunk():
                for attempt in self._listeners(body.attempt):
                    if not attempt.accept_chunk(body):
                        self._request_resume(attempt)
            case AttemptEnd():
                for attempt in self._listeners(body.attempt):
                    if not attempt.accept_end(body):
                        self._request_resume(attempt)
            case AttemptRefused():
                for attempt in self._listeners(body.attempt):
                    attempt.accept_refusal(body)
            case _:
                return False
        return True

    def record_report(self, instance: InstanceId, report: TargetReport) -> None:
        """Store an agent's report, and fail the attempts of earlier incarnations."""
        target = self._board.target(instance)
        target.record_report(monotonic(), report)
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
        self._peers.get(address).on_connect(partial(self._resume_attempts, instance))

    def instance_at(self, address: str) -> InstanceId | None:
        """Return the instance whose agent listens at ``address``, or None."""
        return self._instances.get(address)

    def _resume_attempts(self, instance: InstanceId, peer: Peer) -> None:
        for attempt in self._open_attempts():
            if attempt.instance == instance and attempt.is_sent and not attempt.is_done:
                self._request_resume(attempt)

    def _listeners(self, attempt_id: AttemptId) -> list[OpenAttempt]:
        listeners = self._attempts.get(attempt_id, [])
        if not listeners:
            self._dropped.inc()
        return listeners

    def _open_attempts(self) -> list[OpenAttempt]:
        return [item for listeners in self._attempts.values() for item in listeners]

    def _request_resume(self, attempt: OpenAttempt) -> None:
        self._resumes.inc()
        attempt.last_sent_at = monotonic()
        attempt.is_acknowledged = False
        self._peers.get(self._addresses[attempt.instance]).send(attempt.resume_message())

    def _check_agents(self) -> None:
        """Fail attempts on unresponsive agents, and reset connections that seem to be broken."""
        now = monotonic()
        to_reset = {
            instance
            for instance in self._addresses
            if now - self._board.target(instance).received_at > REPORT_TIMEOUT
        }
        unresponsive = frozenset(to_reset)
        for attempt in self._open_attempts():
            if attempt.is_done:
                continue
            is_unacknowledged = not attempt.is_acknowledged
            is_overdue = is_unacknowledged and now - attempt.last_sent_at > ACKNOWLEDGE_TIMEOUT
            if is_overdue:
                to_reset.add(attempt.instance)
            if not attempt.waits_until_deadline and (
                is_overdue or attempt.instance in unresponsive
            ):
                attempt.fail("agent_unreachable", Outcome.UNKNOWN, "the agent is unresponsive")
        for instance in to_reset:
            peer = self._peers.get(self._addresses[instance])
            if now - peer.connected_at > RESET_INTERVAL:
                self._resets.inc()
                peer.reset()
