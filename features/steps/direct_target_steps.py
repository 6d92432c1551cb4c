"""Steps on the decisions about direct targets: registry, orders, routes, attempts and choice."""

import re
from random import Random

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from returns.pipeline import is_successful

from jaylatch_core.clock import MILLISECONDS_PER_SECOND
from jaylatch_core.deployment import (
    AccountProfile,
    Deployment,
    DeploymentNumber,
    RequestKind,
    RouteSpecification,
    ServiceProfile,
    ServiceShare,
    validate_deployment,
)
from jaylatch_core.enums import GroupState
from jaylatch_core.ids import AccountId, Epoch, FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_core.messages.targets import (
    MemberState,
    ReportedMembership,
    TargetCheckIn,
    TargetDeparture,
)
from jaylatch_core.units import KIBIBYTE
from jaylatch_decisions.events import EventSplitter
from jaylatch_decisions.targets import (
    CloseGroup,
    DrainGroup,
    EngineOrder,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    ProbeOutcome,
    ProbeVerdict,
    RouteTable,
    TargetLoad,
    TargetRegistry,
    choose_target,
    list_unattempted,
    may_admit,
    plan_orders,
)
from jaylatch_decisions.targets.attempts import (
    AttemptHistory,
    AttemptOutcome,
    NextStep,
    decide_next,
    record_outcome,
)
from jaylatch_decisions.targets.loads import LoadBudget
from jaylatch_decisions.targets.orders import EngineState

HEARTBEAT_TIMEOUT_SECONDS = 3.0
DOMAIN = FailureDomainId("d")
OUTCOMES = {
    "N": AttemptOutcome.NOT_SENT,
    "E": AttemptOutcome.EXPIRED,
    "R": AttemptOutcome.NOT_RUN,
    "B": AttemptOutcome.BROKEN,
    "S": AttemptOutcome.STALLED,
    "F": AttemptOutcome.FAILED,
    "M": AttemptOutcome.NO_MEMORY,
}
NEXT_STEPS = {"again": NextStep.RETRY, "refused": NextStep.REFUSE, "failed": NextStep.FAIL}
ORDER_NAMES = {
    JoinGroup: "join",
    OpenGroup: "open",
    DrainGroup: "drain",
    CloseGroup: "close",
    LeaveGroup: "leave",
}
LOAD_INTERVAL_SECONDS = 0.1
LOAD_WINDOW_SECONDS = 5.0

use_step_matcher("re")


def parse_heartbeat(text: str) -> TargetCheckIn:
    text, _, service = text.partition("@")
    name, address, incarnation, sequence = text.rstrip("d").split(":")
    return TargetCheckIn(
        InstanceId(name),
        service or "service",
        f"10.0.0.{address}:80",
        DOMAIN,
        DOMAIN,
        int(incarnation) * MILLISECONDS_PER_SECOND,
        int(sequence),
        text.endswith("d"),
    )


@given(r'a registry that has received "(?P<messages>[^"]*)", one message a second')
def step_registry(context: Context, messages: str) -> None:
    context.registry = TargetRegistry(HEARTBEAT_TIMEOUT_SECONDS, started_at=0.0)
    context.registry.use_services(frozenset({"service", "other"}))
    context.now = 0.0
    for message in messages.split():
        if message.startswith("+"):
            context.now += float(message)
            continue
        context.now += 1.0
        match re.fullmatch(r"(--?)(\w)(?:@(\d+))?", message):
            case None:
                context.registry.record_heartbeat(context.now, parse_heartbeat(message))
            case found:
                left_at = int(found[3] or 0) * MILLISECONDS_PER_SECOND
                departure = TargetDeparture(InstanceId(found[2]), left_at)
                if found[1] == "-":
                    departure = context.registry.identify(departure)
                context.registry.depart(context.now, departure)


@then(
    r'before "(?P<heartbeat>[^"]*)" after (?P<seconds>\d+) s more it (?P<says>says|does not say)'
    r" that routes may change"
)
def step_changes_routes(context: Context, heartbeat: str, seconds: str, says: str) -> None:
    now = context.now + float(seconds)
    may_change = context.registry.changes_routes(now, parse_heartbeat(heartbeat))
    assert may_change is (says == "says"), may_change


@given(r"a registry of (?P<count>\d+) targets that has derived its routes")
def step_many_targets(context: Context, count: str) -> None:
    context.registry = TargetRegistry(HEARTBEAT_TIMEOUT_SECONDS, started_at=0.0)
    context.count = int(count)
    for number in range(context.count):
        context.registry.record_heartbeat(0.0, parse_heartbeat(f"t{number}:{number}:10:1"))


