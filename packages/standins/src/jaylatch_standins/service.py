"""A small stand-in for a plain service, with non-idempotent orders and stock queries."""

from argparse import ArgumentParser, Namespace
from asyncio import run, sleep
from pathlib import Path

from tornado.web import Application, RequestHandler

from jaylatch_core.settings import LISTEN_BACKLOG
from jaylatch_standins.announcer import Announcement, announce_forever
from jaylatch_standins.ledger import Ledger


class HealthHandler(RequestHandler):
    """``GET /health``."""

    def get(self) -> None:
        """Answer 200."""
        self.finish({"is_healthy": True})


class OrderHandler(RequestHandler):
    """``POST /orders``: runs an order; the body is the order's id in the ledger.

    The parameter ``size`` pads the answer to at least that many bytes.
    """

    def initialize(self, options: Namespace, ledger: Ledger) -> None:
        """Store the options and the ledger."""
        self._options = options
        self._ledger = ledger

    async def post(self) -> None:
        """Record the order, run it for ``order_time`` seconds and confirm it."""
        request = self.request.headers.get("X-Request-Id", "")
        order = self.request.body.decode()
        self._ledger.record("start", request, order)
        await sleep(self._options.order_time)
        self._ledger.record("end", request, order)
        padding = "x" * int(self.get_query_argument("size", "0"))
        self.finish({"confirmed": order, "by": self._options.name, "padding": padding})


class StockHandler(RequestHandler):
    """``GET /stock/ITEM``."""

    def get(self, item: str) -> None:
        """Answer with the stock of an item."""
        self.finish({"item": item, "stock": len(item)})


async def serve(options: Namespace) -> None:
    """Run the service until cancelled."""
    host, port = options.listen.rsplit(":", 1)
    ledger = Ledger(options.ledger, options.name)
    Application(
        [
            ("/health", HealthHandler),
            ("/orders", OrderHandler, {"options": options, "ledger": ledger}),
            ("/stock/(.*)", StockHandler),
        ],
        log_function=lambda handler: None,
    ).listen(int(port), host, backlog=LISTEN_BACKLOG)
    announcement = Announcement(
        options.name, "service", options.advertise or options.listen, False, options.service
    )
    await announce_forever(options.agent, announcement)


def main() -> None:
    """Parse the command line and run until the process is stopped."""
    parser = ArgumentParser(description="Run a stand-in plain service.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--listen", required=True, help="IP:port")
    parser.add_argument("--advertise", help="IP:port to announce, if not the listen address")
    parser.add_argument("--agent", required=True, help="IP:port of the agent's HTTP interface")
    parser.add_argument("--ledger", required=True, type=Path)
    parser.add_argument("--order-time", type=float, default=0.05, help="seconds per order")
    run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
