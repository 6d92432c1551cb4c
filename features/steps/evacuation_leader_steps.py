"""Steps on evacuations that a leader carries out in simulated time, on their state and the ramp."""

import logging
import re

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.evacuation_fleet import EvacuationFleet, Gateway
from returns.pipeline import is_successful

from jaylatch_core.enums import DrainScope
from jaylatch_core.exceptions import DomainUnknown, GenerationConflict, Unavailable
from jaylatch_core.ids import CommandId, FailureDomainId, Generation, InstanceId
from jaylatch_core.messages.control import FormGroup, SetDrain
from jaylatch_core.messages.membership import View
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.control.snapshot import decode_snapshot, encode_snapshot
from jaylatch_decisions.places import returning_fraction, returning_slots
from jaylatch_decisions.targets import DrainGroup

FIRST_MODEL, SECOND_MODEL = "first", "second"
SETTLING_SECONDS = 4.0

use_step_matcher("re")


class RecordedLines(logging.Handler):
    """Keeps the evacuation records that are logged."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the state that an evacuation has reached, and who asked for it."""
        if record.getMessage() == "evacuation":
            self.lines.append(f"{record.__dict__['state']} by {record.__dict__['operator']}")


def split_members(group: str) -> tuple[InstanceId, ...]:
    return tuple(InstanceId(name) for name in re.findall(r"[a-z]\d", group))


def add_groups(fleet: EvacuationFleet, model: str, groups: str) -> None:
    for group in groups.split():
        members = split_members(group)
        for member in members:
            fleet.add(member, staged=(model,))
        fleet.state.apply(FormGroup(model, members))


@given(r'a led fleet with the groups "(?P<groups>[^"]*)" and the plain targets "(?P<plain>[^"]*)"')
def step_fleet(context: Context, groups: str, plain: str) -> None:
    context.fleet = EvacuationFleet({FIRST_MODEL: 2})
    add_groups(context.fleet, FIRST_MODEL, groups)
    for name in plain.split():
        context.fleet.add(name, is_engine=False)
    settle(context)


@given(
    r'a led fleet of two models, with the groups "(?P<first>[^"]*)" of one'
    r' and "(?P<second>[^"]*)" of the other(?:, where staging takes (?P<staging>\d+) s)?'
)
def step_two_models(context: Context, first: str, second: str, staging: str | None) -> None:
    context.fleet = EvacuationFleet({FIRST_MODEL: 2, SECOND_MODEL: 2}, float(staging or 15))
    add_groups(context.fleet, FIRST_MODEL, first)
    add_groups(context.fleet, SECOND_MODEL, second)
    settle(context)


def settle(context: Context) -> None:
    """Let the committed groups join and serve, and forget what happened until then."""
    context.runner.run(context.fleet.advance(SETTLING_SECONDS))
    context.fleet.commands.clear()
    context.fleet.views.clear()


@given(r'the free engines? "(?P<names>[^"]*)" that ha(?:ve|s) the model staged')
def step_free_engines(context: Context, names: str) -> None:
    for name in names.split():
        context.fleet.add(name, staged=(FIRST_MODEL,))
    context.runner.run(context.fleet.advance(1.0))
    context.fleet.commands.clear()


@given(r"n1 has requests in flight")
def step_busy(context: Context) -> None:
    context.fleet.targets["n1"].is_busy = True


@given(r"a second gateway that is (?P<contact>in contact|cut off)")
def step_second_gateway(context: Context, contact: str) -> None:
    gateway = Gateway("g-1")
    context.fleet.gateways["g-1"] = gateway
    context.fleet.renew(gateway)
    gateway.is_cut_off = contact == "cut off"


@when(r"the domain (?P<domain>\w+) is evacuated")
def step_evacuate(context: Context, domain: str) -> None:
    context.lines = RecordedLines()
    logger = logging.getLogger("jaylatch.control")
    logger.setLevel(logging.INFO)
    logger.addHandler(context.lines)
    context.add_cleanup(logger.setLevel, logging.NOTSET)
    context.add_cleanup(logger.removeHandler, context.lines)
    context.fleet.set_drain(domain, True)
    context.ordered_at = context.fleet.now


@when(r"the evacuation of north ends (?P<seconds>\d+) s later")
def step_end(context: Context, seconds: str) -> None:
    context.runner.run(context.fleet.advance(float(seconds)))
    context.fleet.set_drain("north", False, "another")
    context.ended_at = context.fleet.now


