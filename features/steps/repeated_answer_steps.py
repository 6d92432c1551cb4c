"""Steps on targets that repeat an answer on a kept connection."""

from asyncio import IncompleteReadError, StreamReader, StreamWriter, start_server
from collections.abc import Callable

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import PlainDialect, Received, read_request
from tornado.httpclient import AsyncHTTPClient

from jaylatch_core.ids import AttemptId, Epoch, FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.requests import ServiceWork
from jaylatch_core.messages.targets import TargetCheckIn
from jaylatch_core.settings import split_address
from jaylatch_decisions.targets import LeaveGroup, TargetRecord
from jaylatch_node.adapters import EngineClient, ServiceClient
from jaylatch_node.targets import OrderOutcome, ResponseHead
from jaylatch_node.targets.orders import EngineOrderClient
from jaylatch_standins.ports import free_addresses

ANSWER_LIMIT = 1 << 20
BUDGET_SECONDS = 2.0
ACCEPTED, FENCED = b"202 Accepted", b"412 Precondition Failed"

AnswerWriter = Callable[[Received, int], tuple[bytes, bytes]]
"""Returns status line and body of the answer to the request of this number."""

use_step_matcher("re")


async def serve(context: Context, answer: AnswerWriter) -> None:
    """Serve answers; on a kept connection the one before is written once more at first."""
    await serve_repeating(context, answer, lambda earlier: earlier)


async def serve_repeating(
    context: Context, answer: AnswerWriter, repeat: Callable[[bytes], bytes]
) -> None:
    """Serve answers; on a kept connection ``repeat`` of the one before is written at first."""
    context.requests = 0

    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        earlier = b""
        try:
            while True:
                request = await read_request(reader)
                context.requests += 1
                status, body = answer(request, context.requests)
                data = complete_answer(status, body)
                writer.write(repeat(earlier) + data if earlier else data)
                earlier = data
        except (IncompleteReadError, ConnectionError):
            writer.close()

    context.address = free_addresses(1)[0]
    host, port = split_address(context.address)
    context.server = await start_server(handle, host, port)


def complete_answer(status: bytes, body: bytes) -> bytes:
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


@given(r"a service that repeats its answers on kept connections")
def step_service(context: Context) -> None:
    context.runner.run(serve(context, lambda request, number: (b"200 OK", b"%d" % number)))


@when(r"an agent calls it with (?P<first>GET|POST) and then with (?P<second>GET|POST)")
def step_calls(context: Context, first: str, second: str) -> None:
    context.bodies = context.runner.run(call_service(context, (first, second)))


async def call_service(context: Context, methods: tuple[str, ...]) -> list[bytes]:
    service = ServiceClient(context.address, AsyncHTTPClient(force_instance=True))
    bodies = []
    for number, method in enumerate(methods):
        work = ServiceWork("orders", method, "/x", "text/plain", b"")
        attempt = AttemptId(f"a{number}")
        result = await service.call(attempt, work, BUDGET_SECONDS, ANSWER_LIMIT)
        bodies.append(result.unwrap().body)
    return bodies


@then(r"each call gets its own answer")
def step_own(context: Context) -> None:
    assert context.bodies == [b"1", b"2"], context.bodies


@given(r"an engine that repeats its state on kept connections")
def step_engine(context: Context) -> None:
    def state(request: Received, number: int) -> tuple[bytes, bytes]:
        body = {"group": "g", "epoch": number, "model": "m", "is_loaded": True, "is_busy": False}
        return b"200 OK", msgspec.json.encode(body)

    context.runner.run(serve(context, state))


@when(r"an agent reads its state at epoch 1 and then at epoch 2")
def step_read(context: Context) -> None:
    context.epochs = context.runner.run(read_states(context))


async def read_states(context: Context) -> list[int]:
    engine = EngineClient(context.address, AsyncHTTPClient(force_instance=True))
    return [(await engine.read_state()).unwrap().epoch for _ in range(2)]


@then(r"it has read epochs 1 and 2")
def step_epochs(context: Context) -> None:
    assert context.epochs == [1, 2], context.epochs


# Orders


class OrderDialect(PlainDialect):
    """Reads the outcome of an order from its status."""

    def read_order_outcome(self, head: ResponseHead) -> OrderOutcome:
        """Return whether the order was accepted or fenced."""
        return OrderOutcome.ACCEPTED if head.status == 202 else OrderOutcome.FENCED


@given(
    r"an engine that (?P<how>repeats|answers truthfully) that a newer leader has sent orders"
    r" to an order on a kept connection"
)
def step_fencing_engine(context: Context, how: str) -> None:
    def answer(request: Received, number: int) -> tuple[bytes, bytes]:
        return (ACCEPTED if how == "repeats" or number == 1 else FENCED), b""

    def repeat(earlier: bytes) -> bytes:
        return complete_answer(FENCED, b"") if how == "repeats" else b""

    context.runner.run(serve_repeating(context, answer, repeat))


@when(r"two orders are sent to it")
def step_orders(context: Context) -> None:
    context.outcomes = context.runner.run(send_orders(context))


def make_record(address: str) -> TargetRecord:
    domain = FailureDomainId("d")
    heartbeat = TargetCheckIn(InstanceId("i"), "models", address, domain, domain, 1, 1, False)
    return TargetRecord(heartbeat, 0.0)


async def send_orders(context: Context) -> list[OrderOutcome]:
    client = EngineOrderClient(OrderDialect())
    record = make_record(context.address)
    return [
        await client.send(record, LeaveGroup(GroupId("g"), Epoch(number)), 1) for number in (1, 2)
    ]


@then(r"the outcome of the second one is (?P<outcome>\w+)")
def step_outcome(context: Context, outcome: str) -> None:
    assert context.outcomes[-1].value == outcome, context.outcomes
