"""Calls from any process to the leader of the control log or of a journal shard."""

from asyncio import sleep

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Success

from jaylatch_core.clock import monotonic
from jaylatch_core.exceptions import NotLeader, StorageFailed, Unavailable
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.journal import JournalCommand
from jaylatch_core.settings import ControlSettings
from jaylatch_decisions.journal import shard_of
from jaylatch_node.streams import PeerPool
from jaylatch_node.streams.connection import CallResult

CONTROL_LOG = "control"
RETRY_DELAY = 0.05
CALL_TIMEOUT = 1.0


def journal_log(shard: int) -> str:
    """Return the name of the log of a journal shard."""
    return f"journal-{shard}"


class ControlClient:
    """Finds the leader of each log and repeats calls until a deadline.

    Only calls that carry a command id, an attempt id or no effect may be made through it, because
    a call is repeated after a lost answer.
    """

    def __init__(self, settings: ControlSettings, peers: PeerPool) -> None:
        self._addresses: dict[str, str] = {peer.instance: peer.address for peer in settings.peers}
        self._order = [peer.address for peer in settings.peers]
        self._shards = settings.journal_shards
        self._peers = peers
        self._leaders: dict[str, str] = {}

    def connect(self) -> None:
        """Open the connections to all control instances."""
        for address in self._order:
            self._peers.get(address)

    async def call_journal(self, command: JournalCommand, timeout: float) -> CallResult:
        """Commit a journal command on the shard of its order."""
        return await self.call(journal_log(shard_of(command.order, self._shards)), command, timeout)

    async def call(self, log: str, body: Body, timeout: float) -> CallResult:
        """Call the leader of ``log``; gives up with Unavailable after ``timeout`` seconds."""
        deadline = monotonic() + timeout
        while True:
            address = self._leaders.get(log, self._order[0])
            left = deadline - monotonic()
            if left <= 0:
                return Err(Unavailable(f"no leader of log {log!r} answered within {timeout} s"))
            result = await self._peers.get(address).call(body, min(left, CALL_TIMEOUT))
            answer = result.unwrap() if is_successful(result) else None
            match answer:
                case None:
                    self._leaders[log] = self._next(address)
                case NotLeader(_, leader) if leader in self._addresses:
                    self._leaders[log] = self._addresses[leader]
                case NotLeader() | StorageFailed():
                    self._leaders[log] = self._next(address)
                case Unavailable():
                    pass
                case _:
                    self._leaders[log] = address
                    return Success(answer)
            await sleep(RETRY_DELAY)

    def _next(self, address: str) -> str:
        position = self._order.index(address)
        return self._order[(position + 1) % len(self._order)]