@when(r"another leader is elected(?: (?P<seconds>\d+) s later)?")
def step_elect(context: Context, seconds: str | None) -> None:
    context.runner.run(context.fleet.advance(float(seconds or 1)))
    context.fleet.elect(2)


@when(r"(?P<seconds>\d+) s pass(?:es)?")
def step_pass(context: Context, seconds: str) -> None:
    context.runner.run(context.fleet.advance(float(seconds)))


@when(r"the (?P<kind>plain target|engine) (?P<name>\w\d)(?P<staged> that has .*)? appears")
def step_appears(context: Context, kind: str, name: str, staged: str | None) -> None:
    context.runner.run(context.fleet.advance(1.0))
    is_engine = kind == "engine"
    has_model = is_engine and staged == " that has the model"
    context.fleet.add(name, (FIRST_MODEL,) if has_model else (), is_engine)


@when(
    r"(?P<fault>nothing fails|[n12 and]+ (?:is lost|is stopped|are stopped|restarts)),"
    r" and (?P<time>\d+) s pass"
)
def step_fault(context: Context, fault: str, time: str) -> None:
    # The head still serves: it is ordered to finish its work a second after the order.
    context.runner.run(context.fleet.advance(0.3))
    for name in re.findall(r"n\d", fault):
        target = context.fleet.targets[name]
        if fault.endswith("restarts"):
            target.membership = None
            context.fleet.report(target)
        else:
            target.is_stopped = True
    context.runner.run(context.fleet.advance(float(time)))


@when(r"n1 and n2 start again with the model staged, and the evacuation ends")
def step_start_again(context: Context) -> None:
    for name in ("n1", "n2"):
        target = context.fleet.targets[name]
        target.is_stopped, target.membership = False, None
    context.runner.run(context.fleet.advance(2.0))
    context.fleet.set_drain("north", False)


def describe_view(view: View) -> str:
    heads = [f"{route.head}{'!' if route.is_ending else ''}" for route in view.groups]
    return " ".join([*sorted(heads), *sorted(route.instance for route in view.services)])


@then(
    r'(?P<seconds>[\d.]+) s later the view lists "(?P<listed>[^"]*)"'
    r' and the evacuated domains are "(?P<domains>[^"]*)"'
)
def step_view(context: Context, seconds: str, listed: str, domains: str) -> None:
    context.runner.run(context.fleet.advance(float(seconds)))
    view = context.fleet.view
    assert describe_view(view) == listed, view
    assert view.evacuated == tuple(domains.split()), view.evacuated


@then(r'in the next (?P<seconds>\d+) s the view lists nothing but "(?P<listed>[^"]*)"')
def step_nothing_but(context: Context, seconds: str, listed: str) -> None:
    context.runner.run(context.fleet.advance(float(seconds)))
    # The route of an ending head goes once the head has finished its work.
    allowed = set(listed.split())
    for at, view in context.fleet.views:
        if at > context.ordered_at + 0.15:
            assert set(describe_view(view).split()) <= allowed, (at, view)


@then(r"no command concerns the domain north")
def step_no_commands(context: Context) -> None:
    north = {name for name in context.fleet.targets if name.startswith("n")}
    groups = {"first-1"}
    concerned = [
        command
        for command in context.fleet.commands
        if getattr(command, "group", "") in groups
        or north.intersection(getattr(command, "members", ()))
        or getattr(command, "instance", "") in north
    ]
    assert not concerned, concerned
    staged = [
        order
        for name in north
        for order in context.fleet.targets[name].orders[1:]
        if type(order).__name__ in ("StageModel", "LeaveGroup", "CloseGroup")
    ]
    assert not staged, staged


@then(r"the group of n1 still exists")
def step_group_exists(context: Context) -> None:
    group = context.fleet.state.group_of(InstanceId("n1"))
    assert group is not None and group.epoch <= 2, group


def open_times(context: Context, domain: str) -> list[float]:
    """Return the times after the order at which a group of the first model takes new work there."""
    return [
        at - context.ordered_at
        for at, view in context.fleet.views
        if at > context.ordered_at + 0.05
        and any(
            route.failure_domain == domain
            and route.model == FIRST_MODEL
            and not route.is_ending
            and route.failure_domain not in view.evacuated
            for route in view.groups
        )
    ]


