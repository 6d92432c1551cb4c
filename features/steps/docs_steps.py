"""Steps that hold the documentation against the code."""

import re
import subprocess
import sys
from pathlib import Path

from behave import then, when
from behave.runner import Context

ROOT = Path(__file__).resolve().parents[2]
LINK = re.compile(r"\]\((?!https?://)([^)#]+)")
TIMEOUT = 300.0


@when('the tool "{command}" is run')
def step_tool(context: Context, command: str) -> None:
    context.done = subprocess.run(
        [sys.executable, *command.split()],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT,
        check=False,
    )


@then("it ends without a fault")
def step_no_fault(context: Context) -> None:
    done = context.done
    assert done.returncode == 0, f"{done.stdout[-4000:]}\n{done.stderr[-4000:]}"


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
