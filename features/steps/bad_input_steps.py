"""Steps that send what no proper caller sends."""

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
WAIT = 60.0
BODY_LIMIT = 4 << 20
HEADER_FLOOD = 256 << 10
LONG = 5000
LONG_COMPLETION = 20_000
SLOW_READ_TIME = 6.0
WIDE_TOKEN_TIME = 0.2
MEBIBYTE = 1 << 20
COMPLETIONS = "/v1/completions"
ORDERS = f"/services/{SERVICE}/orders"
BODY = b'{"model": "assistant", "prompt": "x", "max_tokens": %s}'
GOOD = BODY % b"5"

Parts = tuple[str, str, bytes | None, dict[str, str]]
MALFORMED: dict[str, Parts] = {
    "a body that is not JSON": ("POST", COMPLETIONS, b"{{{", {}),
    "a body that is not UTF-8": ("POST", COMPLETIONS, b'{"model": "\xff\xfe"}', {}),
    "a body of another shape": ("POST", COMPLETIONS, b'{"model": 7}', {}),
    "an absurd max_tokens": ("POST", COMPLETIONS, BODY % b"999999999999", {}),
    "a negative max_tokens": ("POST", COMPLETIONS, BODY % b"-1", {}),
    "an unknown model": ("POST", COMPLETIONS, b'{"model": "other"}', {}),
    "an unknown path": ("GET", "/nowhere", None, {}),
    "an unknown service": ("POST", "/services/nothing/orders", b"x", {}),
    "a method that is not allowed": ("DELETE", COMPLETIONS, None, {}),
    "a body above the limit": ("POST", ORDERS, b"x" * (BODY_LIMIT + 1), {}),
    "a timeout that is not a number": ("POST", ORDERS, b"x", {"X-Request-Timeout": "soon"}),
    "a timeout of NaN": ("POST", ORDERS, b"x", {"X-Request-Timeout": "nan"}),
    "a timeout of infinity": ("POST", ORDERS, b"x", {"X-Request-Timeout": "inf"}),
    "a timeout of 1e300 s": ("POST", ORDERS, b"x", {"X-Request-Timeout": "1e300"}),
    "a negative timeout": ("POST", ORDERS, b"x", {"X-Request-Timeout": "-1"}),
    "a key of 5000 characters": ("POST", ORDERS, b"x", {"Idempotency-Key": "k" * LONG}),
    "a kind of 5000 characters": ("POST", ORDERS, b"x", {"X-Request-Kind": "k" * LONG}),
    "a wrong bearer key": ("POST", ORDERS, b"x", {"Authorization": "Bearer wrong"}),
    "no bearer key": ("POST", ORDERS, b"x", {"Authorization": ""}),
    "a header block above the limit": ("POST", ORDERS, b"x", {"X-Flood": "f" * HEADER_FLOOD}),
}


@given("a small deployment with an order service")
def step_small(context: Context) -> None:
    start_small(context, 32, 0.002)


@given("a small deployment whose engine serves {number:d} requests at once")
def step_wide(context: Context, number: int) -> None:
    start_small(context, number, WIDE_TOKEN_TIME)


@then("{number:d} streamed completions of {tokens:d} tokens at once are all whole")
def step_many(context: Context, number: int, tokens: int) -> None:
    async def send() -> list[CallerOutcome]:
        calls = [
            context.caller.complete(MODEL, f"stream {item}", tokens, is_streamed=True, timeout=WAIT)
            for item in range(number)
        ]
        return list(await gather(*calls))

    torn = [item for item in context.runner.run(send()) if not item.is_complete]
    assert not torn, f"{len(torn)} of {number}, the first: {torn[0]}"
    kinds = [line.what for line in read_ledger(context.cluster.ledger)]
    kinds = kinds[: kinds.index("end")]
    assert kinds.count("start") == number, f"{kinds.count('start')} were open at once"


def start_small(context: Context, concurrency: int, token_time: float) -> None:
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
        # The engine really has that many slots; the limit is not what these scenarios look at.
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

    context.runner.run(wait_for_groups(cluster, 1, WAIT))
    # The client belongs to the loop that is current when it is made.
    context.caller = Caller(cluster.entries[0], KEY)
    context.runner.run(wait_until(is_service_up, WAIT, "the service answers"))
    context.memory = memory_of(cluster)