@then(
    r"the group of n1 takes new work until (?P<least>[\d.]+) to (?P<most>[\d.]+) s later,"
    r" and the model has a group until (?P<bound>[\d.]+) s"
)
def step_holds(context: Context, least: str, most: str, bound: str) -> None:
    context.runner.run(context.fleet.advance(25.0))
    here, elsewhere = open_times(context, "north"), open_times(context, "south")
    assert here and float(least) <= max(here) <= float(most), here
    served = {round(at, 1) for at in (*here, *elsewhere)}
    rounds = {round(tick / 10, 1) for tick in range(1, round(float(bound) * 10))}
    assert rounds <= served, sorted(rounds - served)


@then(
    r"a group of the model takes new work in the domain south"
    r" from (?P<least>[\d.]+) to (?P<most>[\d.]+) s on"
)
def step_opens(context: Context, least: str, most: str) -> None:
    elsewhere = open_times(context, "south")
    assert elsewhere and float(least) <= min(elsewhere) <= float(most), elsewhere


@then(r"within (?P<seconds>\d+) s a further group takes new work in the domain south")
def step_further_group(context: Context, seconds: str) -> None:
    context.runner.run(context.fleet.advance(float(seconds)))
    heads = [route.head for route in context.fleet.view.groups if not route.is_ending]
    assert len(heads) == 2 and all(head.startswith("s") for head in heads), heads


@then(
    r"within (?P<seconds>\d+) s a group of the first model"
    r" (?P<outcome>takes new work|is not formed) in the domain south"
)
def step_rebalanced(context: Context, seconds: str, outcome: str) -> None:
    context.runner.run(context.fleet.advance(float(seconds)))
    heads = [
        route.head
        for route in context.fleet.view.groups
        if route.model == FIRST_MODEL and not route.is_ending and route.head.startswith("s")
    ]
    assert bool(heads) is (outcome == "takes new work"), context.fleet.view


def working(context: Context) -> str:
    (evacuation,) = context.fleet.leader.status(context.fleet.now).evacuations
    return " ".join(evacuation.working)


@then(
    r"(?P<seconds>\d+) s later n1 has been ordered to finish its work,"
    r' and the status names "(?P<names>[^"]*)" as working'
)
def step_finishing(context: Context, seconds: str, names: str) -> None:
    context.runner.run(context.fleet.advance(float(seconds)))
    orders = [type(order) for order in context.fleet.targets["n1"].orders]
    assert DrainGroup in orders, orders
    assert working(context) == names, working(context)


@then(r'when n1 has finished its requests the status names "(?P<names>[^"]*)" as working')
def step_finished(context: Context, names: str) -> None:
    context.finished_at = context.fleet.now
    context.fleet.targets["n1"].is_busy = False
    context.runner.run(context.fleet.advance(1.0))
    assert working(context) == names, working(context)


@then(r"n1 is listed as ending until then, and not at all afterwards")
def step_listed_until(context: Context) -> None:
    for at, view in context.fleet.views:
        listed = describe_view(view).split()
        if context.ordered_at + 0.15 < at <= context.finished_at:
            assert "n1!" in listed, (at, listed)
    assert "n1!" not in describe_view(context.fleet.view), context.fleet.view


@then(r"the evacuation is in force after (?P<least>[\d.]+) to (?P<most>[\d.]+) s")
def step_in_force(context: Context, least: str, most: str) -> None:
    async def wait() -> float:
        while True:
            await context.fleet.advance(0.1)
            (status,) = context.fleet.leader.status(context.fleet.now).evacuations
            if status.in_force_at is not None:
                return context.fleet.now - context.ordered_at

    after = context.runner.run(wait())
    assert float(least) <= after <= float(most), after


def slots_of(view: View) -> dict[str, int]:
    slots: dict[str, int] = {route.head: route.slots for route in view.groups}
    return slots | {route.instance: route.slots for route in view.services}


@then(r"the slots of n1 and n8 are")
def step_slots(context: Context) -> None:
    for row in context.table:
        left = context.ended_at + float(row["after"]) - context.fleet.now
        context.runner.run(context.fleet.advance(left))
        slots = slots_of(context.fleet.view)
        found = (slots.get("n1"), slots.get("n8"))
        assert found == (int(row["n1"]), int(row["n8"])), (row, found)


