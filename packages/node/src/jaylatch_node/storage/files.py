"""The few operations on files that storage needs. Tests replace them to make them fail."""

import os
from pathlib import Path

FILE_MODE = 0o600


class FileSystem:
    """Writes and syncs. Every method raises OSError as the system gives it."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write some of ``data``; returns how many bytes."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Bring all data of a file, and what is needed to read it, to the disk."""
        os.fdatasync(descriptor)

    def write_all(self, descriptor: int, data: bytes) -> None:
        """Write all of ``data``, and sync it."""
        view = memoryview(data)
        while view:
            view = view[self.write(descriptor, bytes(view)) :]
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
        """Put a whole new file in the place of ``path``: a crash leaves the old or the new one."""
        draft = path.with_suffix(".draft")
        os.close(self.create(draft, data))
        os.replace(draft, path)
        self.sync_folder(path.parent)

    def sync_folder(self, folder: Path) -> None:
        """Make new, renamed and removed names in a folder last."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
