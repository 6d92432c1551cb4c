"""Steps on the failures of owners, gateways and links while requests wait for places."""

from asyncio import Task, gather, sleep

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.place_owners import MODEL, OwnerNetwork, leave, until

from jaylatch_core.clock import monotonic
from jaylatch_core.ids import AccountId, InstanceId, RequestDigest
from jaylatch_core.messages.places import PlaceCandidate, QueueTerms, TakePlace
from jaylatch_node.control.client import CONTROL_LOG
from jaylatch_node.gateway.places import Place

WAIT_SECONDS = 1.0
OWNER_PAUSE_SECONDS = 1.0
"""Seconds for which a gateway skips an owner that has failed."""

use_step_matcher("re")


@given(r"(?P<gateways>\d) gateways, three owners and a place that is held at the first owner")
def step_network(context: Context, gateways: str) -> None:
    async def start() -> None:
        context.network = OwnerNetwork(int(gateways), 1)
        await context.network.connect()
        context.held = await context.network.gateways[0].request("held")
        assert context.held is not None and context.held.target is not None
        # The request lasts longer than was expected, so that the others keep hoping.
        context.held.ends_at = monotonic()

    context.runner.run(start())


@given(
    r"three owners that may lead, and a place held at the first one"
    r" with a cold rate of (?P<rate>\d+)"
)
def step_cold_network(context: Context, rate: str) -> None:
    async def start() -> None:
        context.network = OwnerNetwork(1, 1)
        await context.network.connect()
        gateway = context.network.gateways[0]
        gateway.cold_rate = float(rate)
        gateway.client._confirm(CONTROL_LOG, context.network.owners[0].address)
        context.held = await gateway.request("held")
        assert context.held is not None and context.held.target is not None
        context.held.ends_at = monotonic()

    context.runner.run(start())


@when(r"2 requests wait at the leader and (?P<change_of_leader>.+)")
def step_new_leader(context: Context, change_of_leader: str) -> None:
    async def change() -> None:
        first, second = context.network.owners[:2]
        gateway = context.network.gateways[0]
        await sleep(0.15)
        context.tasks = [gateway.request(f"r{i}", max_wait=WAIT_SECONDS) for i in range(2)]
        await until(lambda: first.waiting == 2)
        for address in leaders(context, change_of_leader):
            if address is None:
                gateway.client._call_next(CONTROL_LOG, second.address)
            else:
                gateway.client._confirm(CONTROL_LOG, address)

    context.runner.run(change())


def leaders(context: Context, change: str) -> list[str | None]:
    """Return the leaders that become known one after the other, None for a failed call."""
    first, second = (owner.address for owner in context.network.owners[:2])
    match change:
        case "the second owner is confirmed as the leader":
            return [second]
        case "a call fails and the second owner is confirmed as the leader":
            return [None, second]
        case "a call fails and the first owner is confirmed again":
            return [None, first]
    raise ValueError(change)


@then(
    r"within 0.2 s (?P<first>\d) wait at the first owner and (?P<second>\d) at the second, which"
    r" counts (?P<places>\d)"
)
def step_waits_at_leader(context: Context, first: str, second: str, places: str) -> None:
    async def check() -> None:
        expected = (int(first), int(second), int(places))
        one, other = context.network.owners[:2]
        await sleep(0.2)
        found = (one.waiting, other.waiting, other.count_places())
        assert found == expected, found
        await gather(*map(leave, context.tasks))

    context.runner.run(check())


@when(r"(?P<requests>\d) requests wait there and (?P<event>.+)")
def step_event(context: Context, requests: str, event: str) -> None:
    context.runner.run(wait_and_disturb(context, int(requests), event))


