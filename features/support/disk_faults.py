"""A file system that fills, fails its syncs, stalls or is slow, and recovers, as a test says."""

import errno
from pathlib import Path
from threading import Event
from time import sleep

from jaylatch_node.storage import FileSystem

SLOW_WRITE_SECONDS = 0.25
"""Longer than half the election timeout of the tests' logs, so that each write counts as slow."""
STALL_LIMIT_SECONDS = 30.0
"""Bound of a stall, so that a failed test ends."""


class FaultyDisk(FileSystem):
    """Works until a fault is set. Writes may be tried from any thread."""

    def __init__(self) -> None:
        self.fault = ""
        self.is_full = False
        self.synced = 0
        self.write_seconds = SLOW_WRITE_SECONDS
        self._released = Event()

    def start(self, fault: str) -> None:
        """Begin a fault: "is full", "fails each sync", "stalls" or "is slow"."""
        self._released.clear()
        self.fault = fault
        self.is_full = fault == "is full"

    def recover(self) -> None:
        """End the fault; stalled writes go on."""
        self.fault = ""
        self.is_full = False
        self._released.set()

    def write(self, descriptor: int, data: bytes) -> int:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")
        if self.fault == "raises an unexpected error":
            raise ValueError("not an error of the disk")
        if self.fault == "stalls":
            self._released.wait(STALL_LIMIT_SECONDS)
        if self.fault == "is slow":
            sleep(self.write_seconds)
        return super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        if self.fault == "fails each sync":
            raise OSError(errno.EIO, "input/output error")
        super().sync(descriptor)
        self.synced += 1

    def open(self, path: Path) -> int:
        if self.is_full and not path.exists():
            raise OSError(errno.ENOSPC, "no space left on device")
        return super().open(path)

    def free_bytes(self, folder: Path) -> int:
        return 0 if self.is_full else super().free_bytes(folder)
