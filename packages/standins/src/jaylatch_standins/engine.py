"""A small stand-in for a model engine.

It serves ``slots`` requests at a time by priority, streams deterministic tokens, keeps a prefix
cache of limited size, resumes from a token, cancels, checks fencing numbers or ignores them, and
takes time to load. ``python -m jaylatch_standins.engine --help`` lists the parameters.
"""

import heapq
import os
from argparse import ArgumentParser, Namespace
from asyncio import Event, create_task, run, sleep
from collections import OrderedDict
from hashlib import sha256
from itertools import count
from pathlib import Path

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from jaylatch_core.settings import LISTEN_BACKLOG
from jaylatch_standins.announcer import Announcement, announce_forever
from jaylatch_standins.ledger import Ledger

PREFIX_CHARACTERS = 64
"""Characters at the start of a prompt that the prefix cache compares."""
POISON = "<poison>"
"""Text in a prompt that makes the engine which runs it exit."""


class Order(msgspec.Struct):
    """The body of ``POST /orders``: load a model for a group, or release it."""

    order: str
    group: str
    epoch: int
    model: str
    rank: int
    size: int


class Completion(msgspec.Struct):
    """The body of ``POST /v1/completions``."""

    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    seed: int = 0
    resume_from: int = 0


class EngineState(msgspec.Struct):
    """The response body of ``GET /state``."""

    group: str = ""
    epoch: int = 0
    model: str = ""
    is_loaded: bool = False
    is_busy: bool = False


def token_at(prompt: str, seed: int, position: int) -> str:
    """Return the token that every engine generates at ``position`` for this prompt and seed."""
    digest = sha256(f"{seed}/{position}/{prompt}".encode()).hexdigest()
    return f"{digest[:5]} "


def expected_text(prompt: str, seed: int, tokens: int) -> str:
    """Return the text that a complete answer must have."""
    return "".join(token_at(prompt, seed, position) for position in range(tokens))


class Slots:
    """A bounded number of slots, granted to the highest priority first."""

    def __init__(self, size: int) -> None:
        self._free = size
        self._queue: list[tuple[int, int, Event]] = []
        self._order = count()

    async def acquire(self, priority: int) -> None:
        """Wait for a slot."""
        if self._free > 0 and not self._queue:
            self._free -= 1
            return
        turn = Event()
        heapq.heappush(self._queue, (-priority, next(self._order), turn))
        await turn.wait()

    def release(self) -> None:
        """Hand the slot to the next waiting request, or mark it free."""
        if self._queue:
            heapq.heappop(self._queue)[2].set()
        else:
            self._free += 1


class Engine:
    """Loads models by order and simulates the time that loading and prefill take."""

    def __init__(self, options: Namespace) -> None:
        self.options = options
        self.state = EngineState()
        self.slots = Slots(options.slots)
        self.ledger = Ledger(options.ledger, options.name)
        self.cancelled: set[str] = set()
        self._resident_model = ""
        self._highest_epoch = 0
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def accept_order(self, order: Order) -> bool:
        """Start an order; return False if its fencing number is outdated."""
        if self.options.fencing and order.epoch < self._highest_epoch:
            self.ledger.record("order_refused", "", detail=f"{order.group} {order.epoch}")
            return False
        self._highest_epoch = max(self._highest_epoch, order.epoch)
        detail = f"{order.group} {order.epoch} {order.rank} {order.size}"
        self.ledger.record(order.order, "", detail=detail)
        create_task(self._execute(order))
        return True

    def prefill_time(self, prompt: str) -> float:
        """Cache the prompt's prefix; return the seconds to process what was not yet cached."""
        prefix = prompt[:PREFIX_CHARACTERS]
        is_cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > self.options.prefixes:
            self._prefixes.popitem(last=False)
        characters = len(prompt) - (len(prefix) if is_cached else 0)
        return float(characters * self.options.prefill_per_character)

    async def _execute(self, order: Order) -> None:
        self.state.is_busy = True
        self.state.is_loaded = False
        if order.order == "release":
            self.state = EngineState()
            return
        is_resident = self._resident_model == order.model
        await sleep(self.options.join_time if is_resident else self.options.load_time)
        self._resident_model = order.model
        self.ledger.record("loaded", "", detail=f"{order.group} {order.epoch}")
        self.state = EngineState(order.group, order.epoch, order.model, True, False)


class EngineHandler(RequestHandler):
    """Base of the engine's request handlers."""

    def initialize(self, engine: Engine) -> None:
        """Store the engine."""
        self._engine = engine


