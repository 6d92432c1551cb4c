"""Steps on the standard output and the metrics address of a process."""

import json
import subprocess
import sys
from http.client import HTTPConnection
from time import monotonic, sleep

from behave import given, then, use_step_matcher, when
from behave.runner import Context

from jaylatch_core.settings import split_address
from jaylatch_standins.ports import free_addresses

START_TIMEOUT = 30.0
"""Seconds."""
POLL_INTERVAL = 0.1
"""Seconds between two attempts to connect."""

use_step_matcher("re")


@given("a settings file of a control process with a metrics address")
def step_settings_with_metrics(context: Context) -> None:
    stream, context.metrics_address = free_addresses(2)
    context.settings = context.folder / "node.toml"
    context.settings.write_text(
        f'stream = "{stream}"\nroles = ["control"]\nmetrics = "{context.metrics_address}"\n'
        f'[control]\npeers = [{{instance = "instance-1", address = "{stream}"}}]\n'
        "[log]\nevents = true\n"
    )


@when(r"the process runs and its metrics address is asked for (?P<path>\S+)")
def step_ask_metrics(context: Context, path: str) -> None:
    command = [sys.executable, "-m", "jaylatch_node.daemon", "--config", str(context.settings)]
    process = subprocess.Popen(
        command, cwd=context.folder, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )
    try:
        context.status, context.body = _get(context.metrics_address, path)
    finally:
        process.terminate()
        context.output, context.errors = process.communicate(timeout=START_TIMEOUT)


@then(r"the answer is (?P<status>\d+) and has the counters of its connections")
def step_metrics_answer(context: Context, status: str) -> None:
    assert context.status == int(status), context.status
    for name in ("jaylatch_stream_sent_bytes_total", "jaylatch_stream_received_messages_total"):
        assert f"\n{name} " in context.body, context.body


@then(r"the answer is (?P<status>\d+) and is empty")
def step_empty_answer(context: Context, status: str) -> None:
    assert (context.status, context.body) == (int(status), "")


@then("standard output has only JSON lines, and standard error is empty")
def step_json_output(context: Context) -> None:
    lines = [json.loads(line) for line in context.output.splitlines()]
    assert any(line["message"] for line in lines), context.output
    assert not context.errors, context.errors


def _get(address: str, path: str) -> tuple[int, str]:
    """Return status and body, as soon as the process accepts connections."""
    host, port = split_address(address)
    until = monotonic() + START_TIMEOUT
    while True:
        connection = HTTPConnection(host, port, timeout=START_TIMEOUT)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except ConnectionRefusedError:
            if monotonic() > until:
                raise
            sleep(POLL_INTERVAL)
        finally:
            connection.close()
