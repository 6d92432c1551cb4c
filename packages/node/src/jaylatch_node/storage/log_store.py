"""Storage folder of one replicated log: a snapshot and the segment of entries after it.

The snapshot's file names its segment, so one rename switches both. Segments that it does not name
are leftovers of a crash and are removed. No synced byte is overwritten with another one in place.
"""

import os
from pathlib import Path

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.exceptions import StorageCorrupt, StorageFailed
from jaylatch_core.messages.consensus import HardState, LogEntry, Snapshot
from jaylatch_node.storage.batches import Batch, has_batch_after, pack_batch, read_batches
from jaylatch_node.storage.files import FileSystem

SNAPSHOT_FILE = "snapshot"
SEGMENT_PREFIX = "segment-"
DRAFT_SUFFIX = ".draft"


class StoredLog(msgspec.Struct):
    """Content of the folder. Without a ``hard_state`` the disk is empty."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = msgspec.field(default_factory=list)
    segment: int = 0


class LogStore:
    """The open folder of a log. After a failed write it accepts only ``repair``."""

    def __init__(
        self, folder: Path, files: FileSystem, segment: int, descriptor: int, size: int
    ) -> None:
        self._folder = folder
        self._files = files
        self._segment = segment
        self._last_number = segment
        self._descriptor = descriptor
        self._size = size
        self._failure: StorageFailed | None = None
        self._must_replace = False
        self._free = files.free_bytes(folder)

    @property
    def size(self) -> int:
        """Return the number of bytes written since the last snapshot."""
        return self._size

    @property
    def free(self) -> int:
        """Return the free bytes of the disk after the last write."""
        return self._free

    @classmethod
    def open(
        cls, folder: Path, files: FileSystem
    ) -> Result[tuple["LogStore", StoredLog], StorageCorrupt | StorageFailed]:
        """Open or create the folder and read it, truncating a torn batch at the end."""
        try:
            return _open(cls, folder, files)
        except OSError as error:
            return Err(_failed(folder, error))

    def append(
        self, hard_state: HardState | None, entries: list[LogEntry]
    ) -> Result[None, StorageFailed]:
        """Write and sync; a message that depends on the data may be sent only after success."""
        if self._failure is not None:
            return Err(self._failure)
        if hard_state is None and not entries:
            return Success(None)
        try:
            self._append(pack_batch(Batch(hard_state, tuple(entries))))
        except Exception as error:
            return self._fail(error)
        return Success(None)

    def replace(
        self, snapshot: Snapshot, hard_state: HardState, entries: list[LogEntry]
    ) -> Result[None, StorageFailed]:
        """Replace the stored content with a snapshot and all entries after it."""
        if self._failure is not None:
            return Err(self._failure)
        try:
            self._replace(snapshot, hard_state, entries)
        except Exception as error:
            return self._fail(error)
        return Success(None)

    def compact(
        self, snapshot: Snapshot, hard_state: HardState, entries: list[LogEntry], first: int
    ) -> Result[bool, StorageFailed]:
        """Replace the content, or append the entries from ``first`` on if there is no space.

        Returns whether the content was replaced. A snapshot that does not fit leaves the segment
        before it complete, so the log can go on without it.
        """
        if self._failure is not None:
            return Err(self._failure)
        try:
            self._replace(snapshot, hard_state, entries)
        except Exception as error:
            if self._must_replace or not isinstance(error, OSError):
                return self._fail(error).map(lambda _: False)
            added = [entry for entry in entries if entry.index >= first]
            return self.append(hard_state, added).map(lambda _: False)
        return Success(True)

    def repair(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: list[LogEntry],
        first: int,
        *,
        is_installed: bool,
    ) -> Result[None, StorageFailed]:
        """Write again after a failed write. The arguments are the voter's complete state.

        ``entries`` from ``first`` on may be missing on the disk. If only a write failed, the
        synced part of the segment is read again, and what is missing is appended to it. After a
        failed sync neither the page cache nor a second sync shows what the disk holds, so a new
        segment replaces the old one; also if a leader's snapshot was installed meanwhile.
        """
        try:
            self._remove_unnamed()
            if self._must_replace or is_installed or not self._truncate_to_synced():
                self._replace(snapshot, hard_state, entries)
            else:
                added = tuple(entry for entry in entries if entry.index >= first)
                self._append(pack_batch(Batch(hard_state, added)))
        except Exception as error:
            return self._fail(error)
        self._failure = None
        return Success(None)

    def close(self) -> None:
        """Close the files."""
        os.close(self._descriptor)

    def _append(self, data: bytes) -> None:
        self._files.write_unsynced(self._descriptor, data)
        try:
            self._files.sync(self._descriptor)
        except OSError:
            self._must_replace = True
            raise
        self._size += len(data)
        self._free = self._files.free_bytes(self._folder)

    def _replace(self, snapshot: Snapshot, hard_state: HardState, entries: list[LogEntry]) -> None:
        self._last_number += 1
        number = self._last_number
        path = _segment_path(self._folder, number)
        data = pack_batch(Batch(hard_state, tuple(entries)))
        try:
            descriptor = self._files.create(path, data)
        except OSError:
            self._remove_unnamed()
            raise
        try:
            self._files.sync_folder(self._folder)
            # The old segment is valid until this rename, the new one from then on.
            self._files.replace(
                self._folder / SNAPSHOT_FILE, pack_batch(Batch(snapshot=snapshot, segment=number))
            )
        except OSError:
            os.close(descriptor)
            # If the rename took place, a restart may read either segment until a later rename is
            # durable: nothing may be appended to the old one.
            had_to_replace, self._must_replace = self._must_replace, True
            self._must_replace = had_to_replace or self._named_segment() == number
            self._remove_unnamed()
            raise
        os.close(self._descriptor)
        self._segment = number
        self._descriptor = descriptor
        self._size = len(data)
        self._must_replace = False
        self._remove_unnamed()
        self._free = self._files.free_bytes(self._folder)

    def _truncate_to_synced(self) -> bool:
        """Cut what was not synced; returns whether the rest is readable."""
        data = _segment_path(self._folder, self._segment).read_bytes()[: self._size]
        valid_size = 0
        for _, valid_size in read_batches(data):  # noqa: B007
            pass
        if valid_size != self._size:
            return False
        os.ftruncate(self._descriptor, self._size)
        os.lseek(self._descriptor, self._size, os.SEEK_SET)
        return True

    def _named_segment(self) -> int:
        stored = StoredLog()
        return stored.segment if _read_snapshot(self._folder, stored) else self._segment

    def _remove_unnamed(self) -> None:
        """Remove drafts, and the segments that no restart can read, to free their space."""
        named = {
            _segment_path(self._folder, number) for number in (self._segment, self._named_segment())
        }
        _remove_leftovers(self._folder, named)

    def _fail(self, error: Exception) -> Result[None, StorageFailed]:
        if not isinstance(error, OSError):
            # It is unknown which steps of the operation took place.
            self._must_replace = True
        self._failure = _failed(self._folder, error)
        return Err(self._failure)


def set_aside(folder: Path) -> Path:
    """Rename a damaged folder, so that the log can start on an empty one; returns the new path."""
    number = 1
    while (target := folder.with_name(f"{folder.name}.damaged-{number}")).exists():
        number += 1
    folder.rename(target)
    return target


def _open(
    cls: type[LogStore], folder: Path, files: FileSystem
) -> Result[tuple[LogStore, StoredLog], StorageCorrupt | StorageFailed]:
    is_new = not folder.exists()
    folder.mkdir(parents=True, exist_ok=True)
    if is_new:
        files.sync_folder(folder.parent)
    stored = StoredLog()
    if not _read_snapshot(folder, stored):
        return Err(_corrupt(folder / SNAPSHOT_FILE, 0))
    path = _segment_path(folder, stored.segment)
    data = path.read_bytes() if path.exists() else b""
    if not data and (stored.snapshot is not None or any(folder.glob(f"{SEGMENT_PREFIX}*[1-9]*"))):
        return Err(_corrupt(path, 0))
    valid_size = _read_segment(data, stored)
    if has_batch_after(data, valid_size):
        return Err(_corrupt(path, valid_size))
    if stored.hard_state is None and (stored.snapshot is not None or stored.entries):
        return Err(_corrupt(path, 0))
    _remove_leftovers(folder, {path})
    descriptor = files.open(path)
    try:
        _sync_last_batch(files, descriptor, data[:valid_size])
        files.sync_folder(folder)
        store = cls(folder, files, stored.segment, descriptor, valid_size)
    except OSError:
        os.close(descriptor)
        raise
    return Success((store, stored))


def _sync_last_batch(files: FileSystem, descriptor: int, data: bytes) -> None:
    """Write the last batch again and sync it.

    If its sync failed before the process ended, it may be in the page cache alone, and a sync of
    pages that are not written again succeeds without the data. Every batch before it was synced.
    """
    last_start = 0
    last_end = 0
    for _, end in read_batches(data):
        last_start, last_end = last_end, end
    os.ftruncate(descriptor, last_end)
    os.lseek(descriptor, last_start, os.SEEK_SET)
    files.write_all(descriptor, data[last_start:last_end])


def _read_snapshot(folder: Path, stored: StoredLog) -> bool:
    path = folder / SNAPSHOT_FILE
    if not path.exists():
        return True
    batch = next((batch for batch, _ in read_batches(path.read_bytes())), None)
    if batch is None or batch.snapshot is None:
        return False
    stored.snapshot = batch.snapshot
    stored.segment = batch.segment
    return True


def _read_segment(data: bytes, stored: StoredLog) -> int:
    base = stored.snapshot.index if stored.snapshot is not None else 0
    valid_size = 0
    for batch, end in read_batches(data):
        stored.hard_state = batch.hard_state or stored.hard_state
        if batch.entries:
            del stored.entries[batch.entries[0].index - base - 1 :]
            stored.entries += batch.entries
        valid_size = end
    return valid_size


def _remove_leftovers(folder: Path, segments: set[Path]) -> None:
    for path in folder.iterdir():
        is_other_segment = path.name.startswith(SEGMENT_PREFIX) and path not in segments
        if is_other_segment or path.suffix == DRAFT_SUFFIX:
            path.unlink()


def _segment_path(folder: Path, number: int) -> Path:
    return folder / f"{SEGMENT_PREFIX}{number:08}"


def _corrupt(path: Path, offset: int) -> StorageCorrupt:
    return StorageCorrupt(
        f"log file {str(path)!r} is damaged at byte {offset}, in data that had been synced;"
        " an instance with peers sets the folder aside and its peers restore it; without peers,"
        " restore the folder from a backup"
    )


def _failed(folder: Path, error: Exception) -> StorageFailed:
    return StorageFailed(
        f"log folder {str(folder)!r} cannot be read or written: {error}; free or replace the disk;"
        " the process tries again by itself"
    )
