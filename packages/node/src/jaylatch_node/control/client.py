"""Calls from any process to the leader of the control log or of a journal shard."""

from asyncio import FIRST_COMPLETED, Task, create_task, sleep, wait
from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Success

from jaylatch_core.clock import monotonic
from jaylatch_core.control_peers import ControlPeer, address_of, peer_from_instance_id
from jaylatch_core.exceptions import NotLeader, StorageFailed, Unavailable
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.journal import JournalCommand
from jaylatch_core.settings import ControlSettings
from jaylatch_decisions.journal import shard_of
from jaylatch_decisions.places import SentNotices
from jaylatch_node.streams import Peer, PeerPool
from jaylatch_node.streams.connection import CallResult

CONTROL_LOG = "control"
RETRY_DELAY = 0.05
"""Seconds between an answer that is not a leader's and the next call."""
CALL_TIMEOUT = 1.0
"""Longest time in seconds for one call to one instance."""
UNRESPONSIVE_TIMEOUT = 0.3
"""Seconds without an answer after which the next instance is called as well."""


def journal_log(shard: int) -> str:
    """Return the name of the log of a journal shard."""
    return f"journal-{shard}"


class ControlClient:
    """Finds the leader of each log and retries calls until a deadline.

    Only idempotent calls may be made through it (with a command id, an attempt id or no effect),
    because a call is retried after a lost answer.
    """

    def __init__(self, settings: ControlSettings, peers: PeerPool) -> None:
        self._addresses: dict[InstanceId, str] = {
            peer.instance: peer.address for peer in settings.peers
        }
        self._order = [peer.address for peer in settings.peers]
        self._shards = settings.journal_shards
        self._peers = peers
        self._leaders: dict[str, str] = {}
        self._confirmed: dict[str, str] = {}
        self._leader_handlers: list[Callable[[str], None]] = []
        self._voters: tuple[ControlPeer, ...] = ()
        self._configured_peers = list(settings.peers)
        self._notices: dict[str, SentNotices[Body]] = {}

    def connect(self) -> None:
        """Open the connections to all control instances."""
        for address in self._order:
            self._peers.get(address)

    def update_peers(self, peers: tuple[ControlPeer, ...]) -> None:
        """Call the current voters first, then the control instances of the settings."""
        if not peers:
            return
        self._voters = peers
        known = {peer.instance: peer.address for peer in (*peers, *self._configured_peers)}
        if known != self._addresses:
            self._addresses = known
            self._order = list(dict.fromkeys(known.values()))

    @property
    def addresses(self) -> list[str]:
        """Return the addresses of the control instances, current voters first."""
        return self._order

    @property
    def voters(self) -> tuple[ControlPeer, ...]:
        """Return the current voters as far as this process was told, none before that."""
        return self._voters

    @property
    def confirmed_leader(self) -> str | None:
        """Return the address of the leader of the control log, None if it is not known.

        It has answered as the leader, or another instance has named it, and no call has failed
        since. The instance that is called next may be another one, found by rotation.
        """
        return self._confirmed.get(CONTROL_LOG)

    def on_new_leader(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with the address when a leader of the control log becomes known."""
        self._leader_handlers.append(handler)

    async def ask(self, address: str, body: Body, timeout: float) -> Body | None:
        """Call one control instance, leader or not; return None if it does not answer.

        Does not wait for an instance that is not connected.
        """
        peer = self._peers.get(address)
        if peer.connection is None:
            return None
        return (await peer.call(body, timeout)).value_or(None)

    def peer(self, address: str) -> Peer:
        """Return the connection to one control instance."""
        return self._peers.get(address)

    def notify(self, address: str, body: Body) -> None:
        """Send one control instance an idempotent message that expects no reply.

        It is sent again on the next connection, because a lost one may not have delivered it.
        """
        peer = self._peers.get(address)
        if address not in self._notices:
            self._notices[address] = SentNotices()
            peer.on_connect(self._resend_notices)
        self._notices[address].record(monotonic(), body)
        peer.send(body)

    def _resend_notices(self, peer: Peer) -> None:
        for body in self._notices[peer.address].recent(monotonic()):
            peer.send(body)

    async def call_journal(self, command: JournalCommand, timeout: float) -> CallResult:
        """Commit a journal command on the shard of its order."""
        return await self.call(journal_log(shard_of(command.order, self._shards)), command, timeout)

    async def call(self, log: str, body: Body, timeout: float) -> CallResult:
        """Call the leader of ``log``; fail with Unavailable after ``timeout`` seconds.

        If an instance is unresponsive for ``UNRESPONSIVE_TIMEOUT``, the next one is called as well,
        and the first answer of a leader is returned.
        """
        deadline = monotonic() + timeout
        running: dict[Task[CallResult], str] = {}
        try:
            while (left := deadline - monotonic()) > 0:
                address = self._choose(log, set(running.values()))
                if address is not None:
                    call = self._peers.get(address).call(body, min(left, CALL_TIMEOUT))
                    running[create_task(call)] = address
                done, _ = await wait(
                    running, timeout=min(left, UNRESPONSIVE_TIMEOUT), return_when=FIRST_COMPLETED
                )
                for task in done:
                    answer = self._handle_answer(log, running.pop(task), task.result())
                    if answer is not None:
                        return Success(answer)
                if done:
                    await sleep(RETRY_DELAY)
                elif address is not None:
                    self._call_next(log, address)
        finally:
            for task in running:
                task.cancel()
        return Err(Unavailable(f"no leader of log {log!r} answered within {timeout} s"))

    def _handle_answer(self, log: str, address: str, result: CallResult) -> Body | None:
        """Return a leader's answer; otherwise return None and update the supposed leader.

        A supposed leader that answers Unavailable is called again.
        """
        answer = result.unwrap() if is_successful(result) else None
        match answer:
            case NotLeader(_, leader) if (peer := self._find(InstanceId(leader))) is not None:
                self._confirm(log, peer)
                if self._peers.get(peer).connection is None:
                    # The instance that has named it may have followed a leader that is lost.
                    self._leaders[log] = self._next(address)
            case None | NotLeader() | StorageFailed():
                self._call_next(log, address)
            case Unavailable():
                pass
            case _:
                self._confirm(log, address)
                return answer
        return None

    def _find(self, instance: InstanceId) -> str | None:
        """Return the address of a control instance, or None if it is unknown.

        An address that the instance id states is added to the calling order.
        """
        named = peer_from_instance_id(instance)
        if named is not None and named.address not in self._order:
            self._order.append(named.address)
        return address_of(instance, self._addresses)

    def _choose(self, log: str, asked: set[str]) -> str | None:
        """Return the address to call next: the supposed leader, or the next connected instance.

        ``asked`` contains the addresses with a call in progress. If there are some and no other
        instance is connected, return None.
        """
        position = self._position(self._leaders.get(log, self._order[0]))
        candidates = self._order[position:] + self._order[:position]
        left = [address for address in candidates if address not in asked]
        connected = [item for item in left if self._peers.get(item).connection is not None]
        return next(iter(connected or ([] if asked else left)), None)

    def _confirm(self, log: str, address: str) -> None:
        is_new = self._confirmed.get(log) != address
        self._leaders[log] = self._confirmed[log] = address
        if log == CONTROL_LOG and is_new:
            for handler in self._leader_handlers:
                handler(address)

    def _call_next(self, log: str, address: str) -> None:
        """Call the instance after ``address`` next; no leader is confirmed then."""
        self._leaders[log] = self._next(address)
        self._confirmed.pop(log, None)

    def _next(self, address: str) -> str:
        return self._order[(self._position(address) + 1) % len(self._order)]

    def _position(self, address: str) -> int:
        """Return the index of an address in the calling order; 0 if it is no longer listed."""
        return self._order.index(address) if address in self._order else 0
