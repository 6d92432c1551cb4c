"""HTTP server of a process's metrics, on an address of its own."""

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from jaylatch_node.listening import listen_at
from jaylatch_node.observability.metrics import Metrics

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"


class MetricsServer:
    """Answers ``GET /metrics`` with all metrics in the Prometheus text format."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._http = HTTPServer(self._answer)

    def listen(self, address: str) -> None:
        """Accept requests at ``IP:port``. Raises JaylatchError if the address is unusable."""
        listen_at(self._http, address, "metrics")

    def stop(self) -> None:
        """Accept no more requests."""
        self._http.stop()

    def _answer(self, request: HTTPServerRequest) -> None:
        is_known = request.method == "GET" and request.path == METRICS_PATH
        status, body = ("200 OK", self._metrics.text()) if is_known else ("404 Not Found", b"")
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: {CONTENT_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection = request.connection
        assert connection is not None
        connection.write(head.encode() + body)
        connection.finish()
