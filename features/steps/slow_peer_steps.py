"""Steps on a slow owner of places and on the notices that give places back."""

from asyncio import create_task, sleep
from time import monotonic
from time import sleep as pause

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from returns.pipeline import is_successful

from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.events import EventLog
from jaylatch_core.ids import InstanceId, RequestDigest
from jaylatch_core.messages.administration import MetricsReport, ReadMetrics, ReadStatus
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.places import GiveBackPlace, PlaceCandidate, PlaceTaken, TakePlace
from jaylatch_core.settings import ControlSettings
from jaylatch_decisions.places import PlaceTable
from jaylatch_node.control.client import ControlClient
from jaylatch_node.observability import Metrics
from jaylatch_node.streams import PeerPool, StreamConnection, StreamServer, Traffic
from jaylatch_standins.ports import LOOPBACK, free_addresses
from jaylatch_standins.proxy import FaultProxy

POLL_SECONDS = 0.02
CONNECT_SECONDS = 5.0
PLACE_DURATION_SECONDS = 60.0
"""Longer than each scenario: a place that is never given back stays counted."""
TARGET = InstanceId("t")
PERMIT = "request/1"

use_step_matcher("re")


class Owner:
    """An owner of places that counts the requests in flight at one target."""

    def __init__(self) -> None:
        self.table = PlaceTable()
        self.requests = 0

    def handle(self, connection: StreamConnection, call: int, body: Body) -> None:
        """Answer a call; a read of the status is never answered."""
        match body:
            case TakePlace():
                self.requests += 1
                connection.reply(call, self.table.take(monotonic(), body))
            case GiveBackPlace(permit):
                self.table.give_back(monotonic(), permit)
            case ReadMetrics():
                connection.reply(call, MetricsReport(b""))

    def held(self) -> int:
        """Return the places that are held: a further request finds one more."""
        probe = take("probe")
        answer = self.table.take(monotonic(), probe)
        assert isinstance(answer, PlaceTaken), answer
        self.table.release(probe.permit)
        return round(answer.load * probe.candidates[0].slots) - 1


def take(permit: str) -> TakePlace:
    """Return a request for a place at the target."""
    candidates = (PlaceCandidate(TARGET, 100),)
    return TakePlace(permit, candidates, PLACE_DURATION_SECONDS, RequestDigest(permit))


@given(r"an owner of places and a gateway process connected through a proxy")
def step_owner_and_gateway(context: Context) -> None:
    async def connect() -> None:
        traffic = Traffic(Metrics())
        listen, proxied = free_addresses(2)
        context.owner = Owner()
        context.server = StreamServer(EventLog("owner"), traffic, context.owner.handle)
        context.server.listen(int(listen.rpartition(":")[2]), LOOPBACK)
        context.proxy = FaultProxy(listen)
        context.proxy.listen(int(proxied.rpartition(":")[2]), LOOPBACK)
        peers = PeerPool(EventLog("gateway"), traffic, lambda connection, call, body: None)
        settings = ControlSettings(peers=(ControlPeer(InstanceId("owner"), proxied),))
        context.client = ControlClient(settings, peers)
        context.address = proxied
        context.peer = peers.get(proxied)
        assert is_successful(await context.peer.call(ReadMetrics(), CONNECT_SECONDS))

    context.runner.run(connect())


@when(
    r"nothing is forwarded for (?P<pause>[\d.]+) s and a place is requested for"
    r" (?P<timeout>[\d.]+) s and then given back"
)
def step_slow(context: Context, pause: str, timeout: str) -> None:
    async def request() -> None:
        ends_at = monotonic() + float(pause)
        context.proxy.blocks_forward = True
        assert await context.client.ask(context.address, take(PERMIT), float(timeout)) is None
        context.client.notify(context.address, GiveBackPlace(PERMIT))
        await sleep(ends_at - monotonic())
        context.proxy.blocks_forward = False

    context.runner.run(request())


@when(
    r"a place is taken and given back while the proxy refuses connections for (?P<pause>[\d.]+) s"
)
def step_not_connected(context: Context, pause: str) -> None:
    async def request() -> None:
        answer = await context.client.ask(context.address, take(PERMIT), CONNECT_SECONDS)
        assert isinstance(answer, PlaceTaken), answer
        context.proxy.refuses = True
        context.proxy.drop_connections()
        await sleep(float(pause))
        context.client.notify(context.address, GiveBackPlace(PERMIT))
        context.proxy.refuses = False

    context.runner.run(request())


@when(r"the notice that gives a place back arrives before the request")
def step_reordered(context: Context) -> None:
    async def request() -> None:
        context.client.notify(context.address, GiveBackPlace(PERMIT))
        await context.client.ask(context.address, take(PERMIT), CONNECT_SECONDS)

    context.runner.run(request())


@then(r"the owner holds no place within (?P<limit>\d+) s")
def step_none_held(context: Context, limit: str) -> None:
    async def wait() -> None:
        ends_at = monotonic() + float(limit)
        while context.owner.held() or not context.owner.requests:
            assert monotonic() < ends_at, (context.owner.held(), context.owner.requests)
            await sleep(POLL_SECONDS)
        # A place that is counted later, by a request that is still in transit, is not missed.
        await sleep(ends_at - monotonic())
        assert not context.owner.held()

    context.runner.run(wait())


@when(r"a call that is never answered is made and others are answered for (?P<seconds>[\d.]+) s")
def step_partly_answered(context: Context, seconds: str) -> None:
    async def call() -> None:
        context.before = context.peer.connection
        ends_at = monotonic() + float(seconds)
        await context.peer.call(ReadStatus(), 0.05)
        while monotonic() < ends_at:
            assert is_successful(await context.peer.call(ReadMetrics(), 1.0))
            await sleep(0.1)

    context.runner.run(call())


@then(r"the connection is the same")
def step_same_connection(context: Context) -> None:
    assert context.before is not None
    assert context.peer.connection is context.before


@when(r"the process is busy for (?P<seconds>[\d.]+) s just after it has sent a call")
def step_busy(context: Context, seconds: str) -> None:
    async def call() -> None:
        context.before = context.peer.connection
        task = create_task(context.peer.call(ReadMetrics(), 0.05))
        await sleep(0)
        await sleep(0)
        pause(float(seconds))
        await task
        await sleep(0.5)

    context.runner.run(call())
