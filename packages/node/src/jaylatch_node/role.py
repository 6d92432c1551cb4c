"""Interface between a process and its roles."""

from abc import ABC, abstractmethod

from jaylatch_core.ids import PromptPartId
from jaylatch_core.messages.consensus import ConsensusBatch
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.membership import GroupProgress, MemberReport
from jaylatch_node.streams import StreamConnection


class NodeRole(ABC):
    """A role of a process. The handlers ignore their input by default."""

    @abstractmethod
    def start(self) -> None:
        """Start the role; call on the running loop."""

    @abstractmethod
    def stop(self) -> None:
        """Stop the role."""

    async def drain(self) -> None:  # noqa: B027 - most roles leave no work behind
        """Finish the work in flight before ``stop``, and take no new work."""

    def on_grant(self) -> None:  # noqa: B027 - most roles read the blackboard when they act
        """Act on a lease grant that has been written to the blackboard."""

    def handle_consensus(self, batch: ConsensusBatch) -> None:  # noqa: B027 - as above
        """Handle the messages of a voter."""

    def handle_call(self, connection: StreamConnection, call: int, body: Body) -> bool:
        """Handle a message; returns False if it is not for this role."""
        return False

    def report_member(self, now: float) -> MemberReport | None:
        """Return the state of this process's target, or None without a target."""
        return None

    def report_progress(self, now: float) -> tuple[GroupProgress, ...]:
        """Return the groups that have served this process since the last report."""
        return ()

    def report_answered_parts(self, now: float) -> tuple[PromptPartId, ...]:
        """Return the suspected parts of prompts to which this process has received answers."""
        return ()
