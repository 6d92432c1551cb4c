"""Steps on a deployment whose entry has a lease before the first configuration."""

import msgspec
from behave import given, then, use_step_matcher, when
from behave.runner import Context
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    SERVICE,
    configuration_text,
    create_operator,
    hash_key,
    read_status,
    wait_until,
)

WAIT_TIMEOUT = 60.0
REQUESTS = {
    "a completion": ("POST", "/v1/completions", {}),
    "a list of models": ("GET", "/v1/models", {}),
    "an order": ("POST", f"/services/{SERVICE}/orders", {}),
    "a keyed order": ("POST", f"/services/{SERVICE}/orders", {"Idempotency-Key": "key-1"}),
}
COMPLETION = msgspec.json.encode({"model": MODEL, "prompt": "clippers", "max_tokens": 2})

use_step_matcher("re")


async def fetch(context: Context, method: str, path: str, headers: dict[str, str]) -> HTTPResponse:
    request = HTTPRequest(
        f"http://{context.cluster.entries[0]}{path}",
        method=method,
        headers={"Authorization": f"Bearer {ACCOUNT_KEYS['skarvik']}", **headers},
        body=COMPLETION if method == "POST" else None,
    )
    return await AsyncHTTPClient().fetch(request, raise_error=False)


async def send(context: Context, name: str) -> HTTPResponse:
    method, path, headers = REQUESTS[name]
    return await fetch(context, method, path, {"X-Request-Timeout": "0.5", **headers})


@given("a deployment to which no configuration has been applied")
def step_deployment(context: Context) -> None:
    plan = ClusterPlan(controls=1, entries=1, domains=1, engines=1)
    cluster = Cluster(context.folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
    for node in cluster.nodes.values():
        with node.edited_settings() as settings:
            del settings["control"]["initial_configuration"]
    context.cluster = cluster
    cluster.start()

    async def has_lease() -> bool:
        status = await read_status(cluster, WAIT_TIMEOUT)
        return any(node["instance"] == "entry-1" for node in status["nodes"])

    context.runner.run(wait_until(has_lease, WAIT_TIMEOUT, "a lease of the entry"))


@then("/readyz of its entry answers 503 though it holds a lease")
def step_not_ready(context: Context) -> None:
    assert context.runner.run(fetch(context, "GET", "/readyz", {})).code == 503


@then(
    r"(?P<name>.+) is refused with 503, not_configured and (?P<outcome>\w+), to be sent again"
    r" after 1 s"
)
def step_refused(context: Context, name: str, outcome: str) -> None:
    answer = context.runner.run(send(context, name))
    problem = msgspec.json.decode(answer.body)
    found = (answer.code, problem["title"], problem["outcome"], answer.headers["Retry-After"])
    assert found == (503, "not_configured", outcome, "1"), (found, problem)


@when("its first configuration is applied")
def step_apply(context: Context) -> None:
    document = configuration_text().encode()
    operator = create_operator(context.cluster)
    headers = {"X-Expected-Generation": "0"}
    answer = context.runner.run(operator.put("configuration", document, headers))
    assert answer and answer["type"] == "CommandAccepted", answer


@then(r"/readyz of its entry answers 200, and (?P<name>.+) is not refused for its key")
def step_ready(context: Context, name: str) -> None:
    async def is_ready() -> bool:
        return bool((await fetch(context, "GET", "/readyz", {})).code == 200)

    context.runner.run(wait_until(is_ready, WAIT_TIMEOUT, "a ready entry"))
    answer = context.runner.run(send(context, name))
    # There are too few instances for a group, and no target of the service.
    problem = msgspec.json.decode(answer.body) if answer.code != 200 else {}
    assert problem.get("title") not in ("key_unknown", "not_configured"), problem


use_step_matcher("parse")
