"""Steps that send malformed requests or misbehave as a caller."""

import os
import socket
from asyncio import create_task, gather, sleep
from pathlib import Path

import msgspec
from behave import given, then, when
from behave.runner import Context
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.iostream import IOStream, StreamClosedError

from jaylatch_standins.caller import Caller, CallerOutcome
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    SERVICE,
    configuration_text,
    hash_key,
    wait_for_groups,
    wait_until,
)
from jaylatch_standins.ledger import read_ledger

KEY = ACCOUNT_KEYS["skarvik"]
WAIT_SECONDS = 60.0
BODY_LIMIT_BYTES = 4 << 20
OVERSIZED_HEADER_BYTES = 256 << 10
LONG_VALUE_LENGTH = 5000
LONG_COMPLETION_TOKENS = 20_000
SLOW_READ_SECONDS = 6.0
SLOW_TOKEN_SECONDS = 0.2
MEBIBYTE = 1 << 20
COMPLETIONS = "/v1/completions"
ORDERS = f"/services/{SERVICE}/orders"
COMPLETION_BODY = b'{"model": "assistant", "prompt": "x", "max_tokens": %s}'
VALID_COMPLETION_BODY = COMPLETION_BODY % b"5"

RequestParts = tuple[str, str, bytes | None, dict[str, str]]
MALFORMED: dict[str, RequestParts] = {
    "a body that is not JSON": ("POST", COMPLETIONS, b"{{{", {}),
    "a body that is not UTF-8": ("POST", COMPLETIONS, b'{"model": "\xff\xfe"}', {}),
    "a body of the wrong shape": ("POST", COMPLETIONS, b'{"model": 7}', {}),
    "a deeply nested body": (
        "POST",
        COMPLETIONS,
        b'{"model": "assistant", "other": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        {},
    ),
    "an excessive max_tokens": ("POST", COMPLETIONS, COMPLETION_BODY % b"999999999999", {}),
    "a negative max_tokens": ("POST", COMPLETIONS, COMPLETION_BODY % b"-1", {}),
    "an unknown model": ("POST", COMPLETIONS, b'{"model": "other"}', {}),
    "an unknown path": ("GET", "/nowhere", None, {}),
    "an unknown service": ("POST", "/services/nothing/orders", b"x", {}),
    "a method that is not allowed": ("DELETE", COMPLETIONS, None, {}),
    "a body above the limit": ("POST", ORDERS, b"x" * (BODY_LIMIT_BYTES + 1), {}),
    "a timeout that is not a number": ("POST", ORDERS, b"x", {"X-Request-Timeout": "soon"}),
    "a timeout of NaN": ("POST", ORDERS, b"x", {"X-Request-Timeout": "nan"}),
    "a timeout of infinity": ("POST", ORDERS, b"x", {"X-Request-Timeout": "inf"}),
    "a timeout of 1e300 s": ("POST", ORDERS, b"x", {"X-Request-Timeout": "1e300"}),
    "a negative timeout": ("POST", ORDERS, b"x", {"X-Request-Timeout": "-1"}),
    "a key of 5000 characters": (
        "POST",
        ORDERS,
        b"x",
        {"Idempotency-Key": "k" * LONG_VALUE_LENGTH},
    ),
    "a kind of 5000 characters": (
        "POST",
        ORDERS,
        b"x",
        {"X-Request-Kind": "k" * LONG_VALUE_LENGTH},
    ),
    "a wrong bearer key": ("POST", ORDERS, b"x", {"Authorization": "Bearer wrong"}),
    "no bearer key": ("POST", ORDERS, b"x", {"Authorization": ""}),
    "a header block above the limit": (
        "POST",
        ORDERS,
        b"x",
        {"X-Flood": "f" * OVERSIZED_HEADER_BYTES},
    ),
}


@given("a small deployment with an order service")
def step_small(context: Context) -> None:
    start_deployment(context, 32, 0.002)


@given("a small deployment whose engine serves {number:d} requests at once")
def step_concurrent(context: Context, number: int) -> None:
    start_deployment(context, number, SLOW_TOKEN_SECONDS)


