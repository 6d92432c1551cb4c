"""Runs all checks of the project and prints ``N passed, N failed`` as the last line.

Each static check and each scenario counts as one test. Scenarios listed in KNOWN-RED.txt by
``path:name`` are run and printed, but do not count as failed.
"""

import json
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PARALLEL_SUITES = 3
SOURCES = sorted(str(path) for path in ROOT.glob("packages/*/src"))
SOURCES.append(str(ROOT / "platform" / "src"))
TRACEBACK = re.compile(r"^ *Traceback .*?(?=\n *\n|\Z)", re.M | re.S)
WORD = re.compile(r"[A-Za-z][A-Za-z-]+")
PLATFORM_NAMES = {
    "Attempt-Id",
    "Deadline-Ms",
    "Expect-Instance",
    "Server-Stamp",
    "Server-Load",
    "Not-Executed",
    "Token-Usage",
    "Prefix-Hash",
    "routeList",
    "pathPrefix",
    "goalMs",
    "timeoutMs",
    "maxAttempts",
    "apiKeys",
    "heartbeatAddr",
    "heartbeatMs",
    "closeMode",
    "JAYLATCH_BOOT",
    "jaylatch_platform",
}
"""Names of the platform that may appear only under platform/."""
CHECKS = {
    "formatter": ["-m", "black", "--check", "--quiet", "packages", "platform", "features", "tools"],
    "linter": ["-m", "ruff", "check", "--quiet", "packages", "platform", "features", "tools"],
    "types": ["-m", "mypy", "--no-error-summary", *SOURCES],
    "imports": ["-c", "from importlinter.cli import lint_imports_command as c; c()", "--no-logo"],
}


def run_check(name: str) -> tuple[int, int]:
    """Run one static check; return the numbers (passed, failed)."""
    done = subprocess.run(
        [sys.executable, *CHECKS[name]], cwd=ROOT, capture_output=True, text=True, check=False
    )
    if done.returncode:
        print(f"FAILED check {name}\n{done.stdout}{done.stderr}", flush=True)
    return int(done.returncode == 0), int(done.returncode != 0)


def check_platform_names() -> tuple[int, int]:
    """Check that no source file under packages/ contains a name of the platform."""
    found = []
    for path in sorted(ROOT.glob("packages/*/src/**/*.py")):
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            found += [
                f"{path.relative_to(ROOT)}:{number}: {name}"
                for name in PLATFORM_NAMES & set(WORD.findall(line))
            ]
    if found:
        print("FAILED check platform names\n" + "\n".join(found), flush=True)
    return int(not found), int(bool(found))


def run_suite(folder: Path, known: set[str]) -> tuple[int, int]:
    """Run the features of one folder; return the numbers of (passed, failed) scenarios."""
    with TemporaryDirectory() as scratch:
        report, plain = Path(scratch) / "report.json", Path(scratch) / "report.txt"
        command = [sys.executable, "-m", "behave", "--no-color", "--format", "json"]
        command += ["--outfile", str(report), "--format", "plain"]
        command += ["--outfile", str(plain), str(folder.relative_to(ROOT))]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        if not report.exists() or not report.read_text().strip():
            print(f"FAILED suite {folder.name}\n{done.stdout}{done.stderr}", flush=True)
            return 0, 1
        features = json.loads(report.read_text())
        errors = _tracebacks(plain.read_text())
    passed, failed = 0, 0
    for feature in features:
        for scenario in feature.get("elements", []):
            if scenario["type"] == "background":
                continue
            if scenario["status"] == "passed":
                passed += 1
                continue
            name = f"{scenario['location'].rsplit(':', 1)[0]}:{scenario['name']}"
            is_known = name in known
            failed += not is_known
            print(
                f"{'KNOWN RED' if is_known else 'FAILED'} {name}\n{_describe_failure(scenario)}",
                flush=True,
            )
    if failed and errors:
        print(errors, flush=True)
    return passed, failed


def _tracebacks(text: str) -> str:
    """Return the tracebacks in a plain report; the JSON report has none for errors."""
    found = TRACEBACK.findall(text)
    return "\n".join(found)


def _describe_failure(scenario: dict[str, Any]) -> str:
    lines = []
    for step in scenario["steps"]:
        result = step.get("result", {})
        if result.get("status") not in ("passed", None):
            lines.append(f"  {step['keyword']} {step['name']}: {result.get('status')}")
            message = result.get("error_message", [])
            text = message if isinstance(message, str) else "\n".join(message)
            lines += [f"    {line}" for line in text.splitlines()]
    return "\n".join(lines)


def read_known_red() -> set[str]:
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}


def main() -> int:
    """Run the checks, then the suites in parallel; return the exit code."""
    known = read_known_red()
    roots = (ROOT / "features", ROOT / "platform" / "features")
    suites = sorted({path.parent for root in roots for path in root.rglob("*.feature")})
    totals = [run_check(name) for name in CHECKS]
    totals.append(check_platform_names())
    with ThreadPoolExecutor(PARALLEL_SUITES) as pool:
        totals += pool.map(lambda folder: run_suite(folder, known), suites)
    passed = sum(item[0] for item in totals)
    failed = sum(item[1] for item in totals)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
