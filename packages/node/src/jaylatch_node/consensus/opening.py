"""Opening of a log's folder, in a form that can be tried again after a failure of the disk."""

import errno
import os
from concurrent.futures import Future
from concurrent.futures import TimeoutError as DiskTimeout
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from time import time_ns

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.clock import monotonic
from jaylatch_core.enums import FirstStart
from jaylatch_core.exceptions import JaylatchError, StorageCorrupt, StorageFailed
from jaylatch_core.ids import InstanceId, Term
from jaylatch_core.messages.consensus import HardState
from jaylatch_node.consensus.disk import LogDisk
from jaylatch_node.storage import DiskWorker, FileSystem, LogStore, StoredLog, set_aside

OPENING_WAIT = 2.0
"""Seconds for which a start waits for the folder; after that it goes on without it."""
UNUSABLE_FOLDER = (errno.EACCES, errno.EPERM, errno.ENOTDIR, errno.ENAMETOOLONG, errno.ELOOP)
"""Errors of the settings rather than of the disk: no later attempt can succeed."""


@dataclass(frozen=True)
class OpenedLog:
    """An open folder with its content, and the folder of damaged files that was set aside."""

    store: LogStore
    stored: StoredLog
    hard_state: HardState
    set_aside: Path | None


OpeningAttempt = Future[Result[OpenedLog, StorageCorrupt | StorageFailed]]


def open_log(
    folder: Path, files: FileSystem, voters: tuple[InstanceId, ...], first_start: FirstStart
) -> Result[OpenedLog, StorageCorrupt | StorageFailed]:
    """Open the folder, and number an empty disk.

    The voters of the first start are recorded with the number: later starts have other settings.
    """
    opened = LogStore.open(folder, files)
    damaged = None
    if not is_successful(opened):
        if not isinstance(opened.failure(), StorageCorrupt) or len(voters) == 1:
            return Err(opened.failure())
        # This voter grants no vote until a leader readmits it, so its peers can restore it safely.
        try:
            damaged = set_aside(folder)
        except OSError as error:
            return Err(StorageFailed(f"log folder {str(folder)!r} cannot be set aside: {error}"))
        opened = LogStore.open(folder, files)
        if not is_successful(opened):
            return Err(opened.failure())
    store, stored = opened.unwrap()
    if stored.hard_state is not None:
        return Success(OpenedLog(store, stored, stored.hard_state, damaged))
    if damaged is not None:
        first_start = FirstStart.NO
    return _number_empty_disk(store, voters, first_start).map(
        lambda hard_state: OpenedLog(store, stored, hard_state, damaged)
    )


class FolderOpening:
    """Opens the folder of one log on the worker thread, again after each failure of the disk."""

    def __init__(
        self,
        worker: DiskWorker,
        disk: LogDisk,
        folder: Path,
        files: FileSystem,
        voters: tuple[InstanceId, ...],
        first_start: FirstStart,
    ) -> None:
        self._worker = worker
        self._disk = disk
        self._folder = folder
        self._open = partial(open_log, folder, files, voters, first_start)
        self._attempt: OpeningAttempt | None = worker.submit(self._open)

    def wait(self) -> OpenedLog | None:
        """Wait for the first attempt, but not long for a disk that does not answer.

        Raises JaylatchError if no later attempt can succeed.
        """
        assert self._attempt is not None
        try:
            opened = self._attempt.result(OPENING_WAIT)
        except DiskTimeout:
            return None
        if not is_successful(opened):
            failure = opened.failure()
            if isinstance(failure, StorageCorrupt) or can_never_open(self._folder):
                raise JaylatchError(failure)
        return self.poll(monotonic())

    def poll(self, now: float) -> OpenedLog | None:
        """Return the content once an attempt has succeeded; start another one if it is due."""
        if self._attempt is None:
            if self._disk.may_retry(now):
                self._attempt = self._worker.submit(self._open)
            return None
        if not self._attempt.done():
            return None
        opened = self._attempt.result()
        self._attempt = None
        self._disk.note_result(now, opened)
        return opened.value_or(None)


def can_never_open(folder: Path) -> bool:
    """Return whether the settings name a folder that this process may not create or write."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        return error.errno in UNUSABLE_FOLDER
    return not os.access(folder, os.R_OK | os.W_OK | os.X_OK) and not _is_read_only(folder)


def _is_read_only(folder: Path) -> bool:
    return bool(os.statvfs(folder).f_flag & os.ST_RDONLY)


def _number_empty_disk(
    store: LogStore, voters: tuple[InstanceId, ...], first_start: FirstStart
) -> Result[HardState, StorageFailed]:
    """Number the empty disk, so that peers distinguish it from earlier disks of this instance.

    The number is the wall-clock time, as it must be greater than that of any lost disk.
    """
    state = HardState(
        Term(0),
        InstanceId(""),
        time_ns(),
        is_recovering=True,
        first_voters=() if first_start is FirstStart.NO else voters,
        is_first_start=first_start is FirstStart.YES,
    )
    written = store.append(state, [])
    if not is_successful(written):
        store.close()
    return written.map(lambda _: state)
