"""Steps that check the documentation against the code."""

import re
import subprocess
import sys
from pathlib import Path

from behave import then, when
from behave.runner import Context

ROOT = Path(__file__).resolve().parents[2]
LINK = re.compile(r"\]\((?!https?://)([^)#]+)")
TOOL_TIMEOUT = 600.0
"""Seconds."""


@when('the tool "{command}" is run')
def step_tool(context: Context, command: str) -> None:
    context.completed = subprocess.run(
        [sys.executable, *command.split()],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TOOL_TIMEOUT,
        check=False,
    )


@then("it exits with 0")
def step_exit_code(context: Context) -> None:
    completed = context.completed
    assert completed.returncode == 0, f"{completed.stdout[-4000:]}\n{completed.stderr[-4000:]}"


@then("no page has a broken link")
def step_links(context: Context) -> None:
    pages = [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
    broken = [
        f"{page.relative_to(ROOT)}: {link}"
        for page in pages
        for link in LINK.findall(page.read_text())
        if not (page.parent / link).exists()
    ]
    assert not broken, broken
