"""Steps that fit the capacity table to synthetic measurements."""

import sys
from itertools import product
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

from capacity_table import Forecast, fit  # noqa: E402

SIZES = (1.0, 2.0, 4.0, 8.0)
NAMES = ("first", "second")


def measurement(sizes: dict[str, float], value: float) -> dict[str, Any]:
    labels = {"series": "made-up", "role": "entry", **sizes}
    return {"name": "processor", "unit": "core", "value": value, "labels": labels}


@given("measurements of base {base:g} and slopes {slopes} with an error of {error:g}")
def step_measurements(context: Context, base: float, slopes: str, error: float) -> None:
    factors = [float(item) for item in slopes.split(",")]
    context.names = NAMES[: len(factors)]
    context.lines = []
    for number, point in enumerate(product(SIZES, repeat=len(factors))):
        exact = base + sum(factor * size for factor, size in zip(factors, point, strict=True))
        sign = 1 if number % 2 else -1
        sizes = dict(zip(context.names, point, strict=True))
        context.lines.append(measurement(sizes, exact + sign * error))


@given("{number:d} measurements of one size")
def step_few_measurements(context: Context, number: int) -> None:
    context.names = NAMES[:1]
    context.lines = [measurement({"first": size}, 1.0) for size in SIZES[:number]]


@when("the capacity table fits them")
def step_fit(context: Context) -> None:
    sizes = dict.fromkeys(context.names, 1.0)
    forecast = Forecast("entry", "made-up", "entry", sizes, True)
    context.fit = fit(context.lines, forecast, "processor")


@then("the fit has base {base:g} and slopes {slopes} within {tolerance:g}")
def step_fit_values(context: Context, base: float, slopes: str, tolerance: float) -> None:
    expected = [base, *(float(item) for item in slopes.split(","))]
    found = [context.fit.base, *context.fit.slopes.values()]
    assert all(abs(a - b) <= tolerance for a, b in zip(expected, found, strict=True)), found


@then("there is no fit")
def step_no_fit(context: Context) -> None:
    assert context.fit is None, context.fit
