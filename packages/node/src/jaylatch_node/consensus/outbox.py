"""Batching of all messages to one peer in one iteration of the event loop into one frame."""

from asyncio import get_running_loop
from collections.abc import Callable

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.consensus import ConsensusBatch, ConsensusMessage

BatchSender = Callable[[InstanceId, ConsensusBatch], None]


class ConsensusOutbox:
    """Collects messages until the next iteration of the event loop."""

    def __init__(self, send: BatchSender) -> None:
        self._send_batch = send
        self._waiting: dict[InstanceId, list[ConsensusMessage]] = {}

    def send(self, peer: InstanceId, message: ConsensusMessage) -> None:
        """Send ``message`` in one batch with all others of this iteration."""
        if not self._waiting:
            get_running_loop().call_soon(self._flush)
        self._waiting.setdefault(peer, []).append(message)

    def _flush(self) -> None:
        waiting, self._waiting = self._waiting, {}
        for peer, messages in waiting.items():
            self._send_batch(peer, ConsensusBatch(tuple(messages)))
