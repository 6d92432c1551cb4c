"""File operations that storage needs. Tests replace them to inject failures."""

import os
from pathlib import Path

FILE_MODE = 0o600


class FileSystem:
    """Writes and syncs files. Every method lets the system's OSError propagate."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write a part of ``data``; returns the number of bytes written."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Flush a file's data, and the metadata needed to read it, to the disk."""
        os.fdatasync(descriptor)

    def free_bytes(self, folder: Path) -> int:
        """Return the number of bytes that this process may still write to the folder's disk."""
        status = os.statvfs(folder)
        return status.f_bavail * status.f_frsize

    def open(self, path: Path) -> int:
        """Open or create the file at ``path`` for writing; returns its descriptor."""
        return os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)

    def write_unsynced(self, descriptor: int, data: bytes) -> None:
        """Write all of ``data``, without a sync."""
        view = memoryview(data)
        while view:
            view = view[self.write(descriptor, bytes(view)) :]

    def write_all(self, descriptor: int, data: bytes) -> None:
        """Write all of ``data``, and sync it."""
        self.write_unsynced(descriptor, data)
        self.sync(descriptor)

    def create(self, path: Path, data: bytes) -> int:
        """Create or replace a file with synced ``data``; returns its open descriptor."""
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            self.write_all(descriptor, data)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def replace(self, path: Path, data: bytes) -> None:
        """Replace the file at ``path`` atomically: a crash leaves the old or the new content."""
        draft = path.with_suffix(".draft")
        os.close(self.create(draft, data))
        os.replace(draft, path)
        self.sync_folder(path.parent)

    def sync_folder(self, folder: Path) -> None:
        """Make created, renamed and removed names in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
