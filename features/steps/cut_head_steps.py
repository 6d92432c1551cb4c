"""Steps on targets that end their connections within an answer."""

from asyncio import StreamReader, StreamWriter, get_running_loop, start_server
from collections.abc import Awaitable, Callable

from behave import given, then, use_step_matcher, when
from behave.runner import Context
from features.support.gateway import read_request
from repeated_answer_steps import OrderDialect, make_record
from returns.pipeline import is_successful
from tornado.curl_httpclient import CurlAsyncHTTPClient

from jaylatch_cli.client import AdministrationClient
from jaylatch_core.ids import AttemptId, Epoch, GroupId
from jaylatch_core.messages.requests import ModelWork, ServiceWork
from jaylatch_core.settings import split_address
from jaylatch_decisions.targets import LeaveGroup, ProbeOutcome
from jaylatch_node.adapters import EngineClient, ServiceClient
from jaylatch_node.targets import OrderOutcome
from jaylatch_node.targets.orders import EngineOrderClient
from jaylatch_standins.ports import free_addresses

ANSWER_LIMIT = 1 << 20
BUDGET_SECONDS = 2.0
OK = b"HTTP/1.1 200 OK\r\nX-Generation: 3\r\nContent-Type: application/json\r\n"
ANSWERS = {
    "a body with a length": OK + b"Content-Length: 8\r\n\r\nin stock",
    "a body in chunks": OK + b"Transfer-Encoding: chunked\r\n\r\n8\r\nin stock\r\n0\r\n\r\n",
    "a body after an interim answer": (
        b"HTTP/1.1 102 Processing\r\n\r\n" + OK + b"Content-Length: 8\r\n\r\nin stock"
    ),
    "no content": b"HTTP/1.1 204 No Content\r\nX-Generation: 3\r\n\r\n",
}

Handler = Callable[[StreamReader, StreamWriter], Awaitable[None]]

use_step_matcher("re")


@given(r"a target that ends its connections after each byte of (?P<answer>.+) in turn")
def step_target(context: Context, answer: str) -> None:
    async def handle(reader: StreamReader, writer: StreamWriter) -> None:
        await read_request(reader)
        writer.write(context.answer[: context.variant])
        writer.close()

    context.answer = ANSWERS[answer]
    context.variants = range(len(context.answer) + 1)
    context.runner.run(listen(context, handle))


async def listen(context: Context, handle: Handler) -> None:
    """Listen with ``handle`` at a free address."""
    context.address = free_addresses(1)[0]
    host, port = split_address(context.address)
    context.server = await start_server(handle, host, port)


@when(r"with each of them (?P<what>.+)")
def step_call(context: Context, what: str) -> None:
    context.runner.run(call_each(context, what))


async def call_each(context: Context, what: str) -> None:
    """Make the call with each variant of the answer; note those that are taken for one."""
    context.taken = []
    for variant in context.variants:
        context.variant = variant
        if await is_answered(context.address, what):
            context.taken.append(variant)


async def is_answered(address: str, what: str) -> bool:
    client = CurlAsyncHTTPClient(force_instance=True)
    control = EngineOrderClient(OrderDialect())
    try:
        match what:
            case "an agent calls the service":
                work = ServiceWork("orders", "GET", "/x", "text/plain", b"")
                return is_successful(
                    await ServiceClient(address, client).call(
                        AttemptId("a"), work, BUDGET_SECONDS, ANSWER_LIMIT
                    )
                )
            case "an agent checks its health":
                return await ServiceClient(address, client).is_healthy()
            case "an agent orders the engine to leave":
                engine = EngineClient(address, client)
                return is_successful(await engine.order_release(GroupId("g"), Epoch(1)))
            case "an agent reads the engine's state":
                return is_successful(await EngineClient(address, client).read_state())
            case "an agent runs a completion":
                completion = ModelWork("m", "prompt", 5, 0, 0)
                return is_successful(
                    await EngineClient(address, client).complete(
                        AttemptId("a"),
                        completion,
                        BUDGET_SECONDS,
                        ANSWER_LIMIT,
                        lambda *token: None,
                    )
                )
            case "control sends an order":
                outcome = await control.send(
                    make_record(address), LeaveGroup(GroupId("g"), Epoch(1)), 1
                )
                return outcome is not OrderOutcome.UNKNOWN
            case "control sends a probe":
                return await control.probe(make_record(address), False) is ProbeOutcome.ANSWERED
            case "an operator changes the preset":
                # The command line's client runs a loop of its own.
                return await get_running_loop().run_in_executor(None, change_preset, address)
            case _:
                raise AssertionError(what)
    finally:
        client.close()


def change_preset(address: str) -> bool:
    client = AdministrationClient(address, "token")
    return is_successful(client.put("preset", b'{"preset":"peak"}', 1))


@then(r"only the complete answer is taken for one")
def step_only_complete(context: Context) -> None:
    assert context.taken == [len(context.answer)], (context.taken, len(context.answer))
