"""Steps that test the harness: its addresses, and processes that do not start."""

import socket
import subprocess
import sys
from pathlib import Path
from time import monotonic

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import GatewayHarness

from jaylatch_core.settings import ControlSettings
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import configuration_text, hash_key, wait_for_groups
from jaylatch_standins.ports import LOOPBACK, free_addresses

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
START_TIMEOUT = 30.0
"""Seconds."""

use_step_matcher("re")


@when(r"(?P<calls>\d+) times (?P<number>\d+) free addresses are asked for")
def step_ask_addresses(context: Context, calls: str, number: str) -> None:
    context.addresses = [item for _ in range(int(calls)) for item in free_addresses(int(number))]


@then(r"they are all distinct and below the kernel's ephemeral ports")
def step_addresses_distinct(context: Context) -> None:
    assert len(set(context.addresses)) == len(context.addresses)
    lowest = int(EPHEMERAL_RANGE.read_text().split()[0])
    ports = [int(address.rpartition(":")[2]) for address in context.addresses]
    assert max(ports) < lowest, (max(ports), lowest)


@given(r"a settings file whose stream address is in use")
def step_taken_address(context: Context) -> None:
    context.taken_address = _take_address(context)
    settings = context.folder / "node.toml"
    settings.write_text(
        f'stream = "{context.taken_address}"\nroles = ["control"]\n'
        f'[control]\npeers = [{{instance = "instance-1", address = "{context.taken_address}"}}]\n'
    )
    context.settings = settings


@when(r"the daemon is started with it")
def step_start_daemon(context: Context) -> None:
    command = [sys.executable, "-m", "jaylatch_node.daemon", "--config", str(context.settings)]
    context.completed = subprocess.run(
        command,
        cwd=context.folder,
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT,
        check=False,
    )


@then(r"it ends with exit code (?P<code>\d+) and names the address, the setting and a hint")
def step_bind_error(context: Context, code: str) -> None:
    completed = context.completed
    assert completed.returncode == int(code), (completed.returncode, completed.stderr)
    for expected in (context.taken_address, "stream", "hint:"):
        assert expected in completed.stderr, completed.stderr
    assert "Traceback" not in completed.stderr, completed.stderr


@given(r"a cluster in which the address of control-1 is in use")
def step_cluster_taken_address(context: Context) -> None:
    plan = ClusterPlan(controls=1, entries=1, domains=1, engines=0)
    context.cluster = Cluster(context.folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    host, _, port = context.cluster.nodes["control-1"].stream.rpartition(":")
    context.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    context.listener.bind((host, int(port)))
    context.listener.listen()
    context.cluster.start()


@when(r"the harness waits for it for up to 60 s")
def step_wait(context: Context) -> None:
    started_at = monotonic()
    context.error = None
    try:
        context.runner.run(wait_for_groups(context.cluster, 1, 60.0))
    except (RuntimeError, TimeoutError) as error:
        context.error = error
    context.wait_duration = monotonic() - started_at
    context.listener.close()


@then(r"the wait fails within 10 s and shows the log of control-1")
def step_wait_fails(context: Context) -> None:
    assert context.wait_duration < 10.0, context.wait_duration
    assert "control-1" in str(context.error) and "address" in str(context.error), context.error


@when(r"the gateway harness is created")
def step_gateway_harness(context: Context) -> None:
    async def create() -> None:
        context.harness = GatewayHarness()

    context.runner.run(create())


@then(r"it knows no control instance at an address of the default settings")
def step_no_default_peer(context: Context) -> None:
    default = {peer.address for peer in ControlSettings().peers}
    assert not default & set(context.harness.client.addresses), context.harness.client.addresses


def _take_address(context: Context) -> str:
    context.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    context.listener.bind((LOOPBACK, 0))
    context.listener.listen()
    return f"{LOOPBACK}:{context.listener.getsockname()[1]}"
