"""Steps on the announcements of targets to their agents."""

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application

from jaylatch_core.settings import split_address
from jaylatch_node.agent.handlers import AnnounceHandler
from jaylatch_standins.ports import free_addresses

ANNOUNCEMENT = {
    "target": "t",
    "kind": "service",
    "address": "127.0.0.1:80",
    "checks_fencing": False,
    "service": "orders",
}
NESTED = b"[" * 100_000 + b"]" * 100_000

use_step_matcher("re")


@given(r"an agent's interface for announcements")
def step_interface(context: Context) -> None:
    context.announced = []
    context.runner.run(serve(context))


async def serve(context: Context) -> None:
    context.address = free_addresses(1)[0]
    handlers = [("/announce", AnnounceHandler, {"announce": context.announced.append})]
    host, port = split_address(context.address)
    HTTPServer(Application(handlers)).listen(port, host)


@when(r"an announcement with (?P<change>.+) is posted")
def step_post(context: Context, change: str) -> None:
    changed = {
        "a deeply nested unknown field": {"other": "NESTED"},
        "a port above 65535": {"address": "127.0.0.1:99999"},
        "a host name for an address": {"address": "target.example:80"},
        "no address": {"address": None},
    }.get(change, {})
    body = msgspec.json.encode({**ANNOUNCEMENT, **changed}).replace(b'"NESTED"', NESTED)
    if "UTF-8" in change:
        body = body.replace(b"orders", b"orders\xff")
    context.status = context.runner.run(post(context, body))


async def post(context: Context, body: bytes) -> int:
    request = HTTPRequest(f"http://{context.address}/announce", method="POST", body=body)
    return (await AsyncHTTPClient().fetch(request, raise_error=False)).code


@then(r"it is answered (?P<status>\d+), and (?P<count>\d) targets were announced")
def step_answered(context: Context, status: str, count: str) -> None:
    found = (context.status, len(context.announced))
    assert found == (int(status), int(count)), found