@when(r"each of them sends (?P<times>\d+) heartbeats that repeat what is known")
def step_repeated_heartbeats(context: Context, times: str) -> None:
    context.changes = 0
    for sequence in range(2, int(times) + 2):
        for number in range(context.count):
            heartbeat = parse_heartbeat(f"t{number}:{number}:10:{sequence}")
            context.changes += context.registry.changes_routes(float(sequence - 1), heartbeat)
            assert context.registry.record_heartbeat(float(sequence - 1), heartbeat)


@then(r"no heartbeat says that routes may change")
def step_no_changes(context: Context) -> None:
    assert context.changes == 0, context.changes


@when(
    r"a probe sent (?P<sent_after>[\d.]+) s later is not answered"
    r' and the target then reports "(?P<later>[^"]*)"'
)
def step_probe_missed(context: Context, sent_after: str, later: str) -> None:
    context.now += float(sent_after)
    assert context.registry.mark_lost(InstanceId("a"), context.now)
    for message in later.split():
        context.registry.record_heartbeat(context.now, parse_heartbeat(message))


@when(r'the target a has "(?P<history>[^"]*)" s later')
def step_probe_history(context: Context, history: str) -> None:
    target, sequence = InstanceId("a"), 1
    for what, _, after in (item.partition(":") for item in history.split()):
        now = context.now + float(after)
        match what:
            case "heartbeat":
                sequence += 1
                heartbeat = parse_heartbeat(f"a:1:10:{sequence}")
                assert context.registry.record_heartbeat(now, heartbeat)
            case "seen":
                context.registry.confirm(now, target)
            case "term":
                context.registry.begin_leading(now)
            case _:
                context.verdict = context.registry.judge_probe(now, target, ProbeOutcome(what))


@then(r'the last probe says "(?P<verdict>[^"]*)", and a further one is due after (?P<due>[\d.]*) s')
def step_probe_verdict(context: Context, verdict: str, due: str) -> None:
    assert context.verdict is ProbeVerdict(verdict), context.verdict
    times = [context.now + tick / 10 + 0.05 for tick in range(40)]
    overdue = [now for now in times if context.registry.overdue_silences(now)]
    if not due:
        assert not overdue, overdue
        return
    assert overdue and abs(overdue[0] - context.now - float(due)) < 0.1, overdue
    assert context.registry.is_usable(context.now, InstanceId("a")), "a silent target is left"


@when(r"the control instance becomes the leader (?P<gap>\d+) s later")
def step_begin_leading(context: Context, gap: str) -> None:
    context.now += float(gap)
    context.registry.begin_leading(context.now)


@then(
    r'after (?P<seconds>\d+) s more the usable targets are "(?P<usable>[^"]*)"'
    r' and the draining ones "(?P<draining>[^"]*)"'
)
def step_usable(context: Context, seconds: str, usable: str, draining: str) -> None:
    now = context.now + float(seconds)
    records = context.registry.all()
    found = sorted(
        record.heartbeat.instance
        for record in records
        if context.registry.is_usable(now, record.heartbeat.instance)
    )
    assert found == usable.split(), found
    leaving = [item.heartbeat.instance for item in records if item.draining_since is not None]
    assert leaving == draining.split(), leaving


def parse_membership(text: str) -> ReportedMembership:
    group_and_epoch, rank, state = text.split("/")
    group, epoch = group_and_epoch.split("@")
    return ReportedMembership(GroupId(group), Epoch(int(epoch)), int(rank), MemberState(state))


@given(r'the groups "(?P<groups>[^"]*)"')
def step_groups(context: Context, groups: str) -> None:
    context.groups = []
    for text in groups.split():
        group_and_epoch, members = text.split(":")
        name, epoch = group_and_epoch.split("@")
        context.groups.append(
            Group(
                GroupId(name),
                Epoch(int(epoch)),
                "model",
                tuple(InstanceId(member) for member in members),
                GroupState.ACTIVE,
            )
        )


@given(r'the engines "(?P<engines>[^"]*)"')
def step_engines(context: Context, engines: str) -> None:
    context.engines = {}
    for text in engines.split():
        name, _, membership = text.partition("=")
        state = parse_membership(membership) if membership else None
        context.engines[InstanceId(name)] = EngineState(InstanceId(name), state, ())


@when(r'a member of "(?P<group>[^"]*)" announces that it leaves')
def step_member_leaves(context: Context, group: str) -> None:
    context.leaving = frozenset({GroupId(group)})


