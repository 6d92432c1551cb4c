"""Runs the commands in documentation pages.

The ``sh`` blocks of a page are run in order, in one shell that exits at the first failure. A block
that needs more than the local machine, or hours, follows a line ``<!-- not run: REASON -->`` and is
skipped. The shell runs in a temporary folder with links to the project, so that files written by
the commands are removed afterwards. The pages use fixed ports, so a lock file lets only one page
run at a time on a machine, across checkouts.
"""

import fcntl
import re
import subprocess
import sys
from argparse import ArgumentParser
from pathlib import Path
from tempfile import TemporaryDirectory, gettempdir

ROOT = Path(__file__).resolve().parent.parent
LINKED_PATHS = (
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
PAGE_TIMEOUT = 240.0
"""Seconds."""
LOCK_FILE = Path(gettempdir()) / "jaylatch-docs.lock"
CODE_BLOCK = re.compile(r"(?P<skip><!-- not run: .+? -->\n)?```sh\n(?P<code>.*?)```", re.DOTALL)
STOP_CHILDREN = "trap 'kill $(jobs -p) 2>/dev/null || true; wait' EXIT\n"


def read_commands(page: Path) -> str:
    """Return the commands of a page, without the skipped blocks."""
    blocks = CODE_BLOCK.finditer(page.read_text())
    return "".join(match["code"] for match in blocks if not match["skip"])


def run_page(page: Path) -> int:
    """Run the commands of a page; return their exit code."""
    commands = read_commands(page)
    with TemporaryDirectory() as folder:
        for name in LINKED_PATHS:
            (Path(folder) / name).symlink_to(ROOT / name)
        done = subprocess.run(
            ["bash", "-euo", "pipefail", "-c", STOP_CHILDREN + commands],
            cwd=folder,
            timeout=PAGE_TIMEOUT,
            check=False,
        )
    return done.returncode


def main() -> int:
    """Run the pages given on the command line; return 1 if one of them fails."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("pages", nargs="+", type=Path)
    subprocess.run(["make", "--silent", "setup"], cwd=ROOT, check=True)
    with LOCK_FILE.open("a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        return run_pages(parser.parse_args().pages)


def run_pages(pages: list[Path]) -> int:
    """Run the pages in order; return 1 if one of them fails."""
    failed = [str(page) for page in pages if run_page(page)]
    for page in failed:
        print(f"the commands of {page} failed", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
