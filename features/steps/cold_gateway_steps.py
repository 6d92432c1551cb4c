"""Steps on a gateway before targets that may be cold."""

import re
from math import inf

import msgspec
from behave import given, then, use_step_matcher
from behave.runner import Context
from features.support.gateway import MODEL
from returns.result import Failure as Err
from returns.result import Success

from jaylatch_core.clock import monotonic
from jaylatch_core.exceptions import NotLeader, StorageFailed, Unavailable
from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.places import PlacesFull, PlaceTaken, TakePlace
from jaylatch_decisions.places import GRANT_VALIDITY, first_owner
from jaylatch_decisions.places.cold import WINDOW_SECONDS
from jaylatch_node.control.client import CONTROL_LOG
from jaylatch_node.streams.connection import CallResult

GATEWAYS = 1
REFUSED_STATUSES = (429, 503)
LONG_AGO_SECONDS = 60.0
PAUSE_SECONDS = 8.0
OWNERS = [f"127.0.0.1:{number}" for number in (1, 2, 3)]

NAMED_LEADER = "127.0.0.1:8"

use_step_matcher("re")


@given(r"its targets are (?P<state>.+), with a cold rate of (?P<rate>\d+)")
def step_targets_are(context: Context, state: str, rate: str) -> None:
    grant = context.harness.board.grant
    grant.gateways = GATEWAYS
    services = tuple(
        msgspec.structs.replace(item, cold_time=3.0, cold_rate=float(rate))
        for item in grant.deployment.services
    )
    grant.deployment = msgspec.structs.replace(grant.deployment, services=services)
    is_cold = "cold" in state
    grant.view = msgspec.structs.replace(
        grant.view,
        version=grant.view.version + 1,
        groups=tuple(msgspec.structs.replace(i, is_cold=is_cold) for i in grant.view.groups),
        services=tuple(msgspec.structs.replace(i, is_cold=is_cold) for i in grant.view.services),
    )
    context.harness.role.on_grant()
    context.harness.client.update_peers(())
    context.harness.client._order = list(OWNERS)
    conditions = context.harness.role._forwarder._conditions
    # The part of a gateway without an owner has been unused for long.
    conditions._unshared_since = monotonic() - LONG_AGO_SECONDS
    directory = context.harness.role._directory
    for loads in (*directory._by_service.values(), *directory._by_model.values()):
        for place, load in enumerate(loads):
            is_proven = "proven" in state and "not proven" not in state
            load.proven_at = monotonic() if is_proven else -inf
            load.failures = 1 if "failed" in state or "paused" in state else 0
            # The pause of the last one ends first.
            load.usable_from = monotonic() + PAUSE_SECONDS - place if "paused" in state else 0.0


@given(r"an owner for cold targets that (?P<owner>.+)")
def step_owner_for_cold(context: Context, owner: str) -> None:
    context.asked = []

    async def ask_owner(address: str, body: TakePlace, timeout: float) -> object:
        context.asked.append((address, body))
        match owner:
            case "grants":
                return PlaceTaken(body.candidates[0].instance, 0.1)
            case "grants too late once" | "grants too late 4 times":
                if len(context.asked) <= (1 if owner.endswith("once") else 4):
                    # The gateway pauses, so that its own timeout does not come first.
                    until = monotonic() + 2 * GRANT_VALIDITY
                    while monotonic() < until:
                        pass
                return PlaceTaken(body.candidates[0].instance, 0.1)
            case "is full":
                return PlacesFull(1.0, 0.5)
            case "does not answer":
                return None
            case "does not lead":
                return PlacesFull(1.0, WINDOW_SECONDS, is_unled=True)
            case "does not lead once" | "does not lead once and names the leader":
                if len(context.asked) > 1:
                    return PlaceTaken(body.candidates[0].instance, 0.1)
                if "names" in owner:
                    context.harness.client._confirm(CONTROL_LOG, NAMED_LEADER)
                return PlacesFull(1.0, WINDOW_SECONDS, is_unled=True)
            case "does not lead, then fails":
                if len(context.asked) > 1:
                    return None
                return PlacesFull(1.0, WINDOW_SECONDS, is_unled=True)
            case _:
                raise ValueError(owner)

    context.harness.client.ask = ask_owner