@when("these malformed requests are sent")
def step_malformed(context: Context) -> None:
    context.wrong = []
    for row in context.table:
        expected = (int(row["status"]), row["code"], row["outcome"])
        found = context.runner.run(send_malformed(context.cluster.entries[0], row["request"]))
        if found != expected:
            context.wrong.append(f"{row['request']}: {found}, not {expected}")


@then("each got its refusal")
def step_refused(context: Context) -> None:
    assert not context.wrong, "\n".join(context.wrong)


@then("the ledger holds no run")
def step_no_run(context: Context) -> None:
    lines = [line for line in read_ledger(context.cluster.ledger) if line.what == "start"]
    assert not lines, lines


@then("the entry's memory has grown by less than {size:d} MiB")
def step_memory(context: Context, size: int) -> None:
    grown = (memory_of(context.cluster) - context.memory) / MEBIBYTE
    assert grown < size, f"grown by {grown:.1f} MiB"


@when("an order is sent, then another body under its key, then its key by another account")
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


@then("the first and the third ran, each once")
def step_first_third(context: Context) -> None:
    assert context.outcomes[0].is_complete and context.outcomes[2].is_complete, context.outcomes
    assert orders_run(context) == ["first", "third"], orders_run(context)


@when("an order's answer is larger than the agent's limit")
def step_large(context: Context) -> None:
    context.outcome = context.runner.run(
        context.caller.order(SERVICE, "orders?size=20000000", "large", "key-large")
    )


@then("it is refused with outcome {outcome} and runs once")
def step_large_refused(context: Context, outcome: str) -> None:
    assert context.outcome.outcome == outcome, context.outcome
    assert orders_run(context) == ["large"], orders_run(context)


@then("a resend of it is refused with outcome {outcome} and runs nothing")
def step_large_resent(context: Context, outcome: str) -> None:
    step_large(context)
    step_large_refused(context, outcome)


@when("a caller leaves in the middle of a long streamed completion")
def step_leave(context: Context) -> None:
    async def leave() -> None:
        stream = await open_completion(context.cluster.entries[0])
        await stream.read_until(b"data: ")
        stream.close()
        await sleep(0.1)

    context.runner.run(leave())


@then("the engine records that it was cancelled")
def step_cancelled(context: Context) -> None:
    async def is_cancelled() -> bool:
        return any(line.what == "cancel" for line in read_ledger(context.cluster.ledger))

    context.runner.run(wait_until(is_cancelled, WAIT, "the engine has cancelled"))


@when("{number:d} callers ask for long streamed completions and do not read")
def step_slow(context: Context, number: int) -> None:
    async def open_all() -> list[IOStream]:
        entry = context.cluster.entries[0]
        streams = await gather(*(create_task(open_completion(entry)) for _ in range(number)))
        await sleep(SLOW_READ_TIME)
        return streams

    context.streams = context.runner.run(open_all())


async def open_completion(entry: str) -> IOStream:
    """Ask for a long streamed completion over a raw connection with a small receive buffer."""
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    stream = IOStream(raw)
    host, _, port = entry.rpartition(":")
    await stream.connect((host, int(port)))
    body = msgspec.json.encode(
        {"model": MODEL, "prompt": "x", "max_tokens": LONG_COMPLETION, "stream": True}
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
    """Send a body without a length until the entry answers."""
    stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    host, _, port = entry.rpartition(":")
    await stream.connect((host, int(port)))
    head = f"POST {ORDERS} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    await stream.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
    part = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    answer = stream.read_until(b"}")
    try:
        for _ in range(4 * BODY_LIMIT // 0x10000):
            if answer.done():
                break
            await stream.write(part)
    except StreamClosedError:
        pass
    head_bytes, _, problem_bytes = (await answer).partition(b"\r\n\r\n")
    problem = msgspec.json.decode(problem_bytes)
    return int(head_bytes.split()[1]), problem["title"], problem["outcome"]


def orders_run(context: Context) -> list[str]:
    lines = read_ledger(context.cluster.ledger)
    return [line.order for line in lines if line.what == "start" and line.order]


def memory_of(cluster: Cluster) -> float:
    process = cluster.processes["entry-1"].pid
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return float(pages * os.sysconf("SC_PAGE_SIZE"))
