"""Steps on the records of stalls and of known control instances, in simulated time."""

from behave import given, then, use_step_matcher
from behave.runner import Context

from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.ids import InstanceId
from jaylatch_decisions.control.known_instances import KnownInstances
from jaylatch_decisions.stalls import StallRecord

use_step_matcher("re")


@given(r'a loop that made turns at "(?P<turns>[\d. ]+)" s')
def step_turns(context: Context, turns: str) -> None:
    first, *later = map(float, turns.split())
    context.record = StallRecord(first)
    for at in later:
        context.record.note_turn(at)


@then(r"at (?P<now>[\d.]+) s its calls may be old: (?P<answer>yes|no)")
def step_old_calls(context: Context, now: str, answer: str) -> None:
    assert context.record.is_recent(float(now)) is (answer == "yes")


def make_peer(name: str) -> ControlPeer:
    return ControlPeer(InstanceId(name), f"{name}:1")


@given(r'control instances that were seen as in "(?P<events>[^"]+)"')
def step_seen(context: Context, events: str) -> None:
    context.known = KnownInstances()
    for event in events.split():
        names, _, at = event.partition("@")
        if names.startswith("="):
            context.known.replace(float(at), [make_peer(name) for name in names[1:].split(",")])
        else:
            context.known.record(float(at), make_peer(names))


@then(r'"(?P<known>[\w ]+)" are known at (?P<now>\d+) s')
def step_known(context: Context, known: str, now: str) -> None:
    found = {peer.instance for peer in context.known.list(float(now))}
    assert found == set(known.split()), found
