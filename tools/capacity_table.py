"""Generates the tables of docs/CAPACITY.md from docs/capacity/measurements.jsonl.

``--record`` adds the output of the benchmark to that file, with the commit and the command.
``--check`` only reports whether the page is up to date.
"""

import json
import sys
from argparse import ArgumentParser
from dataclasses import dataclass
from pathlib import Path

import numpy

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
MEASUREMENTS = ROOT / "docs" / "capacity" / "measurements.jsonl"
END = "<!-- end -->"

SECONDS_PER_DAY = 86_400
ENTRIES = 360
"""Entries of the required deployment; the sizes below are of the same deployment."""
AGENTS = 1_300
GROUPS = AGENTS // 4
LEASE_HOLDERS = ENTRIES + AGENTS
CHANGES_PER_SECOND = 3_200 / SECONDS_PER_DAY
REQUESTS_PER_SECOND = 1_700
TOKENS_PER_SECOND = 670_000
ORDER_SHARE = 0.1
"""Fraction of the requests that are orders."""

PROCESSOR_BOUND = 0.03
"""Fraction of a core."""
MEMORY_BOUND = 64 * 1024 * 1024
"""Bytes."""
TRAFFIC_BOUND = 16 * 1024
"""Bytes per second, in each direction."""
IN_FORCE_BOUND = 18.0
"""Seconds until a change is in force everywhere."""

DISPLAY_UNITS = {"core": (100.0, "% of a core"), "B": (2.0**-20, "MiB"), "B/s": (2.0**-10, "KiB/s")}
SINGULAR = {
    "agents": "agent",
    "groups": "group",
    "entries": "entry",
    "changes": "change/s",
    "requests": "request/s",
    "tokens": "token/s",
    "orders": "order/s",
}
ZERO_TOLERANCE = 1e-9
"""Absolute value up to which a figure counts as 0."""
FIGURES = (
    "processor",
    "memory",
    "sent_bytes",
    "received_bytes",
    "sent_messages",
    "received_messages",
    "disk_bytes",
)
CONTROL_BOUNDS = {"processor": PROCESSOR_BOUND, "memory": MEMORY_BOUND}


@dataclass(frozen=True)
class Forecast:
    """A role to extrapolate: its measured series and the sizes at which its fit is evaluated.

    ``is_control`` is True if the bounds on the cost of control work apply to this role.
    """

    title: str
    series: str
    role: str
    sizes: dict[str, float]
    is_control: bool
    figures: tuple[str, ...] = FIGURES


FORECASTS = (
    Forecast("control leader, leases", "agents", "leader", {"agents": LEASE_HOLDERS}, False),
    Forecast("control follower, leases", "agents", "follower", {"agents": LEASE_HOLDERS}, False),
    Forecast(
        "control leader, changes", "changes", "leader", {"changes": CHANGES_PER_SECOND}, False
    ),
    Forecast("entry, control", "agents", "entry", {"groups": GROUPS}, True),
    Forecast("head's agent, control", "entries", "head agent", {"entries": ENTRIES}, True),
    Forecast("member's agent, control", "entries", "member agent", {"entries": ENTRIES}, True),
    Forecast(
        "entry, serving",
        "completions",
        "entry",
        {"requests": REQUESTS_PER_SECOND / ENTRIES, "tokens": TOKENS_PER_SECOND / ENTRIES},
        False,
    ),
    Forecast(
        "head's agent, serving",
        "completions",
        "head agent",
        {"requests": REQUESTS_PER_SECOND / GROUPS, "tokens": TOKENS_PER_SECOND / GROUPS},
        False,
    ),
    Forecast(
        "control leader, orders",
        "orders",
        "leader",
        {"orders": ORDER_SHARE * REQUESTS_PER_SECOND},
        False,
    ),
    Forecast(
        "control follower, orders",
        "orders",
        "follower",
        {"orders": ORDER_SHARE * REQUESTS_PER_SECOND},
        False,
    ),
    Forecast(
        "groups all formed",
        "agents",
        "all",
        {"agents": LEASE_HOLDERS},
        False,
        ("seconds_to_form",),
    ),
    Forecast(
        "change in force everywhere",
        "agents",
        "all",
        {"agents": LEASE_HOLDERS},
        False,
        ("seconds_to_force",),
    ),
)


RELAYS = 8
WATCHED_GROUPS = 16
"""Groups that one entry of the planned design watches."""
WATCHING_ENTRIES = ENTRIES * WATCHED_GROUPS / GROUPS
"""Entries that watch one group."""
REGIONS = 4

