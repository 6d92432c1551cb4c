"""Steps on the administration API and the command line of a running deployment."""

import subprocess
import sys
from asyncio import gather, to_thread

import msgspec
from behave import given, then
from behave.runner import Context
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from jaylatch_standins.caller import Caller
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    configuration_text,
    hash_key,
    wait_for_groups,
)

ROLES = {"reader": "read", "operator": "operate", "admin": "administer"}
ROTATED_KEY = "key-rotated"
COMMAND_TIMEOUT_SECONDS = 60


@given("a deployment with operators of every role")
def step_deployment(context: Context) -> None:
    plan = ClusterPlan(controls=1, domains=1)
    cluster = Cluster(context.folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    operators = [
        {"name": name, "token_hash": hash_key(name), "role": role} for name, role in ROLES.items()
    ]
    for name, node in cluster.nodes.items():
        if name.startswith("entry"):
            with node.edited_settings() as settings:
                settings["entry"]["operators"] = operators
    context.cluster = cluster
    cluster.start()
    context.runner.run(wait_for_groups(cluster, 1))
    (context.folder / "good.toml").write_text(configuration_text() + "[peak]\nqueue_limit = 99\n")
    (context.folder / "bad.toml").write_text("models = 3")


async def send(
    entry: str, operator: str, request: str, generation: str, body: bytes, command: str = ""
) -> HTTPResponse:
    method, path = request.split()
    headers = {"Authorization": f"Bearer {operator}"}
    headers |= {"X-Expected-Generation": generation} if generation else {}
    headers |= {"X-Command-Id": command} if command else {}
    return await AsyncHTTPClient().fetch(
        HTTPRequest(
            f"http://{entry}/admin/v1/{path}",
            method=method,
            headers=headers,
            body=body if method == "PUT" else None,
        ),
        raise_error=False,
    )


@then("these administration requests are answered as listed")
def step_requests(context: Context) -> None:
    mismatches = []
    for row in context.table:
        body = row["body"].encode().decode("unicode_escape").encode("latin-1")
        entry = context.cluster.entries[0]
        response = context.runner.run(
            send(entry, row["operator"], row["request"], row["generation"], body)
        )
        kind = msgspec.json.decode(response.body).get("type", "")
        if (str(response.code), kind) != (row["status"], row["type"]):
            mismatches.append(f"{row}: {response.code} {response.body!r}")
    assert not mismatches, mismatches


@then(
    "two operators who race through two entries with equal expected generations"
    " get consistent answers"
)
def step_race(context: Context) -> None:
    for row in context.table:
        context.runner.run(race(context, row["change"]))


async def race(context: Context, change: str) -> None:
    entries = context.cluster.entries
    generation = "1" if change == "configuration" else "0"
    document = configuration_text().encode()
    body = document if change == "configuration" else b'{"preset": "peak"}'

    async def attempt(entry: str, name: str) -> HTTPResponse:
        command = f"{change}-{name}"
        return await send(entry, name, f"PUT {change}", generation, body, command)

    names = ("admin", OPERATOR_TOKEN)
    first = await gather(*(attempt(*pair) for pair in zip(entries, names, strict=True)))
    resent = await gather(*(attempt(*pair) for pair in zip(entries[::-1], names, strict=True)))
    assert sorted(response.code for response in first) == [200, 409], first
    winner = names[[response.code for response in first].index(200)]
    refusal = next(response for response in first if response.code == 409)
    winning_change = msgspec.json.decode(refusal.body)["won"]
    assert ("admin" if winner == "admin" else "operator") in winning_change, winning_change
    assert [item.body for item in resent] == [item.body for item in first], (first, resent)


def run_command(context: Context, arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "jaylatch_cli.main", "--token", "admin"]
    command += ["--address", context.cluster.entries[1], *arguments.split()]
    return subprocess.run(
        command,
        cwd=context.folder,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_SECONDS,
        check=False,
    )


@then("these commands exit as listed")
def step_commands(context: Context) -> None:
    mismatches = []
    for row in context.table:
        completed = run_command(context, row["command"])
        if completed.returncode != int(row["code"]) or row["output"] not in completed.stdout:
            mismatches.append(f"{row['command']}: {completed}")
    assert not mismatches, mismatches


@then("a key is rotated under load without a refused request")
def step_rotation(context: Context) -> None:
    outcomes = context.runner.run(rotate(context))
    assert outcomes
    assert all(outcome.is_complete for outcome in outcomes), outcomes


async def rotate(context: Context) -> list[object]:
    """Rotate the key in the documented order, add then remove, while callers use it."""
    old = Caller(context.cluster.entries[0], ACCOUNT_KEYS["skarvik"])
    new = Caller(context.cluster.entries[0], ROTATED_KEY)

    async def command(action: str, key: str) -> None:
        arguments = f"account {action} skarvik --key-hash {hash_key(key)} --wait"
        completed = await to_thread(run_command, context, arguments)
        assert completed.returncode == 0, completed

    async def call_during(caller: Caller, action: str, key: str) -> list[object]:
        change = command(action, key)
        calls = [
            caller.complete(MODEL, f"{action} {number}", 5, is_streamed=False)
            for number in range(8)
        ]
        return list((await gather(change, *calls))[1:])

    outcomes = await call_during(old, "add-key", ROTATED_KEY)
    outcomes += await call_during(new, "remove-key", ACCOUNT_KEYS["skarvik"])
    refused = await old.complete(MODEL, "old key", 5, is_streamed=False)
    assert refused.status == 401, refused
    return outcomes
