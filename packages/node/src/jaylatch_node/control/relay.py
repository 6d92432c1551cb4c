"""The control role of an instance without a disk."""

from jaylatch_core.exceptions import NotLeader
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.control import VotersAnnounced
from jaylatch_core.messages.frames import Body
from jaylatch_node.control.client import ControlClient
from jaylatch_node.control.referrals import Referrals
from jaylatch_node.role import NodeRole
from jaylatch_node.streams import StreamConnection


class ControlRelay(NodeRole):
    """Stores nothing and has no vote.

    Targets and operators may call the instance: their calls are forwarded to the leader by the
    process's ``client``. Calls of other processes are referred to the voters, which announce
    themselves, because the only control instances that a process knows at its start may be relays.
    """

    def __init__(self, client: ControlClient) -> None:
        self._referrals = Referrals(InstanceId(""), client)

    def start(self) -> None:
        """Do nothing: the role only answers calls."""

    def stop(self) -> None:
        """Do nothing."""

    def handle_call(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Note the announced voters; refer any other caller to one of them."""
        match body:
            case VotersAnnounced(voters):
                self._referrals.note_voters(voters)
            case _ if call:
                detail = "this control instance has no disk and never leads; ask another one"
                connection.reply(call, NotLeader(detail, self._referrals.choose()))
            case _:
                return False
        return True