PLANNED_FORECASTS = (
    Forecast(
        "relay of one failure domain", "agents", "leader", {"agents": LEASE_HOLDERS / RELAYS}, False
    ),
    Forecast("control leader above the relays", "agents", "leader", {"agents": RELAYS}, False),
    Forecast(
        "entry that watches 16 groups, control",
        "agents",
        "entry",
        {"groups": WATCHED_GROUPS},
        True,
    ),
    Forecast(
        "head's agent that 18 entries watch, control",
        "entries",
        "head agent",
        {"entries": WATCHING_ENTRIES},
        True,
    ),
    Forecast(
        "control leader, orders of one region",
        "orders",
        "leader",
        {"orders": ORDER_SHARE * REQUESTS_PER_SECOND / REGIONS},
        False,
    ),
)


@dataclass(frozen=True)
class Fit:
    """A linear least-squares fit: ``base`` plus each size times its slope.

    ``error`` is the root mean square of the residuals; ``points`` is the number of measurements.
    """

    base: float
    slopes: dict[str, float]
    error: float
    points: int
    largest: dict[str, float]
    unit: str

    def at(self, sizes: dict[str, float]) -> float:
        """Return the value at ``sizes``."""
        return self.base + sum(self.slopes[name] * value for name, value in sizes.items())

    @property
    def is_zero(self) -> bool:
        """Return whether the figure is 0 at all sizes."""
        return not any(abs(value) > ZERO_TOLERANCE for value in (self.base, *self.slopes.values()))

    def size_at_bound(self, bound: float) -> float | None:
        """Return the size at which the bound is reached, or None if the figure does not grow.

        The fit must have exactly one size.
        """
        (slope,) = self.slopes.values()
        return (bound - self.base) / slope if slope > 0 else None


def read_measurements() -> list[dict]:
    """Return the committed measurements."""
    return [json.loads(line) for line in MEASUREMENTS.read_text().splitlines()]


def fit(lines: list[dict], forecast: Forecast, figure: str) -> Fit | None:
    """Fit a figure of a role against the sizes of the forecast."""
    names = list(forecast.sizes)
    matching = [
        line
        for line in lines
        if line["name"] == figure
        and (line["labels"]["series"], line["labels"]["role"]) == (forecast.series, forecast.role)
    ]
    if len(matching) < len(names) + 2:
        return None
    sizes = numpy.array([[1.0, *(line["labels"][name] for name in names)] for line in matching])
    values = numpy.array([line["value"] for line in matching])
    solution = numpy.linalg.lstsq(sizes, values, rcond=None)[0]
    error = float(numpy.sqrt(numpy.mean((sizes @ solution - values) ** 2)))
    largest = dict(zip(names, sizes[:, 1:].max(axis=0), strict=True))
    slopes = dict(zip(names, map(float, solution[1:]), strict=True))
    return Fit(float(solution[0]), slopes, error, len(matching), largest, matching[0]["unit"])


def format_number(value: float) -> str:
    """Return a number with three significant digits."""
    if value == 0 or abs(value) < ZERO_TOLERANCE:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def format_value(value: float, unit: str) -> str:
    """Return a value in its display unit."""
    factor, _ = DISPLAY_UNITS.get(unit, (1.0, unit))
    return format_number(value * factor)


def unit_name(unit: str) -> str:
    """Return the name of the display unit."""
    return DISPLAY_UNITS.get(unit, (1.0, unit))[1]