async def wait_and_disturb(context: Context, requests: int, event: str) -> None:
    network = context.network
    first = network.owners[0]
    # They come when the place is about to become free, as far as the owner knows.
    await sleep(0.15)
    context.tasks = []
    context.asked_at = monotonic()
    for number in range(requests):
        gateway = network.gateways[number % len(network.gateways)]
        context.tasks.append(gateway.request(f"r{number}", max_wait=WAIT_SECONDS))
    if requests:
        await until(lambda: first.waiting > 0)
        await sleep(0.02)
        context.waited = first.waiting
        await assert_all_wait(context, requests)
    context.disturbed_at = monotonic()
    match event:
        case "the place is given back":
            context.held.release()
        case "the callers leave":
            await gather(*map(leave, context.tasks))
        case "nothing happens":
            pass
        case "the owner is killed":
            first.stop()
        case "the owner is killed and the place is given back":
            first.stop()
            await sleep(0.1)
            context.held.release()
        case "the connections to the owner are closed":
            first.proxy.drop_connections()
        case "the owner is restarted":
            first.stop()
            first.restart()
        case "the owner is paused":
            first.proxy.blocks_forward = first.proxy.blocks_backward = True
        case "the owner is paused and a request comes":
            first.proxy.blocks_forward = first.proxy.blocks_backward = True
            context.tasks.append(network.gateways[0].request("late", max_wait=WAIT_SECONDS))
        case "all owners are killed":
            for owner in network.owners:
                owner.stop()
        case "the second gateway is lost and the place is given back":
            network.gateways[1].pool.close()
            await sleep(0.03)
            context.held.release()
        case "a grant for a request that waits no more comes":
            await ask_and_forget(context)
            context.held.release()
        case "the owner answers after 0.2 s":
            first.proxy.delay = 0.1
            context.place = await network.gateways[0].request("slow", max_wait=0.1)
            context.took = monotonic() - context.disturbed_at
            first.proxy.delay = 0.0
        case "the first gateway asks another owner for a time":
            await split_owners(context)
        case _:
            raise AssertionError(event)


async def assert_all_wait(context: Context, requests: int) -> None:
    assert context.waited == requests, (context.waited, requests)
    assert not any(task.done() for task in context.tasks)


async def ask_and_forget(context: Context) -> None:
    """Ask for a place as a request that the gateway no longer knows has done."""
    gateway, first = context.network.gateways[0], context.network.owners[0]
    terms = QueueTerms(0, AccountId("x"), WAIT_SECONDS, 0.2, MODEL)
    message = TakePlace(
        "forgotten",
        (PlaceCandidate(InstanceId("t"), 1),),
        5.0,
        RequestDigest("forgotten"),
        queueing=terms,
    )
    await gateway.client.ask(first.address, message, 0.5)
    assert first.waiting == 1


async def split_owners(context: Context) -> None:
    """Let the first gateway ask the second owner, while the other one asks the first."""
    network = context.network
    first, second = network.owners[:2]
    one, other = network.gateways
    first.proxy.blocks_forward = True
    lost = one.request("lost", max_wait=0.05)
    await until(lambda: lost.done())
    first.proxy.heal()
    context.held.release()
    context.places = [await one.request("at second"), await other.request("at first")]
    context.held_at_once = len([item for item in context.places if item and item.target])
    assert second.count_places() == 1, second.count_places()
    await sleep(OWNER_PAUSE_SECONDS)
    last = one.request("back", max_wait=0.0)
    context.last = await last
    context.counted = first.count_places()


def answers(context: Context) -> list[Place | None]:
    return [task.result() for task in context.tasks if task.done() and not task.cancelled()]


def granted(context: Context) -> list[Place]:
    return [item for item in answers(context) if item is not None and item.target is not None]


@then(r"one of them gets it within (?P<limit>[\d.]+) s, and the others wait")
def step_one_granted(context: Context, limit: str) -> None:
    async def check() -> None:
        await until(lambda: bool(granted(context)), float(limit))
        await sleep(0.05)
        assert len(granted(context)) == 1
        waiting = sum(owner.waiting for owner in context.network.owners)
        pending = [task for task in context.tasks if not task.done()]
        assert waiting == len(pending) == len(context.tasks) - 1, (waiting, len(pending))
        await finish(context)

    context.runner.run(check())


