"""Effects of a voter that wait for one write to the disk."""

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.consensus import ConsensusMessage, LogEntry, Snapshot
from jaylatch_decisions.consensus import Effects


class Turn:
    """What a voter must write, and may send and apply only after that.

    The data to write is read from the voter when the write starts: ``first_entry`` is the lowest
    index that has changed since the last write.
    """

    def __init__(self) -> None:
        self.messages: list[tuple[InstanceId, ConsensusMessage]] = []
        self.snapshot: Snapshot | None = None
        self.committed: list[LogEntry] = []
        self.has_hard_state = False
        self.first_entry: int | None = None

    @property
    def has_writes(self) -> bool:
        """Return whether something must be written."""
        is_changed = self.has_hard_state or self.first_entry is not None
        return is_changed or self.snapshot is not None

    def absorb(self, effects: Effects) -> None:
        """Add later effects."""
        if effects.snapshot is not None:
            # It contains all that was committed before it.
            self.snapshot = effects.snapshot
            self.committed = []
        self.has_hard_state = self.has_hard_state or effects.hard_state is not None
        if effects.entries:
            self._note_first(effects.entries[0].index)
        self.messages += effects.messages
        self.committed += effects.committed

    def put_before(self, later: "Turn") -> None:
        """Add a later turn; its messages are dropped, as are those of this one."""
        if later.snapshot is not None:
            self.snapshot = later.snapshot
            self.committed = []
        self.has_hard_state = self.has_hard_state or later.has_hard_state
        if later.first_entry is not None:
            self._note_first(later.first_entry)
        self.committed += later.committed
        self.messages = []

    def _note_first(self, index: int) -> None:
        self.first_entry = index if self.first_entry is None else min(self.first_entry, index)