def slopes_table(lines: list[dict]) -> str:
    """Return the table of all fits."""
    rows = [
        "| role | figure | at size 0 | slope | fit error | sizes | largest |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for forecast in FORECASTS:
        for figure in forecast.figures:
            found = fit(lines, forecast, figure)
            if found is None:
                continue
            if found.is_zero:
                continue
            slopes = ", ".join(
                f"{format_value(slope, found.unit)} per {SINGULAR[name]}"
                for name, slope in found.slopes.items()
            )
            largest = ", ".join(
                f"{format_number(size)} {name}" for name, size in found.largest.items()
            )
            rows.append(
                f"| {forecast.title} | {figure}, {unit_name(found.unit)}"
                f" | {format_value(found.base, found.unit)} | {slopes}"
                f" | {format_value(found.error, found.unit)} | {found.points} | {largest} |"
            )
    return "\n".join(rows) + "\n"


def sizes_table(lines: list[dict], forecasts: tuple[Forecast, ...] = FORECASTS) -> str:
    """Return the table of the roles at the sizes of ``forecasts``."""
    headings = [
        "role",
        "processor, % of a core",
        "memory, MiB",
        "sent, KiB/s",
        "received, KiB/s",
        "messages/s, both ways",
        "disk, KiB/s",
    ]
    rows = [f"| {' | '.join(headings)} |", "|" + " --- |" * len(headings)]
    for forecast in forecasts:
        if "processor" not in forecast.figures:
            continue
        cells = [forecast.title]
        values = {}
        for figure in forecast.figures:
            found = fit(lines, forecast, figure)
            if found is not None:
                values[figure] = (found.at(forecast.sizes), found.unit)
        if not values:
            continue
        for figure in ("processor", "memory", "sent_bytes", "received_bytes"):
            value, unit = values[figure]
            cells.append(mark_above_bound(forecast, figure, value, format_value(value, unit)))
        messages = values["sent_messages"][0] + values["received_messages"][0]
        cells += [format_number(messages), format_value(*values["disk_bytes"])]
        rows.append(f"| {' | '.join(cells)} |")
    return "\n".join(rows) + "\n"


def mark_above_bound(forecast: Forecast, figure: str, value: float, text: str) -> str:
    """Return the text, in bold if the value exceeds a bound that applies to the role."""
    bound = CONTROL_BOUNDS.get(figure, TRAFFIC_BOUND)
    return f"**{text}**" if forecast.is_control and value > bound else text


def limits_table(lines: list[dict]) -> str:
    """Return the table of the sizes at which the current design reaches each bound.

    Sizes above 10 times the required one are left out.
    """
    bounds = {**CONTROL_BOUNDS, "sent_bytes": TRAFFIC_BOUND, "received_bytes": TRAFFIC_BOUND}
    rows = ["| role | bound | reached at | required |", "| --- | --- | --- | --- |"]
    found: list[tuple[float, str]] = []
    for forecast in FORECASTS:
        if len(forecast.sizes) != 1 or forecast.series not in ("agents", "entries"):
            continue
        (size_name, size), *_ = forecast.sizes.items()
        if forecast.figures == ("seconds_to_force",):
            wanted = {"seconds_to_force": IN_FORCE_BOUND}
        elif forecast.is_control:
            wanted = bounds
        else:
            wanted = {"processor": 1.0}
        for figure, bound in wanted.items():
            line = fit(lines, forecast, figure)
            size_at_bound = line.size_at_bound(bound) if line is not None else None
            if line is None or size_at_bound is None or size_at_bound > 10 * size:
                continue
            text = (
                f"| {forecast.title} | {figure} {format_value(bound, line.unit)}"
                f" {unit_name(line.unit)} | {format_number(max(size_at_bound, 0))} {size_name}"
                f" | {format_number(size)} {size_name} |"
            )
            found.append((size_at_bound / size, text))
    return "\n".join(rows + [text for _, text in sorted(found)]) + "\n"


def planned_table(lines: list[dict]) -> str:
    """Return the table of the planned design at the required sizes."""
    return sizes_table(lines, PLANNED_FORECASTS)


TABLES = {
    "slopes": slopes_table,
    "sizes": sizes_table,
    "limits": limits_table,
    "planned": planned_table,
}


def fill_tables(page: str, lines: list[dict]) -> str:
    """Return the page with its tables regenerated."""
    for name, make in TABLES.items():
        begin = f"<!-- begin {name} -->\n"
        before, _, rest = page.partition(begin)
        _, _, after = rest.partition(END)
        page = before + begin + make(lines) + END + after
    return page


def record_measurements(raw: Path, commit: str, command: str) -> None:
    """Replace the measurements of the benchmark's series with its output."""
    measured = [json.loads(line) for line in raw.read_text().splitlines()]
    measured = [{**line, "commit": commit, "command": command} for line in measured]
    series = {line["labels"]["series"] for line in measured}
    kept = [line for line in read_measurements() if line["labels"]["series"] not in series]
    MEASUREMENTS.write_text("".join(json.dumps(line) + "\n" for line in kept + measured))


def main() -> int:
    """Generate or check the tables; return 1 if the check fails."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--record", type=Path, help="output of the benchmark")
    parser.add_argument("--commit", default="", help="commit that the benchmark ran on")
    parser.add_argument("--command", default='make bench BENCH="capacity"')
    options = parser.parse_args()
    if options.record is not None:
        record_measurements(options.record, options.commit, options.command)
    page = PAGE.read_text()
    made = fill_tables(page, read_measurements())
    if options.check and made != page:
        print("docs/CAPACITY.md is not up to date; run: make reference", file=sys.stderr)
        return 1
    PAGE.write_text(made)
    return 0


if __name__ == "__main__":
    sys.exit(main())
