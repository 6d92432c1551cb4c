"""Which peers of a leader acknowledge entries quickly, so that one of them could lead instead."""

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.consensus import AppendReply


class PeerSpeed:
    """Measures the time between the sending of new entries and each peer's acknowledgement."""

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._index = 0
        self._sent_at = 0.0
        self._quick: set[InstanceId] = set()

    @property
    def has_quick_peer(self) -> bool:
        """Return whether a peer acknowledged its last measured entry within the limit."""
        return bool(self._quick)

    def note_sent(self, now: float, index: int) -> None:
        """Note that the entry at ``index`` was sent to the peers for the first time."""
        self._index = index
        self._sent_at = now

    def note_reply(self, now: float, reply: AppendReply) -> None:
        """Note an acknowledgement; one of earlier entries alone is not measured."""
        if not reply.is_accepted or not self._index or reply.match < self._index:
            return
        if now < self._sent_at + self._limit:
            self._quick.add(reply.sender)
        else:
            self._quick.discard(reply.sender)

    def reset(self) -> None:
        """Forget all measurements, as this voter does not lead."""
        self._index = 0
        self._quick.clear()
