"""What a process needs of each of its roles."""

from abc import ABC, abstractmethod

from jaylatch_core.messages.consensus import ConsensusBatch
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import MemberReport
from jaylatch_node.streams import StreamConnection


class NodeRole(ABC):
    """A part of a process. What a role has no use for is ignored by default."""

    @abstractmethod
    def start(self) -> None:
        """Begin the role's work; call on the running loop."""

    @abstractmethod
    def stop(self) -> None:
        """End the role's work."""

    def on_grant(self) -> None:  # noqa: B027 - most roles read the blackboard when they act
        """Act on a lease grant that has been written to the blackboard."""

    def handle_consensus(self, batch: ConsensusBatch) -> None:  # noqa: B027 - as above
        """Handle the messages of a voter."""

    def handle_call(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Handle a message; returns False if it is not for this role."""
        return False

    def report_member(self, now: float) -> MemberReport | None:
        """Return what is known of the target beside this process, if there is one."""
        return None
