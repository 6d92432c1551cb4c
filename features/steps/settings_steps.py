"""Steps that check settings files and configuration documents."""

import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful

from jaylatch_core.checks import Level, run_checks
from jaylatch_core.settings import load_settings

ROOT = Path(__file__).resolve().parents[2]
EXAMPLES = ROOT / "examples"
SEPARATOR = "; "


def run_module(folder: Path, module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", module, *arguments]
    return subprocess.run(
        command, cwd=folder, capture_output=True, text=True, timeout=60, check=False
    )


@given("a settings file with {lines}")
def step_settings_file(context: Context, lines: str) -> None:
    context.document = context.folder / "node.toml"
    context.document.write_text("\n".join(lines.split(SEPARATOR)) + "\n")


@given("a settings file that nests {depth:d} lists")
def step_nested_settings(context: Context, depth: int) -> None:
    context.document = context.folder / "node.toml"
    context.document.write_text(f"roles = {'[' * depth}{']' * depth}\n")


@given("a configuration document with {lines}")
def step_configuration_document(context: Context, lines: str) -> None:
    context.document = context.folder / "configuration.toml"
    context.document.write_text("\n".join(lines.split(SEPARATOR)) + "\n")


@when("the settings are checked")
def step_check_settings(context: Context) -> None:
    loaded = load_settings(context.document)
    if is_successful(loaded):
        found = run_checks(loaded.unwrap())
    else:
        found = list(loaded.failure().findings)
    context.findings = [item for item in found if item.level >= Level.ERROR]


@when("the configuration is checked by the command line")
def step_check_configuration(context: Context) -> None:
    context.completed = run_module(
        context.folder, "jaylatch_cli.main", "checks", "--configuration", str(context.document)
    )


@then("there is exactly one finding, {identifier} on {subject}")
def step_one_finding(context: Context, identifier: str, subject: str) -> None:
    found = [(item.id, item.subject) for item in context.findings]
    assert found == [(identifier, subject)], context.findings


@then("the finding's text names line {line:d}")
def step_finding_line(context: Context, line: int) -> None:
    assert f"line {line}" in context.findings[0].text, context.findings


@then("there are {number:d} findings, each with a hint")
def step_findings(context: Context, number: int) -> None:
    assert len(context.findings) == number, context.findings
    assert all(item.hint for item in context.findings), context.findings


@then("the daemon refuses the same file with exit code {code:d} and all {number:d} findings")
def step_daemon_refuses(context: Context, code: int, number: int) -> None:
    completed = run_module(
        context.folder, "jaylatch_node.daemon", "--check", "--config", str(context.document)
    )
    assert completed.returncode == code, completed
    assert completed.stderr.count("ERROR ") == number, completed.stderr


@then("the command exits with {code:d} and names {number:d} findings")
def step_command_findings(context: Context, code: int, number: int) -> None:
    assert context.completed.returncode == code, context.completed
    assert context.completed.stderr.count("ERROR ") == number, context.completed.stderr


@then("the command line accepts the example {file} as {kind}")
def step_example(context: Context, file: str, kind: str) -> None:
    completed = run_module(ROOT, "jaylatch_cli.main", "checks", f"--{kind}", str(EXAMPLES / file))
    assert completed.returncode == 0, completed
    assert not completed.stderr, completed.stderr