@then(r'the orders are "(?P<orders>[^"]*)"')
def step_orders(context: Context, orders: str) -> None:
    leaving = getattr(context, "leaving", frozenset())
    found: dict[InstanceId, EngineOrder] = plan_orders(context.groups, context.engines, leaving)
    names = sorted(f"{ORDER_NAMES[type(order)]} {name}" for name, order in found.items())
    assert names == sorted(item for item in orders.split(", ") if item), names
    for order in found.values():
        if isinstance(order, JoinGroup):
            group = next(item for item in context.groups if item.id == order.group)
            assert (order.epoch, order.members) == (group.epoch, group.members), order


def make_route(name: str, host: str, prefix: str, kind: RequestKind) -> RouteSpecification:
    return RouteSpecification(
        name, host, prefix, kind, 1.0, 0.2, (ServiceShare("service", 1.0),), attempts=1
    )


@given(r'routes at "(?P<routes>[^"]*)"')
def step_routes(context: Context, routes: str) -> None:
    specifications = []
    for text in routes.split():
        location, _, name = text.partition("=")
        host, _, prefix = location.partition("/")
        kind = RequestKind.IDEMPOTENT
        specifications.append(make_route(name, host, f"/{prefix}", kind))
    context.route_table = RouteTable(Deployment(DeploymentNumber(1), tuple(specifications)))


@then(r'a request for host "(?P<host>.*)" and path "(?P<path>.*)" matches route "(?P<route>.*)"')
def step_route_found(context: Context, host: str, path: str, route: str) -> None:
    found = context.route_table.find_route(host, path)
    assert (found.name if found is not None else "none") == route, found


@given(r"a deployment document with (?P<fault>.*)")
def step_document(context: Context, fault: str) -> None:
    route = make_route("r", "h", "/a/", RequestKind.IDEMPOTENT)
    service = ServiceProfile("service", 10)
    account = AccountProfile(AccountId("x"), ("key",))
    document = Deployment(DeploymentNumber(1), (route,), (service,), accounts=(account,))
    replace = msgspec.structs.replace
    unknown_shares = (ServiceShare("nobody", 1.0),)
    documents = {
        "nothing wrong": document,
        "a route to an unknown service": replace(
            document, routes=(replace(route, shares=unknown_shares),)
        ),
        "two routes of one host and prefix": replace(
            document, routes=(route, replace(route, name="s"))
        ),
        "a route whose weights add up to 0": replace(
            document, routes=(replace(route, shares=(ServiceShare("service", 0.0),)),)
        ),
        "a route without a timeout": replace(document, routes=(replace(route, timeout=0.0),)),
        "a key that two accounts share": replace(
            document, accounts=(account, AccountProfile(AccountId("y"), ("key",)))
        ),
        "no number": replace(document, number=DeploymentNumber(0)),
        "a prefix without slashes": replace(document, routes=(replace(route, path_prefix="a"),)),
        "a service that is defined twice": replace(document, services=(service, service)),
    }
    context.document = documents[fault]


@then(r'it is refused with "(?P<finding>.*)"')
def step_refused_with(context: Context, finding: str) -> None:
    checked = validate_deployment(context.document)
    found = [] if is_successful(checked) else [item.id for item in checked.failure().findings]
    assert found == ([finding] if finding else []), found


@given(
    r"a route of kind (?P<kind>\w+) for at most (?P<attempts>\d+) targets,"
    r" with a retry budget: (?P<budget>yes|no)"
)
def step_attempt_route(context: Context, kind: str, attempts: str, budget: str) -> None:
    kinds = {"resumable": RequestKind.STREAM, "stream": RequestKind.STREAM}
    route = make_route("r", "h", "/", kinds.get(kind) or RequestKind(kind))
    context.route = msgspec.structs.replace(
        route, attempts=int(attempts), is_resumable=kind == "resumable"
    )
    context.has_budget = budget == "yes"


@when(r'the attempts end "(?P<outcomes>[NERBSFM ]+)"')
def step_attempts_end(context: Context, outcomes: str) -> None:
    history = AttemptHistory()
    for outcome in outcomes.split():
        record_outcome(history, OUTCOMES[outcome])
        context.next = decide_next(context.route, history, OUTCOMES[outcome], context.has_budget)


@then(r"the next step is (?P<step>again|refused|failed)")
def step_next(context: Context, step: str) -> None:
    assert context.next is NEXT_STEPS[step], context.next


@given(r'the targets "(?P<targets>[^"]*)"')
def step_targets(context: Context, targets: str) -> None:
    context.targets = []
    for text in targets.split():
        name, slots, own, *reported = text.split(":")
        load = TargetLoad(InstanceId(name), int(slots), DOMAIN, own_in_flight=int(own))
        if reported:
            # The report already includes the present requests of this node.
            load.record_report(10.0, int(reported[0]))
        context.targets.append(load)


