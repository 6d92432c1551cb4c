"""Usage of an entry, an agent and the journal's voters by rate of completions and orders."""

from asyncio import create_task, gather, sleep
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from time import monotonic

from jaylatch_standins.bench.capacity_process import Meter, control_roles
from jaylatch_standins.caller import Caller, CallerOutcome
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    SERVICE,
    configuration_text,
    hash_key,
    wait_for_groups,
)

MEASUREMENT_WINDOW = 10.0
WARM_UP_TIME = 2.0
"""Seconds."""
ENGINE_COUNT = 4
GROUP_COUNT = 1
ACCOUNT_KEY = ACCOUNT_KEYS["skarvik"]
ENGINE_OPTIONS = ("--token-time", "0.005", "--slots", "64")

Emit = Callable[[str, str, Mapping[str, float], Mapping[str, float]], None]


async def measure_completions(folder: Path, load: tuple[float, int], emit: Emit) -> None:
    """Emit the usage of each role at ``load``: requests per second, and tokens per request."""
    rate, tokens = load
    cluster = await _start_cluster(folder)
    try:
        caller = Caller(cluster.entries[0], ACCOUNT_KEY)
        head = next(name for name in cluster.nodes if name.startswith("engine"))
        roles = {**await control_roles(cluster), "head agent": head}

        async def send(number: int) -> CallerOutcome:
            return await caller.complete(MODEL, f"prompt {number}", tokens, is_streamed=True)

        usages, answered_rate = await _measure_under_load(cluster, roles, rate, send)
        sizes = {"requests": answered_rate, "tokens": answered_rate * tokens}
        for role, usage in usages.items():
            emit("completions", role, sizes, usage)
    finally:
        cluster.stop()


async def measure_orders(folder: Path, rate: float, emit: Emit) -> None:
    """Emit the usage of an entry and the control instances at ``rate`` orders per second."""
    cluster = await _start_cluster(folder)
    try:
        caller = Caller(cluster.entries[0], ACCOUNT_KEY)

        async def send(number: int) -> CallerOutcome:
            return await caller.order(SERVICE, "orders", f"order {number}", f"key-{number}")

        roles = await control_roles(cluster)
        usages, answered_rate = await _measure_under_load(cluster, roles, rate, send)
        for role, usage in usages.items():
            emit("orders", role, {"orders": answered_rate}, usage)
    finally:
        cluster.stop()


async def _start_cluster(folder: Path) -> Cluster:
    plan = ClusterPlan(
        domains=1,
        entries=1,
        engines=ENGINE_COUNT,
        services={SERVICE: 1},
        engine_options=ENGINE_OPTIONS,
    )
    text = configuration_text() + "[ordinary]\ntarget_concurrency = 64\n"
    cluster = Cluster(folder, plan, text, hash_key(OPERATOR_TOKEN))
    cluster.start()
    try:
        await wait_for_groups(cluster, GROUP_COUNT)
    except BaseException:
        cluster.stop()
        raise
    return cluster


async def _measure_under_load(
    cluster: Cluster,
    roles: dict[str, str],
    rate: float,
    send: Callable[[int], Awaitable[CallerOutcome]],
) -> tuple[dict[str, dict[str, float]], float]:
    """Return the usage of ``roles`` over a window, and the answered requests per second."""
    pending = []
    started_at = monotonic()
    number = 0
    meter = None
    while monotonic() < started_at + WARM_UP_TIME + MEASUREMENT_WINDOW:
        if meter is None and monotonic() >= started_at + WARM_UP_TIME:
            meter = await Meter.start(cluster, roles)
            first_measured = number
        if rate:
            pending.append(create_task(_send(send, number)))
            number += 1
        await sleep(max(started_at + number / rate - monotonic(), 0) if rate else 0.1)
    assert meter is not None
    usages = await meter.read()
    outcomes = await gather(*pending)
    assert all(outcome.is_complete for outcome in outcomes), "an answer is incomplete"
    return usages, (number - first_measured) / MEASUREMENT_WINDOW


async def _send(send: Callable[[int], Awaitable[CallerOutcome]], number: int) -> CallerOutcome:
    return await send(number)
