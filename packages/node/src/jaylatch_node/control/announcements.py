"""Announcements of the voters to control instances that may know none."""

from collections.abc import Callable

from jaylatch_core.clock import monotonic
from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.enums import Role
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.control import VotersAnnounced
from jaylatch_core.messages.membership import RenewLease
from jaylatch_decisions.control.known_instances import KnownInstances
from jaylatch_node.streams import PeerPool


class VoterAnnouncer:
    """Names the voters to the configured peers, and as the leader to all control instances.

    Only the voters get the leader's list of control instances: one of them may lead next.
    """

    def __init__(
        self,
        own: InstanceId,
        configured: tuple[ControlPeer, ...],
        peers: PeerPool,
        list_voters: Callable[[], tuple[ControlPeer, ...]],
    ) -> None:
        self._own = own
        self._configured = configured
        self._peers = peers
        self._list_voters = list_voters
        self._known = KnownInstances()

    def record(self, now: float, renewal: RenewLease) -> None:
        """Record the holder of a lease if it is a control instance."""
        if Role.CONTROL in renewal.roles:
            self._known.record(now, ControlPeer(renewal.instance, renewal.stream))

    def adopt(self, now: float, message: VotersAnnounced) -> None:
        """Keep the leader's list of the control instances."""
        if message.known:
            self._known.replace(now, message.known)

    def knows_others(self) -> bool:
        """Return whether a control instance without a vote has been seen lately."""
        voting = {voter.instance for voter in self._list_voters()}
        return any(peer.instance not in voting for peer in self._known.list(monotonic()))

    def announce(self, *, is_leader: bool) -> None:
        """Send the announcement; call on an instance that has a vote."""
        voters = self._list_voters()
        voting = {voter.instance for voter in voters}
        known = self._known.list(monotonic()) if is_leader else ()
        # The settings may give another address for an instance than it gives itself.
        others = {peer.instance: peer for peer in (*known, *self._configured)}
        for peer in others.values():
            if peer.instance not in voting:
                self._peers.get(peer.address).send(VotersAnnounced(voters))
        for voter in voters:
            if known and voter.instance != self._own:
                self._peers.get(voter.address).send(VotersAnnounced(voters, known))