@then("{number:d} streamed completions of {tokens:d} tokens at once are all complete")
def step_many(context: Context, number: int, tokens: int) -> None:
    async def send() -> list[CallerOutcome]:
        calls = [
            context.caller.complete(
                MODEL, f"stream {item}", tokens, is_streamed=True, timeout=WAIT_SECONDS
            )
            for item in range(number)
        ]
        return list(await gather(*calls))

    incomplete = [item for item in context.runner.run(send()) if not item.is_complete]
    assert (
        not incomplete
    ), f"{len(incomplete)} of {number} are incomplete, the first: {incomplete[0]}"
    kinds = [line.what for line in read_ledger(context.cluster.ledger)]
    kinds = kinds[: kinds.index("end")]
    assert kinds.count("start") == number, f"{kinds.count('start')} were open at once"


def start_deployment(context: Context, concurrency: int, token_time: float) -> None:
    plan = ClusterPlan(
        controls=1,
        entries=1,
        domains=1,
        engines=1,
        services={SERVICE: 1},
        engine_options=(
            *("--token-time", str(token_time)),
            *("--load-time", "0.3", "--slots", str(concurrency)),
        ),
        service_options=("--order-time", "0"),
        # The engine has that many slots; these scenarios do not test the adaptive limit.
        adapts_limit=False,
    )
    text = configuration_text(instances_per_group=1) + (
        f"[ordinary]\nspares_per_domain = 0\ntarget_concurrency = {concurrency}\n"
    )
    cluster = Cluster(context.folder, plan, text, hash_key(OPERATOR_TOKEN))
    context.cluster = cluster
    cluster.start()

    async def is_service_up() -> bool:
        return (await context.caller.read(SERVICE, "stock/blades", 2.0)).status == 200

    context.runner.run(wait_for_groups(cluster, 1, WAIT_SECONDS))
    # The HTTP client binds to the event loop that is current at its creation.
    context.caller = Caller(cluster.entries[0], KEY)
    context.runner.run(wait_until(is_service_up, WAIT_SECONDS, "the service answers"))
    context.memory = resident_memory_bytes(cluster)


@when("these malformed requests are sent")
def step_malformed(context: Context) -> None:
    context.mismatches = []
    for row in context.table:
        expected = (int(row["status"]), row["code"], row["outcome"])
        found = context.runner.run(send_malformed(context.cluster.entries[0], row["request"]))
        if found != expected:
            context.mismatches.append(f"{row['request']}: {found}, not {expected}")


@then("each is refused as listed")
def step_refused(context: Context) -> None:
    assert not context.mismatches, "\n".join(context.mismatches)


@then("the ledger holds no run")
def step_no_run(context: Context) -> None:
    lines = [line for line in read_ledger(context.cluster.ledger) if line.what == "start"]
    assert not lines, lines


@then("the entry's memory has grown by less than {size:d} MiB")
def step_memory(context: Context, size: int) -> None:
    grown = (resident_memory_bytes(context.cluster) - context.memory) / MEBIBYTE
    assert grown < size, f"memory has grown by {grown:.1f} MiB"


@when("an order is sent, and its key is reused with another body and then by another account")
def step_keys(context: Context) -> None:
    other = Caller(context.cluster.entries[0], ACCOUNT_KEYS["nammi"])

    async def send() -> list[object]:
        return [
            await context.caller.order(SERVICE, "orders", "first", "key"),
            await context.caller.order(SERVICE, "orders", "second", "key"),
            await other.order(SERVICE, "orders", "third", "key"),
        ]

    context.outcomes = context.runner.run(send())


@then("the second is refused as {code} with outcome {outcome}")
def step_second(context: Context, code: str, outcome: str) -> None:
    second = context.outcomes[1]
    assert (second.code, second.outcome) == (code, outcome), second


@then("the first and the third each ran once")
def step_first_third(context: Context) -> None:
    assert context.outcomes[0].is_complete and context.outcomes[2].is_complete, context.outcomes
    assert started_orders(context) == ["first", "third"], started_orders(context)


