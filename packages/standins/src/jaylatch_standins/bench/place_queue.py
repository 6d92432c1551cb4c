"""Processor time of an owner whose callers wait for places by rank.

The owner is a real control instance. The gateways are stand-ins on connections of their own, each
of which asks for places, holds them for the service time and gives them back. Refused requests do
not return, so that the rate is the stated one.
"""

from argparse import Namespace
from asyncio import Future, create_task, gather, get_running_loop, run, sleep
from itertools import count
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic

from jaylatch_core.ids import AccountId, InstanceId, RequestDigest
from jaylatch_core.messages.frames import Body
from jaylatch_core.messages.places import (
    GiveBackPlace,
    PlaceCandidate,
    PlaceDenied,
    PlaceGranted,
    PlaceQueued,
    PlacesFull,
    PlaceTaken,
    QueueTerms,
    TakePlace,
)
from jaylatch_standins.bench.base import Benchmark as BaseBenchmark
from jaylatch_standins.bench.base import Figure
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import configuration_text, hash_key, wait_until
from jaylatch_standins.process_cost import ProcessCost
from jaylatch_standins.wire import Wire, connect

NAME = "place_queue"
GATEWAYS = 26
REQUEST_RATE = 500.0
"""Requests a second of all gateways."""
CANDIDATES = tuple(PlaceCandidate(InstanceId(f"head-{number}"), 24) for number in range(14))
SERVICE_TIMES = (0.6, 1.0)
"""Mean seconds; the requests then need 0.9 and 1.5 times the slots of the heads."""
VARIATION = 0.25
OBJECTIVES = ((0.25, 0, 0.85), (0.5, 1, 0.1), (1.0, 2, 0.05))
"""Longest waits in seconds, ranks and parts of the requests."""
ACCOUNTS = 24
WARM_UP = 4.0
WINDOW = 10.0
CALL_TIMEOUT = 1.0
REQUEST_TIMEOUT = 8.0
START_TIMEOUT = 20.0
TARGET_CORES = 0.25


class Benchmark(BaseBenchmark):
    """Measures the owner below and above the capacity of the model, and idle."""

    help = "processor time of an owner of places at 26 gateways and 500 requests/s"

    def handle(self, options: Namespace) -> None:
        """Emit the used part of a core, and what became of the requests."""
        for service_time in SERVICE_TIMES:
            with TemporaryDirectory() as folder:
                for name, value, unit, target in run(_measure(Path(folder), service_time)):
                    labels: dict[str, str | int | float] = {
                        "gateways": GATEWAYS,
                        "rate": REQUEST_RATE,
                        "service_time": service_time,
                    }
                    self.emit(Figure(NAME, name, value, unit, target, labels))


async def _measure(folder: Path, service_time: float) -> list[tuple[str, float, str, float | None]]:
    plan = ClusterPlan(controls=1, entries=0, domains=1, engines=0)
    cluster = Cluster(folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    cluster.start()
    name = cluster.controls[0]
    try:
        await wait_until(lambda: _is_listening(cluster, name), START_TIMEOUT, "control listens")
        pid = cluster.processes[name].pid
        idle = ProcessCost(pid)
        await sleep(WARM_UP)
        idle_share = idle.core_share()
        gateways = [Gateway(number, service_time) for number in range(GATEWAYS)]
        await gather(*(gateway.connect(cluster.nodes[name].stream) for gateway in gateways))
        asking = [create_task(gateway.ask_forever()) for gateway in gateways]
        await sleep(WARM_UP)
        before = _add_up(gateways)
        cost = ProcessCost(pid)
        started_at = monotonic()
        await sleep(WINDOW)
        share = cost.core_share()
        seconds = monotonic() - started_at
        counts = {key: value - before.get(key, 0) for key, value in _add_up(gateways).items()}
        for task in asking:
            task.cancel()
        figures: list[tuple[str, float, str, float | None]] = [
            ("owner_processor", share, "core", TARGET_CORES),
            ("idle_processor", idle_share, "core", None),
        ]
        return figures + [(key, value / seconds, "1/s", None) for key, value in counts.items()]
    finally:
        cluster.stop()


async def _is_listening(cluster: Cluster, name: str) -> bool:
    try:
        wire = await connect(cluster.nodes[name].stream, lambda wire, call, body: None)
    except OSError:
        return False
    wire.close()
    return True


class Gateway:
    """A gateway that asks one owner."""

    def __init__(self, number: int, service_time: float) -> None:
        self._number = number
        self._service_time = service_time
        self._random = Random(number)
        self._waits: dict[str, Future[Body]] = {}
        self.counts = dict.fromkeys(("asked", "taken", "queued", "granted", "refused"), 0)

    async def connect(self, address: str) -> None:
        """Connect to the owner."""
        self._wire = await connect(address, self._handle)
        self._reading = create_task(self._wire.run())

    async def ask_forever(self) -> None:
        """Send requests at this gateway's part of the rate."""
        running = set()
        for number in count():
            await sleep(self._random.expovariate(REQUEST_RATE / GATEWAYS))
            task = create_task(self._request(f"{self._number}-{number}"))
            running.add(task)
            task.add_done_callback(running.discard)

    async def _request(self, permit: str) -> None:
        self.counts["asked"] += 1
        parts = [part for _, _, part in OBJECTIVES]
        max_wait, rank, _ = self._random.choices(OBJECTIVES, parts)[0]
        account = AccountId(f"account-{self._random.randrange(ACCOUNTS)}")
        service = self._service_time * (1 + self._random.uniform(-VARIATION, VARIATION))
        outcome: Future[Body] = get_running_loop().create_future()
        self._waits[permit] = outcome
        terms = QueueTerms(rank, account, max_wait, self._service_time, "model")
        digest = RequestDigest(permit)
        message = TakePlace(permit, CANDIDATES, REQUEST_TIMEOUT, digest, queueing=terms)
        answer = await self._wire.call(message, CALL_TIMEOUT)
        if isinstance(answer, PlaceQueued):
            self.counts["queued"] += 1
            answer = await outcome
        self._waits.pop(permit, None)
        match answer:
            case PlaceTaken() | PlaceGranted():
                self.counts["taken" if isinstance(answer, PlaceTaken) else "granted"] += 1
                await sleep(service)
                self._wire.send(GiveBackPlace(permit))
            case PlacesFull() | PlaceDenied():
                self.counts["refused"] += 1

    def _handle(self, wire: Wire, call: int, body: Body) -> None:
        match body:
            case PlaceGranted(permit) | PlaceDenied(permit):
                outcome = self._waits.get(permit)
                if outcome is not None and not outcome.done():
                    outcome.set_result(body)


def _add_up(gateways: list[Gateway]) -> dict[str, int]:
    return {key: sum(item.counts[key] for item in gateways) for key in gateways[0].counts}
