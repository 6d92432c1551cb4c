"""The control role of an instance without a disk."""

from jaylatch_core.exceptions import NotLeader
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.frames import Body
from jaylatch_node.role import NodeRole
from jaylatch_node.streams import StreamConnection

NOT_A_VOTER = NotLeader(
    "this control instance has no disk and never leads; ask another one", InstanceId("")
)


class ControlRelay(NodeRole):
    """Stores nothing and has no vote.

    Targets and operators may call the instance: their calls are forwarded to the leader by the
    process's ``ControlClient``. Calls of other processes are referred to the voters.
    """

    def start(self) -> None:
        """Do nothing: the role only answers calls."""

    def stop(self) -> None:
        """Do nothing."""

    def handle_call(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Refer the caller to another control instance."""
        if call:
            connection.reply(call, NOT_A_VOTER)
        return True