@given(r'the leader of control is at "(?P<address>[^"]*)"')
def step_control_leader(context: Context, address: str) -> None:
    async def confirm() -> None:
        context.harness.client._confirm(CONTROL_LOG, address)

    context.runner.run(confirm())
    context.leader_address = address


@given(r'calls to the leader of control that end with "(?P<answers>[^"]*)"')
def step_leader_calls(context: Context, answers: str) -> None:
    client = context.harness.client
    client._addresses = {InstanceId(f"control-{i}"): item for i, item in enumerate(OWNERS, 1)}

    async def answer_calls() -> None:
        for call in re.split(r" (?=\d:)", answers) if answers != "-" else ():
            number, _, answer = call.partition(":")
            client._handle_answer(CONTROL_LOG, OWNERS[int(number) - 1], leader_answer(answer))

    context.runner.run(answer_calls())


def leader_answer(answer: str) -> CallResult:
    """Return the result of a call to the leader of control."""
    match answer.split(" "):
        case ["ok"]:
            return Success(PlacesFull(0.0))
        case ["names", number]:
            return Success(NotLeader("", f"control-{number}"))
        case ["no", "leader"]:
            return Success(NotLeader("", ""))
        case ["unavailable"]:
            return Success(Unavailable(""))
        case ["storage", "failed"]:
            return Success(StorageFailed(""))
        case ["nothing"]:
            return Err(Unavailable("timed out"))
    raise ValueError(answer)


@then(r"the first owner that was asked is (?P<first>the first one by hash|instance \d)")
def step_first_owner(context: Context, first: str) -> None:
    expected = (
        first_owner(MODEL, OWNERS) if "hash" in first else OWNERS[int(first.rpartition(" ")[2]) - 1]
    )
    assert context.asked[0][0] == expected, (context.asked[0][0], expected)


@then(r"the second owner that was asked is (?P<second>the leader named|the next by hash)")
def step_second_owner(context: Context, second: str) -> None:
    first = first_owner(MODEL, OWNERS)
    others = [item for item in OWNERS if item != first]
    expected = NAMED_LEADER if second == "the leader named" else first_owner(MODEL, others)
    assert [address for address, _ in context.asked] == [first, expected], context.asked


@then(r"the owner was asked for the head whose pause ends first, and for no other one")
def step_first_back(context: Context) -> None:
    directory = context.harness.role._directory
    heads = [load for loads in directory._by_model.values() for load in loads]
    assert len(heads) > 1, heads
    first = min(heads, key=lambda item: item.usable_from)
    _, body = context.asked[0]
    assert [item.instance for item in body.candidates] == [first.instance], body.candidates


@given(r"a pause of (?P<pause>[\d.]+) s of the gateway before its first send")
def step_pause_before_send(context: Context, pause: str) -> None:
    pool = context.harness.role._pool
    take = pool.take
    context.choices = 0

    def take_after_pause(now: float, address: str) -> object:
        context.choices += 1
        until = monotonic() + (float(pause) if context.choices == 1 else 0.0)
        while monotonic() < until:
            pass
        return take(now, address)

    pool.take = take_after_pause


@then(r"the caller is answered after (?P<choices>\d) choices of a target")
def step_choices(context: Context, choices: str) -> None:
    assert context.answer.status == 200, context.answer
    assert context.choices == int(choices), context.choices


@then(r"it is (?P<outcome>answered|refused), after (?P<asks>\d+) questions to owners")
def step_outcome(context: Context, outcome: str, asks: str) -> None:
    assert len(context.asked) == int(asks), [address for address, _ in context.asked]
    received = sum(len(target.received) for target in context.targets)
    if outcome == "answered":
        assert context.answer.status == 200, context.answer
        assert received == 1, received
    else:
        assert context.answer.status in REFUSED_STATUSES, context.answer
        assert received == 0, received


@then(r"the owner that was asked is (?P<first>.+), and was told a cold rate of (?P<rate>\d+)")
def step_asked(context: Context, first: str, rate: str) -> None:
    address, body = context.asked[0]
    assert (address == context.leader_address) == (first == "the leader"), address
    assert {item.cold_rate for item in body.candidates} == {float(rate)}
    assert {item.is_cold for item in body.candidates} == {float(rate) > 0}