@then(r"no request waits at an owner within (?P<limit>[\d.]+) s")
def step_none_waits(context: Context, limit: str) -> None:
    async def check() -> None:
        await until(
            lambda: not any(owner.waiting for owner in context.network.owners), float(limit)
        )
        await finish(context)

    context.runner.run(check())


@then(r"they are refused with a time to return, no later than (?P<limit>[\d.]+) s after their time")
def step_refused(context: Context, limit: str) -> None:
    async def check() -> None:
        await gather(*context.tasks)
        took = monotonic() - context.asked_at
        assert took < WAIT_SECONDS + float(limit), took
        for place in answers(context):
            assert place is not None and place.target is None, place
            assert place.retry_after > 0 and place.reason, (place.retry_after, place.reason)
        await finish(context)

    context.runner.run(check())


@then(
    r"they wait at the second owner within (?P<limit>[\d.]+) s,"
    r" which counts (?P<count>\d) place"
)
def step_moved(context: Context, limit: str, count: str) -> None:
    async def check() -> None:
        second = context.network.owners[1]
        await until(lambda: second.waiting == len(context.tasks), float(limit))
        assert second.count_places() == int(count), second.count_places()
        await finish(context)

    context.runner.run(check())


@then(r"each owner that is asked counts (?P<count>\d) place within (?P<limit>\d) s")
def step_rebuilt(context: Context, count: str, limit: str) -> None:
    async def check() -> None:
        first, second = context.network.owners[:2]
        await until(
            lambda: first.count_places() == second.count_places() == int(count), float(limit)
        )
        await finish(context)

    context.runner.run(check())


@then(r"they end no later than (?P<limit>[\d.]+) s after their time")
def step_end_at_due(context: Context, limit: str) -> None:
    async def check() -> None:
        await gather(*context.tasks)
        took = monotonic() - context.asked_at
        assert took < WAIT_SECONDS + float(limit), took
        assert not granted(context)
        await finish(context)

    context.runner.run(check())


@then(r"they end within (?P<limit>[\d.]+) s without an answer of an owner")
def step_end_without_owner(context: Context, limit: str) -> None:
    async def check() -> None:
        await until(lambda: all(task.done() for task in context.tasks), float(limit))
        assert answers(context) == [None] * len(context.tasks), answers(context)
        await finish(context)

    context.runner.run(check())


@then(r"a request of the first gateway gets it within (?P<limit>[\d.]+) s")
def step_first_gateway(context: Context, limit: str) -> None:
    async def check() -> None:
        ours: list[Task[Place | None]] = context.tasks[::2]
        await until(lambda: any(task.done() and task.result() for task in ours), float(limit))
        assert context.network.owners[0].waiting == len(ours) - 1
        await finish(context)

    context.runner.run(check())


@then(r"the first owner counts 0 places within (?P<limit>[\d.]+) s")
def step_no_places(context: Context, limit: str) -> None:
    async def check() -> None:
        first = context.network.owners[0]
        await until(lambda: not first.count_places() and not first.waiting, float(limit))
        await finish(context)

    context.runner.run(check())


@then(
    r"the request is not held for more than (?P<limit>[\d.]+) s,"
    r" and no owner counts it (?P<later>\d) s later"
)
def step_broken_off(context: Context, limit: str, later: str) -> None:
    async def check() -> None:
        assert context.took < float(limit), context.took
        if context.place is not None:
            context.place.release()
        await sleep(float(later))
        first = context.network.owners[0]
        assert not first.waiting and first.count_places() == 1, (
            first.waiting,
            first.count_places(),
        )
        await finish(context)

    context.runner.run(check())


@then(r"no more than 1 place is held in excess, and none once it is back")
def step_two_owners(context: Context) -> None:
    async def check() -> None:
        assert context.held_at_once == 2, context.places
        assert context.last is not None and context.last.target is None, context.last
        assert context.counted == 2, context.counted
        await finish(context)

    context.runner.run(check())


async def finish(context: Context) -> None:
    for task in context.tasks:
        if not task.done():
            await leave(task)
    await context.network.close()