@then(r"the slots of s1 are 24 and those of s8 are 6 throughout")
def step_other_slots(context: Context) -> None:
    for at, view in context.fleet.views:
        slots = slots_of(view)
        assert (slots["s1"], slots["s8"]) == (24, 6), (at, slots)


@then(r'within (?P<seconds>\d+) s the heads in the view are "(?P<heads>[^"]*)"')
def step_heads(context: Context, seconds: str, heads: str) -> None:
    context.runner.run(context.fleet.advance(float(seconds)))
    found = sorted(route.head for route in context.fleet.view.groups if not route.is_ending)
    assert " ".join(found) == heads, context.fleet.view


@then(r'the evacuation was logged as "(?P<lines>[^"]*)"')
def step_logged(context: Context, lines: str) -> None:
    assert ", ".join(context.lines.lines) == lines, context.lines.lines


@then(
    r'an order for "(?P<domain>\w*)" with "(?P<configured>\w*)" configured'
    r" is (?P<answer>accepted|unknown|postponed)"
)
def step_checked(context: Context, domain: str, configured: str, answer: str) -> None:
    command = SetDrain(CommandId("c"), DrainScope.FAILURE_DOMAIN, domain, True)
    domains = tuple(FailureDomainId(item) for item in configured.split())
    refusal = context.fleet.leader.check_drain(context.fleet.now, command, domains)
    expected = {"accepted": type(None), "unknown": DomainUnknown, "postponed": Unavailable}
    assert type(refusal) is expected[answer], refusal


@given(r'a control state that has applied the evacuation orders "(?P<orders>[^"]*)"')
def step_state_orders(context: Context, orders: str) -> None:
    context.state = ControlState()
    for number, order in enumerate(orders.split()):
        context.state.apply(parse_order(order, str(number)))


def parse_order(text: str, command: str, expected: Generation | None = None) -> SetDrain:
    found = re.fullmatch(r"(\w+)([+-])(\w+)@(\d+)", text)
    assert found is not None, text
    domain, sign, operator, at = found.groups()
    scope = DrainScope.FAILURE_DOMAIN
    return SetDrain(CommandId(command), scope, domain, sign == "+", operator, float(at), expected)


@when(r'an order "(?P<order>\S+)" comes from a sender that knew (?P<known>\d+) changes')
def step_order_of(context: Context, order: str, known: str) -> None:
    context.result = context.state.apply(parse_order(order, "late", Generation(int(known))))


@then(r'it is (?P<answer>accepted|refused), and the evacuations are "(?P<evacuations>[^"]*)"')
def step_order_answer(context: Context, answer: str, evacuations: str) -> None:
    assert is_successful(context.result) is (answer == "accepted"), context.result
    if answer == "refused":
        assert isinstance(context.result.failure(), GenerationConflict), context.result
    assert describe_evacuations(context.state) == evacuations, context.state.evacuations


@then(r'an order "(?P<order>\S+)" from a sender that knows all changes is accepted')
def step_order_resent(context: Context, order: str) -> None:
    command = parse_order(order, "late", context.state.drain_generation)
    assert is_successful(context.state.apply(command))


@given(r"a snapshot with a drain of the domain n, made before evacuations were recorded")
def step_old_snapshot(context: Context) -> None:
    state = ControlState()
    state.apply(SetDrain(CommandId("c"), DrainScope.FAILURE_DOMAIN, "n", True))
    old = msgspec.structs.replace(decode_snapshot(state.dump()), evacuations=())
    context.state = ControlState.load(encode_snapshot(old))


def describe_evacuations(state: ControlState) -> str:
    orders = state.evacuations.values()
    return ", ".join(f"{item.domain} by {item.operator} at {item.at:g}" for item in orders)


@then(r'the evacuations are "(?P<evacuations>[^"]*)"')
def step_evacuations(context: Context, evacuations: str) -> None:
    assert describe_evacuations(context.state) == evacuations, context.state.evacuations


@then(r"they are the same after a snapshot")
def step_after_snapshot(context: Context) -> None:
    loaded = ControlState.load(context.state.dump())
    assert loaded.evacuations == context.state.evacuations, loaded.evacuations
    assert loaded.drains == context.state.drains, loaded.drains


@then(r"(?P<slots>\d+) slots are (?P<used>\d+) after (?P<seconds>[\d.]+) s")
def step_ramp(context: Context, slots: str, used: str, seconds: str) -> None:
    assert returning_slots(int(slots), returning_fraction(float(seconds))) == int(used)
