"""``make demo``: serves requests with real processes on this machine during a kill and a drain.

The exit code is 0 only if every request was answered or refused, no answer was incomplete and no
order ran twice.
"""

import sys
from argparse import ArgumentParser
from asyncio import create_task, gather, run, sleep
from collections import Counter
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from time import monotonic, time
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient

from jaylatch_standins.caller import Caller, CallerOutcome
from jaylatch_standins.cluster import OPERATOR_TOKEN, Cluster, ClusterPlan
from jaylatch_standins.deployment import (
    ACCOUNT_KEYS,
    MODEL,
    SERVICE,
    configuration_text,
    create_operator,
    hash_key,
    read_status,
    wait_for_groups,
    wait_until,
)
from jaylatch_standins.ledger import read_ledger

REQUEST_COUNT = 360
RUN_TIME = 12.0
"""Seconds over which the requests are sent."""
DEADLINE = 10.0
"""Seconds that a caller allows for a request."""
KILL_AT = 3.0
"""Seconds after the start of the load at which an instance is killed."""
DRAIN_AT = 6.0
"""Seconds after the start of the load at which a group is drained."""
ORDER_SHARE = 0.25
"""Fraction of the requests that are non-idempotent orders."""
TOKENS_PER_ANSWER = 40
"""Tokens of a completion."""


class Demo:
    """One run of the demo."""

    def __init__(self, folder: Path, seed: int) -> None:
        self._random = Random(seed)
        plan = ClusterPlan(services={SERVICE: 1}, engine_options=("--token-time", "0.01"))
        self._cluster = Cluster(folder, plan, configuration_text(), hash_key(OPERATOR_TOKEN))
        self._outcomes: list[tuple[str, CallerOutcome]] = []
        self._killed_at = 0.0

    async def run(self) -> bool:
        """Run the cluster under load and faults, print the results and return whether it passed."""
        self._cluster.start()
        try:
            took = await wait_for_groups(self._cluster, 3)
            print(f"3 groups serve after {took:.1f} s; sending {REQUEST_COUNT} requests")
            faults = create_task(self._inject_faults())
            await self._send_load()
            await faults
            status = await read_status(self._cluster)
            timeline = await create_operator(self._cluster).get("timeline")
        finally:
            self._cluster.stop()
        self._print_timeline(timeline)
        return self._print_table(status)

    async def _send_load(self) -> None:
        started_at = monotonic()
        tasks = []
        for number in range(REQUEST_COUNT):
            due = started_at + RUN_TIME * number / REQUEST_COUNT
            await sleep(max(due - monotonic(), 0))
            tasks.append(create_task(self._send(number)))
        await gather(*tasks)

    async def _send(self, number: int) -> None:
        entry = self._random.choice(self._cluster.entries)
        account = self._random.choice(sorted(ACCOUNT_KEYS))
        caller = Caller(entry, ACCOUNT_KEYS[account])
        if self._random.random() < ORDER_SHARE:
            name = f"order-{number}"
            outcome = await caller.order(SERVICE, "orders", name, name, DEADLINE)
            kind = "order"
        else:
            is_streamed = self._random.random() < 0.5
            kind = "streamed" if is_streamed else "whole"
            outcome = await caller.complete(
                MODEL,
                f"prompt {number}",
                TOKENS_PER_ANSWER,
                is_streamed=is_streamed,
                timeout=DEADLINE,
            )
        self._outcomes.append((kind, outcome))

    async def _inject_faults(self) -> None:
        operator = create_operator(self._cluster)
        await sleep(KILL_AT)
        status = await read_status(self._cluster)
        victim = status["groups"][0]["members"][1]
        self._killed_at = time()
        self._cluster.kill_instance(victim)
        print(f"killed {victim}, a member of {status['groups'][0]['id']}")
        await sleep(DRAIN_AT - KILL_AT)
        status = await read_status(self._cluster)
        group = status["groups"][-1]
        body = {"scope": "group", "subject": group["id"], "is_draining": True}
        await operator.put("drains", msgspec.json.encode(body))
        print(f"draining {group['id']}")

        async def is_drained() -> bool:
            report = await read_status(self._cluster)
            epochs = {item["id"]: item["epoch"] for item in report["groups"]}
            return bool(epochs.get(group["id"]) != group["epoch"])

        await wait_until(is_drained, 30.0, f"{group['id']} drained")

    def _print_timeline(self, timeline: dict[str, Any]) -> None:
        print("timeline of the kill, all processes:")
        omitted = {"attempt.started", "request.answered"}
        for event in timeline["events"]:
            after = event["at"] - self._killed_at
            if -0.5 < after < 3.0 and event["name"] not in omitted:
                words = [event["name"], event["subject"], event["request"], event["detail"]]
                print(f"  {after:+8.3f} s  {event['node']:12} {' '.join(filter(None, words))}")
        if timeline["unreachable"]:
            print(f"  no events from: {', '.join(timeline['unreachable'])}")

    def _print_table(self, status: dict[str, Any]) -> bool:
        runs = Counter(
            line.order
            for line in read_ledger(self._cluster.ledger)
            if line.what == "start" and line.order
        )
        answered = sum(outcome.is_complete for _, outcome in self._outcomes)
        incomplete = sum(
            outcome.status == 200 and not outcome.is_complete for _, outcome in self._outcomes
        )
        refused = Counter(outcome.outcome for _, outcome in self._outcomes if outcome.outcome)
        unanswered = sum(outcome.status == 0 for _, outcome in self._outcomes)
        repeated = sum(number > 1 for number in runs.values())
        rows = {
            "answered in time": f"{answered} of {REQUEST_COUNT}",
            "refused, not run": refused["not_run"],
            "refused, ran": refused["ran"],
            "refused, unknown": refused["unknown"],
            "answers incomplete": incomplete,
            "callers without an answer": unanswered,
            "orders run twice": repeated,
            "group downtime": f"{status['group_downtime']:.2f} s",
            "stranded accelerators": f"{status['stranded_seconds']:.2f} accelerator-seconds",
        }
        for label, value in rows.items():
            print(f"{label:28} {value}")
        return (
            not (incomplete or unanswered or repeated)
            and answered + sum(refused.values()) == REQUEST_COUNT
        )


def main() -> int:
    """Run the demo in a temporary folder."""
    parser = ArgumentParser(
        description="Serve requests with real processes during a kill and a drain."
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    folder = Path(mkdtemp(prefix="jaylatch-demo-"))
    is_passed = run(Demo(folder, options.seed).run())
    print("all checks passed" if is_passed else f"A CHECK FAILED; logs in {folder}")
    return 0 if is_passed else 1


if __name__ == "__main__":
    sys.exit(main())
