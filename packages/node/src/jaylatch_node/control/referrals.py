"""Referral of callers by a control instance that does not lead and knows no leader."""

from itertools import count

from jaylatch_core.control_peers import ControlPeer, peer_from_instance_id
from jaylatch_core.ids import InstanceId
from jaylatch_node.control.client import ControlClient


class Referrals:
    """The voters that have announced themselves, which are named in turn to callers.

    The only control instances that a process knows at its start may be without a vote, so that no
    leader calls them. They know the voters if these have announced themselves, or the leader if
    they have called it. ``own`` is the instance itself, empty if it never has a vote.
    """

    def __init__(self, own: InstanceId, client: ControlClient) -> None:
        self._own = own
        self._client = client
        self._voters: tuple[InstanceId, ...] = ()
        self._turns = count()

    @property
    def is_replaced(self) -> bool:
        """Return whether the voters have announced themselves without this instance."""
        return bool(self._voters) and self._own not in self._voters

    def note_voters(self, voters: tuple[ControlPeer, ...]) -> None:
        """Record the voters that have announced themselves."""
        self._voters = tuple(peer.instance for peer in voters)
        self._client.update_peers(voters)

    def choose(self) -> InstanceId:
        """Return the instance that a caller should ask next, or an empty id."""
        others = [peer.instance for peer in self._client.voters if peer.instance != self._own]
        if others:
            return others[next(self._turns) % len(others)]
        leader = peer_from_instance_id(InstanceId(self._client.confirmed_leader or ""))
        return leader.instance if leader is not None else InstanceId("")