@when("an order's answer is larger than the agent's limit")
def step_large(context: Context) -> None:
    context.outcome = context.runner.run(
        context.caller.order(SERVICE, "orders?size=20000000", "large", "key-large")
    )


@then("it is refused with outcome {outcome} and runs once")
def step_large_refused(context: Context, outcome: str) -> None:
    assert context.outcome.outcome == outcome, context.outcome
    assert started_orders(context) == ["large"], started_orders(context)


@then("a resend of it is refused with outcome {outcome} and runs nothing")
def step_large_resent(context: Context, outcome: str) -> None:
    step_large(context)
    step_large_refused(context, outcome)


@when("a caller disconnects during a long streamed completion")
def step_disconnect(context: Context) -> None:
    async def disconnect() -> None:
        stream = await open_completion(context.cluster.entries[0])
        await stream.read_until(b"data: ")
        stream.close()
        await sleep(0.1)

    context.runner.run(disconnect())


@then("the engine records that it was cancelled")
def step_cancelled(context: Context) -> None:
    async def is_cancelled() -> bool:
        return any(line.what == "cancel" for line in read_ledger(context.cluster.ledger))

    context.runner.run(wait_until(is_cancelled, WAIT_SECONDS, "the engine has cancelled"))


@when("{number:d} callers request long streamed completions and do not read")
def step_slow(context: Context, number: int) -> None:
    async def open_all() -> list[IOStream]:
        entry = context.cluster.entries[0]
        streams = await gather(*(create_task(open_completion(entry)) for _ in range(number)))
        await sleep(SLOW_READ_SECONDS)
        return streams

    context.streams = context.runner.run(open_all())


async def open_completion(entry: str) -> IOStream:
    """Request a long streamed completion over a raw connection with a small receive buffer."""
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    stream = IOStream(raw)
    host, _, port = entry.rpartition(":")
    await stream.connect((host, int(port)))
    body = msgspec.json.encode(
        {"model": MODEL, "prompt": "x", "max_tokens": LONG_COMPLETION_TOKENS, "stream": True}
    )
    head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    head += f"X-Request-Timeout: 60\r\nContent-Length: {len(body)}\r\n\r\n"
    await stream.write(head.encode() + body)
    return stream


async def send_malformed(entry: str, name: str) -> tuple[int, str, str]:
    if name == "a chunked body above the limit":
        return await send_chunked(entry)
    method, path, body, headers = MALFORMED[name]
    request = HTTPRequest(
        f"http://{entry}{path}",
        method=method,
        body=body,
        headers={"Authorization": f"Bearer {KEY}", "Expect": "", **headers},
        allow_nonstandard_methods=True,
    )
    try:
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
    except HTTPClientError:
        return 0, "", ""
    assert response.headers["Content-Type"] == "application/problem+json", response.headers
    problem = msgspec.json.decode(response.body)
    return response.code, problem["title"], problem["outcome"]


async def send_chunked(entry: str) -> tuple[int, str, str]:
    """Send a chunked body until the entry answers."""
    stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    host, _, port = entry.rpartition(":")
    await stream.connect((host, int(port)))
    head = f"POST {ORDERS} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    await stream.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
    part = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    answer = stream.read_until(b"}")
    try:
        for _ in range(4 * BODY_LIMIT_BYTES // 0x10000):
            if answer.done():
                break
            await stream.write(part)
    except StreamClosedError:
        pass
    head_bytes, _, problem_bytes = (await answer).partition(b"\r\n\r\n")
    problem = msgspec.json.decode(problem_bytes)
    return int(head_bytes.split()[1]), problem["title"], problem["outcome"]


def started_orders(context: Context) -> list[str]:
    lines = read_ledger(context.cluster.ledger)
    return [line.order for line in lines if line.what == "start" and line.order]


def resident_memory_bytes(cluster: Cluster) -> float:
    process = cluster.processes["entry-1"].pid
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return float(pages * os.sysconf("SC_PAGE_SIZE"))
