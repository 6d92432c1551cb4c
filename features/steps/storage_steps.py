"""Steps that test the folder of a replicated log."""

import errno
from pathlib import Path
from shutil import copytree

from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful
from returns.result import Result

from jaylatch_core.exceptions import StorageCorrupt, StorageFailed
from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import HardState, LogEntry, Snapshot
from jaylatch_node.storage import FileSystem, LogStore

HARD_STATE = HardState(Term(1), InstanceId("a"))


class FailingDisk(FileSystem):
    """Fails at one point, as a full or broken disk does."""

    def __init__(self, fault: str) -> None:
        self._fault = fault
        self._has_written = False

    def write(self, descriptor: int, data: bytes) -> int:
        if self._fault == "the first byte" or self._has_written:
            raise OSError(errno.ENOSPC, "no space left on device")
        if self._fault == "the middle of a write":
            self._has_written = True
            return super().write(descriptor, data[: len(data) // 2])
        return super().write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        if self._fault == "the sync":
            raise OSError(errno.EIO, "input/output error")
        super().sync(descriptor)

    def replace(self, path: Path, data: bytes) -> None:
        if self._fault == "the rename of a snapshot":
            raise OSError(errno.EIO, "input/output error")
        super().replace(path, data)

    def sync_folder(self, folder: Path) -> None:
        has_renamed = not any(folder.glob("*.draft")) and (folder / "snapshot").exists()
        if self._fault == "the sync of a renamed file" and has_renamed:
            raise OSError(errno.EIO, "input/output error")
        super().sync_folder(folder)


def make_entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(LogIndex(index), Term(term), b"command" * min(index, 9))


def open_folder(context: Context) -> LogStore:
    store, _ = LogStore.open(context.log_folder, FileSystem()).unwrap()
    return store


def segment_path(context: Context) -> Path:
    return next(iter(context.log_folder.glob("segment-*")))


def flip_byte(path: Path, position: int) -> None:
    data = bytearray(path.read_bytes())
    data[position] ^= 0xFF
    path.write_bytes(bytes(data))


@given("a log folder with {number:d} entries")
def step_folder(context: Context, number: int) -> None:
    context.log_folder = context.folder / "log"
    store = open_folder(context)
    store.append(HARD_STATE, [])
    context.ends = []
    for index in range(1, number + 1):
        context.ends.append(store.size)
        assert is_successful(store.append(None, [make_entry(index)]))
    store.close()


@given("a log folder with {number:d} small entries")
def step_large_folder(context: Context, number: int) -> None:
    context.log_folder = context.folder / "log"
    store = open_folder(context)
    store.append(HARD_STATE, [make_entry(index) for index in range(1, number + 1)])
    store.close()


@given("a snapshot of the first {number:d} entries")
def step_snapshot(context: Context, number: int) -> None:
    context.old_segment = segment_path(context).read_bytes()
    store, stored = LogStore.open(context.log_folder, FileSystem()).unwrap()
    snapshot = Snapshot(LogIndex(number), Term(1), (InstanceId("a"),), b"state")
    assert is_successful(store.replace(snapshot, HARD_STATE, stored.entries[number:]))
    store.close()


@given("a disk that fails at {fault}")
def step_failing_disk(context: Context, fault: str) -> None:
    context.files = FailingDisk("")
    context.store, _ = LogStore.open(context.log_folder, context.files).unwrap()
    context.files._fault = fault


@when("{operation} is tried")
def step_try(context: Context, operation: str) -> None:
    if operation == "an append":
        context.result = context.store.append(None, [make_entry(6)])
    else:
        snapshot = Snapshot(LogIndex(3), Term(1), (InstanceId("a"),), b"state")
        context.result = context.store.replace(snapshot, HARD_STATE, [make_entry(4), make_entry(5)])


@then("it fails with storage failed, and so does every later write")
def step_failed(context: Context) -> None:
    assert isinstance(context.result.failure(), StorageFailed)
    context.files._fault = ""
    context.files._has_written = False
    assert isinstance(context.store.append(HARD_STATE, []).failure(), StorageFailed)
    context.store.close()


@when("a repair with {number:d} entries meets {fault}")
def step_try_repair(context: Context, number: int, fault: str) -> None:
    assert isinstance(context.result.failure(), StorageFailed)
    context.repaired = [make_entry(index) for index in range(1, number + 1)]
    context.files._has_written = False
    context.files._fault = "" if fault == "nothing" else fault
    context.result = repair(context)
    assert is_successful(context.result) == (fault == "nothing"), context.result


def repair(context: Context) -> Result[None, StorageFailed]:
    """Repair the store as a voter does whose last acknowledged entry is the fifth."""
    empty = Snapshot(LogIndex(0), Term(0), (InstanceId("a"),), b"")
    return context.store.repair(empty, HARD_STATE, context.repaired, 6, is_installed=False)


@then("a repair succeeds, and opening it gives {number:d} entries in {files:d} segment")
def step_repaired(context: Context, number: int, files: int) -> None:
    if not is_successful(context.result):
        # What was acknowledged is readable after each failure, as a restart may come before the
        # next attempt. Opening removes leftovers, so it reads a copy.
        copy = context.folder / "copy"
        copytree(context.log_folder, copy)
        _, stored = LogStore.open(copy, FileSystem()).unwrap()
        base = stored.snapshot.index if stored.snapshot is not None else 0
        held = [item.index for item in stored.entries]
        assert held[: 5 - base] == list(range(base + 1, 6)), (base, held)
        context.files._has_written = False
        context.files._fault = ""
        assert is_successful(repair(context))
    assert is_successful(context.store.append(HARD_STATE, []))
    assert len(list(context.log_folder.glob("segment-*"))) == files
    assert not list(context.log_folder.glob("*.draft"))
    context.store.close()
    step_entries(context, number)


@when("a compaction adds entry 6")
def step_try_compaction(context: Context) -> None:
    snapshot = Snapshot(LogIndex(3), Term(1), (InstanceId("a"),), b"state")
    entries = [make_entry(index) for index in (4, 5, 6)]
    context.result = context.store.compact(snapshot, HARD_STATE, entries, 6)


@then("it reports that nothing was replaced")
def step_not_replaced(context: Context) -> None:
    assert context.result.unwrap() is False
    context.store.close()


@when("nothing happens to it")
def step_nothing(context: Context) -> None:
    assert context.log_folder.exists()


@when("its last {number:d} bytes are lost")
def step_truncate(context: Context, number: int) -> None:
    data = segment_path(context).read_bytes()
    segment_path(context).write_bytes(data[:-number])


@when("{number:d} bytes of noise are appended")
def step_noise(context: Context, number: int) -> None:
    with segment_path(context).open("ab") as file:
        file.write(b"\xc1\xf5" * (number // 2) + b"\xc1" * (number % 2))


@when("a byte of its first record is flipped")
def step_flip(context: Context) -> None:
    flip_byte(segment_path(context), 8)


@when("a byte of its third record is flipped")
def step_flip_third(context: Context) -> None:
    flip_byte(segment_path(context), context.ends[2] + 20)


@when("an entry replaces entry {index:d}")
def step_replace(context: Context, index: int) -> None:
    store = open_folder(context)
    store.append(None, [make_entry(index, term=2)])
    store.close()


@when("a draft of a snapshot is left")
def step_draft(context: Context) -> None:
    (context.log_folder / "snapshot.draft").write_bytes(b"half")


@when("the segment before it is left")
def step_old_segment(context: Context) -> None:
    (context.log_folder / "segment-00000000").write_bytes(context.old_segment)


@when("a byte of the snapshot is flipped")
def step_flip_snapshot(context: Context) -> None:
    flip_byte(context.log_folder / "snapshot", 20)


@when("the snapshot is removed")
def step_remove_snapshot(context: Context) -> None:
    (context.log_folder / "snapshot").unlink()


@when("the segment is removed")
def step_remove_segment(context: Context) -> None:
    segment_path(context).unlink()


@then("opening it gives {number:d} entries")
def step_entries(context: Context, number: int) -> None:
    store, stored = LogStore.open(context.log_folder, FileSystem()).unwrap()
    store.close()
    assert len(stored.entries) == number, len(stored.entries)
    assert [item.index for item in stored.entries] == list(range(1, number + 1))
    assert stored.hard_state == HARD_STATE


@then("opening it gives a snapshot and {number:d} entries")
def step_snapshot_entries(context: Context, number: int) -> None:
    store, stored = LogStore.open(context.log_folder, FileSystem()).unwrap()
    store.close()
    assert stored.snapshot.data == b"state"
    assert [item.index for item in stored.entries] == list(range(4, 4 + number))
    assert stored.hard_state == HARD_STATE


@then("opening it gives storage corrupt")
def step_corrupt(context: Context) -> None:
    opened = LogStore.open(context.log_folder, FileSystem())
    assert not is_successful(opened)
    assert isinstance(opened.failure(), StorageCorrupt)