class StateHandler(EngineHandler):
    """``GET /state``."""

    def get(self) -> None:
        """Return the engine's state."""
        self.finish(msgspec.json.encode(self._engine.state))


class OrdersHandler(EngineHandler):
    """``POST /orders``."""

    async def post(self) -> None:
        """Start to load or release; answer 409 for an outdated fencing number."""
        order = msgspec.json.decode(self.request.body, type=Order)
        self._engine.ledger.record("order_received", "", detail=f"{order.group} {order.epoch}")
        await sleep(self._engine.options.order_delay)
        self.set_status(202 if self._engine.accept_order(order) else 409)


class CancelHandler(EngineHandler):
    """``POST /cancel/REQUEST``."""

    def post(self, request: str) -> None:
        """Cancel generation for a request."""
        self._engine.cancelled.add(request)
        self._engine.ledger.record("cancel", request)
        self.set_status(204)


class CompletionsHandler(EngineHandler):
    """``POST /v1/completions``, always streamed."""

    async def post(self) -> None:
        """Wait for a slot and stream the tokens; answer 503 if the model is not loaded."""
        engine = self._engine
        request = self.request.headers["X-Request-Id"]
        body = msgspec.json.decode(self.request.body, type=Completion)
        if not engine.state.is_loaded or engine.state.model != body.model:
            self.set_status(503)
            return
        await engine.slots.acquire(body.priority)
        try:
            await self._generate(request, body)
        except StreamClosedError:
            engine.ledger.record("cancel", request)
        finally:
            engine.slots.release()

    async def _generate(self, request: str, body: Completion) -> None:
        engine = self._engine
        epoch = engine.state.epoch
        engine.ledger.record("start", request, detail=str(epoch), prompt=body.prompt)
        await sleep(engine.prefill_time(body.prompt))
        if POISON in body.prompt:
            engine.ledger.record("death", request)
            os._exit(1)
        self.set_header("Content-Type", "text/event-stream")
        for position in range(body.resume_from, body.max_tokens):
            await sleep(engine.options.token_time)
            if request in engine.cancelled or engine.state.epoch != epoch:
                return
            if engine.options.ledger_tokens:
                engine.ledger.record("token", request, detail=f"{engine.state.group} {epoch}")
            choice = {"text": token_at(body.prompt, body.seed, position), "tokens": 1}
            self.write(b"data: " + msgspec.json.encode({"choices": [choice]}) + b"\n\n")
            await self.flush()
        self.write(b"data: [DONE]\n\n")
        engine.ledger.record("end", request)


async def serve(options: Namespace) -> None:
    """Run the engine until cancelled."""
    engine = Engine(options)
    arguments = {"engine": engine}
    host, port = options.listen.rsplit(":", 1)
    Application(
        [
            ("/state", StateHandler, arguments),
            ("/orders", OrdersHandler, arguments),
            ("/cancel/(.*)", CancelHandler, arguments),
            ("/v1/completions", CompletionsHandler, arguments),
        ],
        log_function=lambda handler: None,
    ).listen(int(port), host, backlog=LISTEN_BACKLOG)
    announcement = Announcement(
        options.name, "engine", options.advertise or options.listen, options.fencing
    )
    await announce_forever(options.agent, announcement)


def main() -> None:
    """Parse the command line and run until the process is stopped."""
    parser = ArgumentParser(description="Run a stand-in model engine.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--listen", required=True, help="IP:port")
    parser.add_argument("--advertise", help="IP:port to announce, if not the listen address")
    parser.add_argument("--agent", required=True, help="IP:port of the agent's HTTP interface")
    parser.add_argument("--ledger", required=True, type=Path)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--prefixes", type=int, default=32, help="size of the prefix cache")
    parser.add_argument("--token-time", type=float, default=0.01, help="seconds per token")
    parser.add_argument("--prefill-per-character", type=float, default=0.0001, help="seconds")
    parser.add_argument("--load-time", type=float, default=0.5, help="seconds")
    parser.add_argument(
        "--join-time", type=float, default=0.05, help="seconds to load a model that is in memory"
    )
    parser.add_argument(
        "--order-delay", type=float, default=0.0, help="seconds before an order is handled"
    )
    parser.add_argument("--ledger-tokens", action="store_true", help="record each token")
    parser.add_argument(
        "--fencing", action="store_true", help="refuse orders with an outdated epoch"
    )
    run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
