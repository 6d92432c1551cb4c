"""Heartbeats and departures of direct targets, as the voters of the control log record them."""

import logging
from collections.abc import Awaitable, Callable

from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.ids import InstanceId
from jaylatch_core.log_records import TargetStateChanged
from jaylatch_core.messages.control import CommandAccepted, ControlCommand
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.targets import (
    TargetAcknowledged,
    TargetCheckIn,
    TargetDeparture,
    TargetMessages,
)
from jaylatch_decisions.targets import TargetRegistry
from jaylatch_node.control.leader import LeaderController
from jaylatch_node.observability import log_record
from jaylatch_node.streams import PeerPool

_log = logging.getLogger("jaylatch.control")


class TargetReports:
    """Records what targets report, and forwards it from the leader to the other voters.

    What changes routes is forwarded before it is acknowledged; a heartbeat that only repeats what
    is known follows with the others of the leader's round.
    """

    def __init__(
        self,
        own: InstanceId,
        registry: TargetRegistry,
        peers: PeerPool,
        list_voters: Callable[[], tuple[ControlPeer, ...]],
        list_services: Callable[[], frozenset[str]],
        propose: Callable[[ControlCommand], Awaitable[Body]],
    ) -> None:
        self._own = own
        self._registry = registry
        self._peers = peers
        self._list_voters = list_voters
        self._list_services = list_services
        self._propose = propose
        self._unforwarded: list[TargetCheckIn] = []

    def receive_heartbeat(
        self, now: float, heartbeat: TargetCheckIn, leader: LeaderController
    ) -> TargetAcknowledged:
        """Record a heartbeat as the leader."""
        if self._registry.changes_routes(now, heartbeat):
            self._record_heartbeat(now, heartbeat)
            leader.on_targets_changed(now)
            self._forward(TargetMessages((heartbeat,)))
        else:
            self._record_heartbeat(now, heartbeat)
            self._unforwarded.append(heartbeat)
        return TargetAcknowledged(heartbeat.instance)

    async def receive_departure(
        self, now: float, departure: TargetDeparture, leader: LeaderController
    ) -> Body:
        """Record a departure as the leader, and acknowledge it once it is committed.

        Control may start anew before the last heartbeat of the target has arrived.
        """
        identified = self._registry.identify(departure)
        self._record_departure(now, identified)
        leader.on_targets_changed(now)
        self._forward(TargetMessages((identified,)))
        committed = await self._propose(identified)
        is_committed = isinstance(committed, CommandAccepted)
        return TargetAcknowledged(departure.instance) if is_committed else committed

    def record_forwarded(self, now: float, messages: TargetMessages) -> None:
        """Record messages that the leader has received."""
        for message in messages.messages:
            match message:
                case TargetCheckIn():
                    self._record_heartbeat(now, message)
                case TargetDeparture():
                    self._record_departure(now, message)

    def forward_heartbeats(self) -> None:
        """Forward the heartbeats that have not been forwarded yet."""
        if self._unforwarded:
            self._forward(TargetMessages(tuple(self._unforwarded)))
            self._unforwarded.clear()

    def drop_unforwarded(self) -> None:
        """Forward nothing that was received in a term that has ended."""
        self._unforwarded.clear()

    def _record_heartbeat(self, now: float, heartbeat: TargetCheckIn) -> None:
        self._registry.use_services(self._list_services())
        is_new = self._registry.record(heartbeat.instance) is None
        if self._registry.record_heartbeat(now, heartbeat) and (is_new or heartbeat.is_draining):
            _log_state("draining" if heartbeat.is_draining else "ready", heartbeat)

    def _record_departure(self, now: float, departure: TargetDeparture) -> None:
        self._registry.depart(now, departure)
        log_record(_log, TargetStateChanged(target=departure.instance, state="departed"))

    def _forward(self, messages: TargetMessages) -> None:
        for peer in self._list_voters():
            if peer.instance != self._own:
                self._peers.get(peer.address).send(messages)


def _log_state(state: str, heartbeat: TargetCheckIn) -> None:
    log_record(
        _log,
        TargetStateChanged(
            target=heartbeat.instance,
            state=state,
            service=heartbeat.service,
            address=heartbeat.address,
            fabric_domain=heartbeat.fabric_domain,
            staged=heartbeat.staged_models,
        ),
    )
