"""Runs the commands of documentation pages as they are written.

Every ``sh`` block of a page is run, one after the other in one shell that stops at the first
failure. A block that needs more than this machine, or hours, stands after a line
``<!-- not run: REASON -->`` and is skipped. The shell works in a folder that links to the project,
so that what the commands write does not stay. The pages name fixed ports, so only one page runs at
a time on a machine, also if several checkouts are tested at once.
"""

import fcntl
import re
import subprocess
import sys
from argparse import ArgumentParser
from pathlib import Path
from tempfile import TemporaryDirectory, gettempdir

ROOT = Path(__file__).resolve().parent.parent
LINKED = (
    ".venv",
    "Makefile",
    "constraints.txt",
    "deploy",
    "examples",
    "features",
    "packages",
    "platform",
    "tools",
)
TIMEOUT = 240.0
LOCK = Path(gettempdir()) / "jaylatch-docs.lock"
BLOCK = re.compile(r"(?P<skip><!-- not run: .+? -->\n)?```sh\n(?P<code>.*?)```", re.DOTALL)
STOP_CHILDREN = "trap 'kill $(jobs -p) 2>/dev/null || true; wait' EXIT\n"


def read_commands(page: Path) -> str:
    """Return the commands of a page that are to be run."""
    found = BLOCK.finditer(page.read_text())
    return "".join(match["code"] for match in found if not match["skip"])


def run_page(page: Path) -> int:
    """Run the commands of a page; returns their exit code."""
    commands = read_commands(page)
    with TemporaryDirectory() as folder:
        for name in LINKED:
            (Path(folder) / name).symlink_to(ROOT / name)
        done = subprocess.run(
            ["bash", "-euo", "pipefail", "-c", STOP_CHILDREN + commands],
            cwd=folder,
            timeout=TIMEOUT,
            check=False,
        )
    return done.returncode


def main() -> int:
    """Run the named pages; returns 1 if one of them fails."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("pages", nargs="+", type=Path)
    subprocess.run(["make", "--silent", "setup"], cwd=ROOT, check=True)
    with LOCK.open("a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        return run_pages(parser.parse_args().pages)


def run_pages(pages: list[Path]) -> int:
    """Run the pages one after the other; returns 1 if one of them fails."""
    failed = [str(page) for page in pages if run_page(page)]
    for page in failed:
        print(f"the commands of {page} failed", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
