"""The stream that one caller receives, from one target after another."""

from jaylatch_decisions.events import EventSplitter
from jaylatch_node.targets import ResponseHead


class ForwardedStream:
    """What of the targets' answers the caller receives as its stream.

    A caller gets the head of the first answer; the next target can only continue behind its events.
    """

    def __init__(self, resume_after: int | None) -> None:
        self._splitter = EventSplitter(-1 if resume_after is None else resume_after)
        self._head: ResponseHead | None = None

    @property
    def last_event(self) -> int:
        """Return the id of the last event that the caller has, or -1."""
        return self._splitter.last_id

    @property
    def resume_after(self) -> int | None:
        """Return the id of the event behind which the next target has to go on, if any."""
        return self.last_event if self.last_event >= 0 else None

    @property
    def is_resumable(self) -> bool:
        """Return whether another target can go on with what the caller has received."""
        return self._splitter.is_resumable

    @property
    def is_broken(self) -> bool:
        """Return whether the present target has sent what does not continue the stream."""
        return self._splitter.is_broken

    @property
    def is_whole(self) -> bool:
        """Return whether the stream is complete if the present target ends it here."""
        is_cut = self._splitter.has_partial or self._splitter.lacks_continuation
        return not is_cut and not self._splitter.is_broken

    def restart(self) -> None:
        """Expect the answer of another target."""
        self._splitter.restart()

    def may_continue(self, head: ResponseHead) -> bool:
        """Return whether an answer with this head can continue what the caller has received."""
        if self._head is None:
            return True
        return (head.status, _media_type(head)) == (self._head.status, _media_type(self._head))

    def begin(self, head: ResponseHead) -> None:
        """Record the head of the answer that the caller begins to receive."""
        self._head = head

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes and that continue the stream."""
        return self._splitter.feed(data)


def _media_type(head: ResponseHead) -> str:
    """Return the media type of an answer without its parameters, empty if it states none."""
    return head.headers.get("Content-Type", "").partition(";")[0].strip().lower()
