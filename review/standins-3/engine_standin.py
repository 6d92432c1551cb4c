"""A stand-in model server of the platform: it joins groups, and a head runs streams."""

import json
from asyncio import CancelledError, StreamWriter, create_task, sleep
from time import monotonic
from typing import Any

from server_standin import Server

EVENT_INTERVAL = 0.03
"""Seconds between two events of a stream."""
EVENTS = 10


class Engine(Server):
    """Carries out orders at once. ``begun`` holds what was so when each request began to run."""

    model = ""
    domain = "domain-1"

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.group: dict[str, Any] | None = None
        self.members: list[str] = []
        self.staged: list[str] = []
        self.highest_epoch = 0
        self.fence = 0
        self.orders = 0
        self.models: list[str] = []
        self.begun: list[tuple[float, str, str, int, int]] = []
        self.join_s = 0.2
        self.load_s = 0.5

    def describe(self) -> bytes:
        """Return the body of the next check-in."""
        fields = json.loads(super().describe())
        fields["slots"] = 24
        return json.dumps(fields | self._state() | {"domain": self.domain}).encode()

    def _state(self) -> dict[str, Any]:
        models = [{"name": self.group["model"], "version": 1, "adapters": []}] if self.group else []
        group = (
            {key: self.group[key] for key in ("name", "epoch", "rank", "state")}
            if self.group
            else None
        )
        return {"phase": "mixed", "models": models, "staged": self.staged, "group": group}

    def _change(self, state: str) -> None:
        assert self.group is not None
        self.group["state"] = state
        create_task(self.check_in())

    async def answer(
        self, line: str, headers: dict[str, str], body: bytes, writer: StreamWriter
    ) -> None:
        """Answer a report, an order or a request."""
        method, path, _ = line.split(" ")
        if headers.get("expect-instance", self.name) != self.name:
            self.send(writer, 421, headers.get("attempt-id", ""), b"", "Not-Executed: 1\r\n")
        elif path == "/v1/report":
            report = self._state() | {"busy": False, "seq": self.orders, "queued": 0, "active": 0}
            report |= {"kvUsed": 0, "kvTotal": 795000, "handles": 0, "born": self.born, "pace": 1.0}
            self.send(writer, 200, "", json.dumps(report).encode())
        elif path == "/v1/order":
            order = json.loads(body)
            status = self.carry_out(order)
            self.record.write(f"server {self.name}: order {order} -> {status}")
            self.send(writer, status, "", b"{}")
        else:
            await self._run(headers, writer)

    def carry_out(self, order: dict[str, Any]) -> int:
        """Carry out an order; return the status of the answer."""
        if order.get("fence", 0) < self.fence:
            return 412
        self.fence = order.get("fence", 0)
        if self.models and order.get("model", self.models[0]) not in self.models:
            return 409
        match order["op"]:
            case "join":
                return self._join(order)
            case "phase":
                create_task(self._stage(order["model"]))
                return 202
        if not self.group or (self.group["name"], self.group["epoch"]) != (
            order["group"],
            order["epoch"],
        ):
            return 409
        match order["op"], self.group["state"]:
            case "open", "ready":
                self._change("open")
            case "close", "open":
                self._change("ready")
            case "leave", _:
                self.group = None
                create_task(self.check_in())
            case _:
                return 409
        self.orders += 1
        return 202

    def _join(self, order: dict[str, Any]) -> int:
        known = self.group
        is_same = known and (known["name"], known["epoch"]) == (order["group"], order["epoch"])
        if order["epoch"] < self.highest_epoch or (is_same and self.members != order["members"]):
            return 412
        if is_same:
            return 200
        self.highest_epoch = order["epoch"]
        self.members = order["members"]
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": order["members"].index(self.name),
            "state": "joining",
            "model": order["model"],
        }
        self.orders += 1
        create_task(self._become_ready(order["epoch"], order["model"]))
        create_task(self.check_in())
        return 202

    async def _become_ready(self, epoch: int, model: str) -> None:
        await sleep(self.join_s if model in self.staged else self.load_s)
        self.staged = [model]
        if self.group and self.group["epoch"] == epoch and self.group["state"] == "joining":
            self._change("ready")

    async def _stage(self, model: str) -> None:
        await sleep(self.load_s)
        self.staged = [model]
        await self.check_in()

    async def _run(self, headers: dict[str, str], writer: StreamWriter) -> None:
        attempt = headers.get("attempt-id", "")
        group = self.group
        if not group or group["rank"] or headers.get("model") != group["model"]:
            self.send(writer, 421, attempt, b"", "Not-Executed: 1\r\n")
            return
        if group["state"] != "open":
            self.send(writer, 503, attempt, b"", "Not-Executed: 1\r\n")
            return
        self.runs.append(attempt)
        size = len(self.members)
        self.begun.append((monotonic(), attempt, group["name"], group["epoch"], size))
        self.record.write(
            f"server {self.name}: begins {attempt} in group {group['name']}"
            f" epoch {group['epoch']} of {size} servers"
        )
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {self.name}.{attempt}\r\n"
            "Server-Load: 1,0,24\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        try:
            for number in range(int(headers.get("last-event-id", "-1")) + 1, EVENTS):
                event = f"id: {number}\ndata: {attempt}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await sleep(EVENT_INTERVAL)
        except (OSError, CancelledError):
            return
        writer.write(b"0\r\n\r\n")
