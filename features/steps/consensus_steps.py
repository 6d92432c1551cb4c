"""Steps that run Raft nodes through random histories."""

from behave import given, then, when
from behave.runner import Context
from support.raft_history import NETWORKS, History

HISTORIES_PER_SEED = 100_000


@given('{voters:d} voters on a network that is "{network}"')
def step_voters(context: Context, voters: int, network: str) -> None:
    context.voters = voters
    context.network = NETWORKS[network]
    context.broken_rule = ""


@given('each voter "{rule}"')
def step_broken_rule(context: Context, rule: str) -> None:
    context.broken_rule = rule


@when("{histories:d} histories of {steps:d} steps run from seed {seed:d}")
def step_run(context: Context, histories: int, steps: int, seed: int) -> None:
    context.faults = []
    context.commits = 0
    context.recoveries = 0
    context.outlived = 0
    for number in range(histories):
        history = History(context.voters, context.network, seed * HISTORIES_PER_SEED + number)
        history.run(steps)
        history.recover()
        context.faults += [f"history {number}: {fault}" for fault in history.faults]
        context.commits += history.commits
        context.recoveries += history.disk_recoveries
        context.outlived += history.slow_elections


@when("the first leader of {histories:d} first starts from seed {seed:d} is lost at its commit")
def step_lose_first_leader(context: Context, histories: int, seed: int) -> None:
    context.faults = []
    for number in range(histories):
        number += seed * HISTORIES_PER_SEED
        history = History(context.voters, context.network, number, is_first_start=True)
        history.lose_first_leader()
        context.faults += [f"history {number}: {fault}" for fault in history.faults]


@when("{histories:d} first starts that are stated begin without {lost:d} voters from seed {seed:d}")
def step_lose_voters_at_start(context: Context, histories: int, lost: int, seed: int) -> None:
    context.faults = []
    for number in range(histories):
        number += seed * HISTORIES_PER_SEED
        history = History(context.voters, context.network, number, states_first_start=True)
        history.start_without(lost)
        history.recover()
        context.faults += [f"history {number}: {fault}" for fault in history.faults]


@when("{histories:d} histories of {steps:d} steps follow a stated first start from seed {seed:d}")
def step_stated_histories(context: Context, histories: int, steps: int, seed: int) -> None:
    context.faults = []
    context.commits = 0
    for number in range(histories):
        number += seed * HISTORIES_PER_SEED
        history = History(context.voters, context.network, number, states_first_start=True)
        history.run(steps)
        history.recover()
        context.faults += [f"history {number}: {fault}" for fault in history.faults]
        context.commits += history.commits


@when("all voters restart at once in {histories:d} histories from seed {seed:d}")
def step_restart_together(context: Context, histories: int, seed: int) -> None:
    context.faults = []
    context.commits = 0
    context.waits = []
    for number in range(histories):
        number += seed * HISTORIES_PER_SEED
        history = History(context.voters, context.network, number)
        context.waits.append(history.restart_all())
        context.faults += history.faults
        context.commits += history.commits


@then("half of them commit within {timeouts:g} election timeouts")
def step_quick_restart(context: Context, timeouts: float) -> None:
    waits = sorted(context.waits)
    assert waits[len(waits) // 2] <= timeouts, waits[:: max(len(waits) // 10, 1)]


@when("up to {histories:d} histories of {steps:d} steps run from seed {seed:d}, until one fails")
def step_run_until_failure(context: Context, histories: int, steps: int, seed: int) -> None:
    context.faults = []
    for number in range(histories):
        number += seed * HISTORIES_PER_SEED
        history = History(context.voters, context.network, number, context.broken_rule)
        history.run(steps)
        context.faults += history.faults
        if context.faults:
            return


@then("no invariant was ever broken")
def step_invariants(context: Context) -> None:
    assert context.commits > 0, "nothing was committed, so no invariant was tested"
    broken = [fault for fault in context.faults if "no progress" not in fault]
    assert not broken, broken[:10]


@then("after the faults a leader committed and all voters caught up")
def step_progress(context: Context) -> None:
    stuck = [fault for fault in context.faults if "no progress" in fault]
    assert not stuck, stuck[:10]


@then("disks recovered at least {number:d} times, and at least {commits:d} entries were committed")
def step_recoveries(context: Context, number: int, commits: int) -> None:
    assert context.recoveries >= number, context.recoveries
    assert context.commits >= commits, context.commits


@then("an invariant was broken")
def step_found(context: Context) -> None:
    assert context.faults, "the checks did not detect the broken rule"


@then("candidates outlived at least {number:d} slow writes")
def step_outlived(context: Context, number: int) -> None:
    assert context.outlived >= number, context.outlived
