"""When a log's entries are replaced by a snapshot."""

from jaylatch_node.storage import LogStore

MEBIBYTE = 1024 * 1024
SNAPSHOT_AFTER_BYTES = MEBIBYTE
SNAPSHOT_GROWTH = 2
"""Multiple of the last snapshot's size that the stored log must reach before the next snapshot."""
NEARLY_FULL_BYTES = 4 * MEBIBYTE
"""Free space below which a log is compacted early: room for a snapshot and a segment of the usual
size, which exist beside the old ones for a moment."""
EARLY_SNAPSHOT_BYTES = MEBIBYTE // 8
RETRY_PAUSE = 10.0
"""Seconds until the next attempt after a snapshot did not fit on the disk."""


class CompactionPolicy:
    """Limits of one log. ``snapshot_size`` is that of the latest snapshot in bytes."""

    def __init__(self) -> None:
        self.snapshot_size = 0
        self._due_at = 0.0

    def is_due(self, now: float, store: LogStore) -> bool:
        """Return whether the stored entries should be replaced by a snapshot."""
        if now < self._due_at:
            return False
        is_nearly_full = store.free < NEARLY_FULL_BYTES
        limit = EARLY_SNAPSHOT_BYTES if is_nearly_full else SNAPSHOT_AFTER_BYTES
        return store.size >= max(limit, SNAPSHOT_GROWTH * self.snapshot_size)

    def note_failure(self, now: float) -> None:
        """Wait before the next attempt."""
        self._due_at = now + RETRY_PAUSE