@when(
    r'"(?P<failures>[^"]*)" have just failed'
    r' and "(?P<attempted>[^"]*)" have been attempted for the request'
)
def step_failures(context: Context, failures: str, attempted: str) -> None:
    for name in failures.split():
        next(item for item in context.targets if item.instance == name).record_failure(10.0)
    by_name = {item.instance: item for item in context.targets}
    context.attempted = {InstanceId(name): by_name[InstanceId(name)] for name in attempted.split()}


@then(r'after (?P<seconds>\d+) s the choice is "(?P<choice>\w+)"')
def step_choice(context: Context, seconds: str, choice: str) -> None:
    now = 10.0 + float(seconds)
    candidates = list_unattempted(context.targets, context.attempted)
    chosen = choose_target(now, candidates, DOMAIN, Random(1))
    assert (chosen.instance if chosen is not None else "none") == choice, chosen


@then(r"a (?P<kind>new|resumed) stream for the target is (?P<outcome>sent|refused)")
def step_admission(context: Context, kind: str, outcome: str) -> None:
    is_admitted = may_admit(10.0, context.targets[0], kind == "resumed")
    assert is_admitted is (outcome == "sent"), context.targets[0]


def event_bytes(piece: str) -> bytes:
    """Return the bytes of the events and halves of events in ``piece``."""
    data = b""
    for item in piece.split("+"):
        number = item.strip("-")
        event = f"id: {number}\ndata: text {number}\n\n".encode()
        half = len(event) // 2
        if item.endswith("-"):
            data += event[:half]
        elif item.startswith("-"):
            data += event[half:]
        else:
            data += event
    return data


@given(r"a caller that has the events up to (?P<last>-?\d+)")
def step_caller_has(context: Context, last: str) -> None:
    context.splitter = EventSplitter(int(last))


@when(r'the pieces "(?P<pieces>[^"]*)" arrive')
def step_pieces(context: Context, pieces: str) -> None:
    context.passed = b""
    for piece in pieces.split():
        if piece == "|":
            context.splitter.restart()
        else:
            context.passed += context.splitter.feed(event_bytes(piece))


@then(
    r'the events passed on are "(?P<passed>[^"]*)"'
    r" and an incomplete event is left: (?P<left>yes|no)"
)
def step_passed(context: Context, passed: str, left: str) -> None:
    assert context.passed == b"".join(event_bytes(item) for item in passed.split())
    assert context.splitter.has_partial == (left == "yes")


@when(r"an event with an id of (?P<digits>\d+) digits arrives")
def step_long_id(context: Context, digits: str) -> None:
    context.event = b"id: " + b"9" * int(digits) + b"\ndata: text\n\n"
    context.passed = context.splitter.feed(context.event)


@then(r"it is passed on unchanged")
def step_passed_unchanged(context: Context) -> None:
    assert context.passed == context.event, context.passed


@when(r"an event of (?P<size>\d+) KiB arrives in pieces of (?P<piece>\d+) KiB")
def step_large_event(context: Context, size: str, piece: str) -> None:
    for _ in range(int(size) // int(piece)):
        context.splitter.feed(b"x" * int(piece) * KIBIBYTE)


@then(r"the stream is (?P<state>still usable|given up), and at most (?P<held>\d+) KiB are held")
def step_large_event_held(context: Context, state: str, held: str) -> None:
    assert context.splitter.is_broken == (state == "given up"), state
    assert context.splitter.pending_size <= int(held) * KIBIBYTE, context.splitter.pending_size


@given(r"a load budget at a (?P<start>first|later) start")
def step_budget(context: Context, start: str) -> None:
    context.budget = LoadBudget(0.0, is_first_start=start == "first")


@when(
    r"(?P<wanted>\d+) loads are requested each 0.1 s for (?P<seconds>\d+) s"
    r" at a rate of (?P<rate>\d+)"
)
def step_loads(context: Context, wanted: str, seconds: str, rate: str) -> None:
    context.start_times = []
    for tick in range(int(float(seconds) / LOAD_INTERVAL_SECONDS)):
        now = tick * LOAD_INTERVAL_SECONDS
        context.start_times += [
            now for _ in range(int(wanted)) if context.budget.take(now, float(rate))
        ]


@then(r"at most (?P<most>\d+) loads start in any 5 s, and at least (?P<least>\d+) in all")
def step_loads_started(context: Context, most: str, least: str) -> None:
    windows = [
        sum(start <= other < start + LOAD_WINDOW_SECONDS for other in context.start_times)
        for start in context.start_times
    ]
    assert max(windows) <= int(most), max(windows)
    assert len(context.start_times) >= int(least), len(context.start_times)
