"""Owners of places and the gateways that ask them, over loopback streams with faults."""

from asyncio import CancelledError, Task, create_task, sleep
from collections.abc import Callable
from contextlib import suppress
from random import Random

from jaylatch_core.clock import monotonic
from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.events import EventLog
from jaylatch_core.ids import AccountId, AttemptId, FailureDomainId, InstanceId, RequestDigest, Term
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.places import QueueTerms
from jaylatch_core.settings import ControlSettings
from jaylatch_decisions.places import LimitTable, PlaceTable, first_owner
from jaylatch_decisions.targets import TargetConditions, TargetLoad
from jaylatch_node.control.client import ControlClient
from jaylatch_node.control.places import PlaceController
from jaylatch_node.gateway.places import Place, PlaceClient, PlaceRequest
from jaylatch_node.observability import Metrics
from jaylatch_node.streams import PeerPool, StreamConnection, StreamServer, Traffic
from jaylatch_standins.ports import LOOPBACK, free_addresses
from jaylatch_standins.proxy import FaultProxy

MODEL = "model"
DOMAIN = FailureDomainId("domain-1")
CONNECT_SECONDS = 3.0
SERVICE_SECONDS = 0.05


class Owner:
    """A control instance that owns places, behind a proxy."""

    def __init__(self) -> None:
        listen, self.address = free_addresses(2)
        self._listen = listen
        self.proxy = FaultProxy(listen)
        self.proxy.listen(int(self.address.rpartition(":")[2]), LOOPBACK)
        self.restart()

    def restart(self) -> None:
        """Begin anew: with empty memory, and with all connections closed."""
        self.has_ended = False
        self.metrics = Metrics()
        traffic = Traffic(self.metrics)
        events = EventLog("owner")
        peers = PeerPool(events, traffic, self._handle)
        limits = LimitTable()
        limits.cold.begin_term(0.0, Term(1))
        limits.cold.set_state(True, ())
        table = PlaceTable(request_limits=limits)
        self.controller = PlaceController(peers, self.metrics, table, lambda now: None)
        self._connections: list[StreamConnection] = []
        self.server = StreamServer(events, traffic, self._handle)
        self.server.on_open(self._connections.append)
        self.server.listen(int(self._listen.rpartition(":")[2]), LOOPBACK)

    def stop(self) -> None:
        """End as a killed process does: the port is closed, and so are all connections."""
        self.has_ended = True
        self.controller.stop()
        self.server.stop()
        for connection in self._connections:
            connection.close()

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait here, 0 if the process has ended."""
        if self.has_ended:
            return 0
        lengths = self.controller._queues.lengths(monotonic())  # noqa: SLF001
        return sum(length for length, _ in lengths.values())

    def count_places(self) -> int:
        """Return the number of places that are counted here."""
        return len(self.controller._queues._table._holders)  # noqa: SLF001

    def _handle(self, connection: StreamConnection, call: int, body: Body) -> None:
        self.controller.handle(connection, call, body)


class GatewaySide:
    """The part of a gateway that asks owners, and its requests."""

    def __init__(self, number: int, addresses: list[str], slots: int) -> None:
        self._number = number
        self._count = 0
        self.cold_rate = 0.0
        events = EventLog(f"gateway-{number}")
        self.pool = PeerPool(events, Traffic(Metrics()), self._handle)
        peers = tuple(ControlPeer(InstanceId(item), item) for item in addresses)
        self.client = ControlClient(ControlSettings(peers=peers), self.pool)
        self.client.connect()
        self.places = PlaceClient(self.client, TargetConditions(Random(number)))
        self.target = TargetLoad(InstanceId("t"), slots, DOMAIN)
        self.ended: dict[str, float] = {}

    def request(
        self, name: str, rank: int = 0, max_wait: float = 1.0, seconds: float = 9.0
    ) -> Task[Place | None]:
        """Ask for a place; the task ends with the answer."""
        self._count += 1
        request = PlaceRequest(
            MODEL,
            AttemptId(f"{self._number}-{self._count}"),
            [self.target],
            monotonic() + seconds,
            RequestDigest(name),
            False,
            cold_rate=self.cold_rate,
        )
        terms = QueueTerms(rank, AccountId("x"), max_wait, SERVICE_SECONDS, MODEL)
        return create_task(self._take(name, request, terms))

    async def _take(self, name: str, request: PlaceRequest, terms: QueueTerms) -> Place | None:
        try:
            return await self.places.take(request, terms)
        finally:
            self.ended[name] = monotonic()

    def _handle(self, connection: StreamConnection, call: int, body: Body) -> None:
        self.places.handle(connection, body)


class OwnerNetwork:
    """Three owners, and gateways that are connected to them. The first owner is the model's."""

    def __init__(self, gateways: int, slots: int) -> None:
        owners = {owner.address: owner for owner in (Owner() for _ in range(3))}
        addresses = list(owners)
        self.owners: list[Owner] = []
        left = list(addresses)
        while left:
            chosen = first_owner(MODEL, left)
            assert chosen is not None
            left.remove(chosen)
            self.owners.append(owners[chosen])
        self.gateways = [GatewaySide(number, addresses, slots) for number in range(gateways)]

    async def connect(self) -> None:
        """Wait until each gateway is connected to each owner."""
        await until(
            lambda: all(
                gateway.client.peer(owner.address).connection is not None
                for gateway in self.gateways
                for owner in self.owners
            )
        )

    async def close(self) -> None:
        """End all connections."""
        for gateway in self.gateways:
            gateway.pool.close()
        for owner in self.owners:
            owner.stop()
            owner.proxy.stop()
            owner.proxy.drop_connections()
        await sleep(0.05)


async def until(condition: Callable[[], bool], limit: float = CONNECT_SECONDS) -> float:
    """Wait until ``condition`` holds; return the seconds that it took."""
    started_at = monotonic()
    while not condition():
        assert monotonic() - started_at < limit, f"not within {limit} s"
        await sleep(0.005)
    return monotonic() - started_at


async def leave(task: Task[Place | None]) -> None:
    """Cancel a request, as the disconnect of its caller does."""
    task.cancel()
    with suppress(CancelledError):
        await task
