"""Counters of the traffic of a process over its streams."""

from jaylatch_node.observability import Metrics


class Traffic:
    """Counters of sent and received bytes and messages."""

    def __init__(self, metrics: Metrics) -> None:
        self._bytes_sent = metrics.counter("stream_sent_bytes", "Bytes written to streams.")
        self._bytes_received = metrics.counter("stream_received_bytes", "Bytes read from streams.")
        self._sent = metrics.counter("stream_sent_messages", "Messages written to streams.")
        self._received = metrics.counter("stream_received_messages", "Messages read from streams.")

    def count_sent(self, messages: int, size: int) -> None:
        """Count ``messages`` frames of ``size`` bytes together that were written."""
        self._sent.inc(messages)
        self._bytes_sent.inc(size)

    def count_received(self, messages: int, size: int) -> None:
        """Count ``messages`` frames that were read in a piece of ``size`` bytes."""
        self._received.inc(messages)
        self._bytes_received.inc(size)
