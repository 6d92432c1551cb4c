"""Steps that test the clock with which leases are measured."""

import time
from unittest.mock import patch

from behave import given, then, use_step_matcher, when
from behave.runner import Context

from jaylatch_core.clock import monotonic
from jaylatch_decisions.leases import HeldLease

MONOTONIC_AT_GRANT = 1000.0

use_step_matcher("re")


@given(r"a lease of 4 s that was just granted")
def step_lease_granted(context: Context) -> None:
    context.lease = HeldLease(drift=0.0)
    context.lease.extend(_read_clock(0.0, 0.0), 4.0)


@when(r"the machine runs for (?P<running>\d+) s and is suspended for (?P<suspended>\d+) s")
def step_suspended(context: Context, running: str, suspended: str) -> None:
    context.now = _read_clock(float(running), float(suspended))


@then(r"the lease is (?P<state>valid|lapsed)")
def step_lease_state(context: Context, state: str) -> None:
    assert context.lease.is_valid(context.now) == (state == "valid")


def _read_clock(running: float, suspended: float) -> float:
    """Return ``monotonic()`` on a machine that ran and was suspended for these seconds."""
    monotonic_time = MONOTONIC_AT_GRANT + running

    def read(clock: int) -> float:
        return monotonic_time + (suspended if clock == time.CLOCK_BOOTTIME else 0.0)

    with (
        patch("time.monotonic", lambda: monotonic_time),
        patch("time.clock_gettime", read),
    ):
        return monotonic()
