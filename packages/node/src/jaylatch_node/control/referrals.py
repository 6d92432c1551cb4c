"""Referral of callers by a control instance that does not lead and knows no leader."""

from itertools import count

from jaylatch_core.control_peers import peer_from_instance_id
from jaylatch_core.ids import InstanceId
from jaylatch_node.control.client import ControlClient


class Referrals:
    """Names, in turn, the instances that may know the leader.

    The only control instances that a process knows at its start may be without a vote, so that no
    leader calls them. They know the voters if these have announced themselves, or the leader if
    they have called it.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._turns = count()

    def choose(self, client: ControlClient) -> InstanceId:
        """Return the instance that a caller should ask next, or an empty id."""
        others = [peer.instance for peer in client.voters if peer.instance != self._own]
        if others:
            return others[next(self._turns) % len(others)]
        leader = peer_from_instance_id(InstanceId(client.confirmed_leader or ""))
        return leader.instance if leader is not None else InstanceId("")
