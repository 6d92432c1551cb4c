"""Storage folder of one replicated log: a snapshot and the segment of entries after it.

The snapshot's file names its segment, so one rename switches both. Segments that it does not name
are leftovers of a crash and are removed. No file is overwritten in place.
"""

import os
from pathlib import Path

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.exceptions import StorageCorrupt, StorageFailed
from jaylatch_core.messages.consensus import HardState, LogEntry, Snapshot
from jaylatch_node.storage.batches import Batch, has_batch_after, pack_batch, read_batches
from jaylatch_node.storage.files import FILE_MODE, FileSystem

SNAPSHOT_FILE = "snapshot"
SEGMENT_PREFIX = "segment-"


class StoredLog(msgspec.Struct):
    """Content of the folder. Without a ``hard_state`` the disk is empty."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = msgspec.field(default_factory=list)
    segment: int = 0


class LogStore:
    """The open folder of a log. After the first failed write it accepts no further writes."""

    def __init__(
        self, folder: Path, files: FileSystem, segment: int, descriptor: int, size: int
    ) -> None:
        self._folder = folder
        self._files = files
        self._segment = segment
        self._descriptor = descriptor
        self._size = size
        self._failure: StorageFailed | None = None

    @property
    def size(self) -> int:
        """Return the number of bytes written since the last snapshot."""
        return self._size

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
        data = pack_batch(Batch(hard_state, tuple(entries)))
        try:
            self._files.write_all(self._descriptor, data)
        except OSError as error:
            return self._fail(error)
        self._size += len(data)
        return Success(None)

    def replace(
        self, snapshot: Snapshot, hard_state: HardState, entries: list[LogEntry]
    ) -> Result[None, StorageFailed]:
        """Replace the stored content with a snapshot and all entries after it."""
        if self._failure is not None:
            return Err(self._failure)
        try:
            self._replace(snapshot, hard_state, entries)
        except OSError as error:
            return self._fail(error)
        return Success(None)

    def close(self) -> None:
        """Close the files."""
        os.close(self._descriptor)

    def _replace(self, snapshot: Snapshot, hard_state: HardState, entries: list[LogEntry]) -> None:
        number = self._segment + 1
        data = pack_batch(Batch(hard_state, tuple(entries)))
        descriptor = self._files.create(_segment_path(self._folder, number), data)
        self._files.sync_folder(self._folder)
        # The old segment is valid until this rename, the new one from then on.
        self._files.replace(
            self._folder / SNAPSHOT_FILE, pack_batch(Batch(snapshot=snapshot, segment=number))
        )
        os.close(self._descriptor)
        _segment_path(self._folder, self._segment).unlink(missing_ok=True)
        self._segment = number
        self._descriptor = descriptor
        self._size = len(data)

    def _fail(self, error: OSError) -> Result[None, StorageFailed]:
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
    _remove_leftovers(folder, path)
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
    os.ftruncate(descriptor, valid_size)
    os.lseek(descriptor, valid_size, os.SEEK_SET)
    files.sync(descriptor)
    files.sync_folder(folder)
    return Success((cls(folder, files, stored.segment, descriptor, valid_size), stored))


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


def _remove_leftovers(folder: Path, segment: Path) -> None:
    for path in folder.iterdir():
        is_other_segment = path.name.startswith(SEGMENT_PREFIX) and path != segment
        if is_other_segment or path.suffix == ".draft":
            path.unlink()


def _segment_path(folder: Path, number: int) -> Path:
    return folder / f"{SEGMENT_PREFIX}{number:08}"


def _corrupt(path: Path, offset: int) -> StorageCorrupt:
    return StorageCorrupt(
        f"log file {str(path)!r} is damaged at byte {offset}, in data that had been synced;"
        " an instance with peers sets the folder aside and its peers restore it; without peers,"
        " restore the folder from a backup"
    )


def _failed(folder: Path, error: OSError) -> StorageFailed:
    return StorageFailed(
        f"log folder {str(folder)!r} cannot be read or written: {error}; free or replace the disk,"
        " then restart the process"
    )
