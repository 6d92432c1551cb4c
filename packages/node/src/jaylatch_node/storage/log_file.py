"""The file of one replicated log: hard states and entries in the order in which they were written.

Each record is ``[crc32, payload]`` in MessagePack. An entry replaces all earlier entries from its
index on. A torn record at the end of the file was never acknowledged and is cut; a damaged record
that is followed by readable ones means that acknowledged data was lost, and is refused.
"""

import os
from io import BytesIO
from pathlib import Path
from zlib import crc32

import msgspec
from msgpack import Unpacker, packb
from msgpack.exceptions import UnpackException
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.exceptions import StorageCorrupt, StorageFailed
from jaylatch_core.ids import InstanceId, Term
from jaylatch_core.messages.consensus import HardState, LogEntry


class _HardStateRecord(msgspec.Struct, tag=True):
    state: HardState


class _EntryRecord(msgspec.Struct, tag=True):
    entry: LogEntry


_Record = _HardStateRecord | _EntryRecord
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_Record] = msgspec.msgpack.Decoder(_Record)


class StoredLog(msgspec.Struct):
    """What the file holds."""

    hard_state: HardState
    entries: list[LogEntry]


class LogFile:
    """An open log file."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    @classmethod
    def open(cls, path: Path) -> Result[tuple["LogFile", StoredLog], StorageCorrupt]:
        """Open or create the file at ``path`` and read it, cutting a torn tail."""
        path.parent.mkdir(parents=True, exist_ok=True)
        data = path.read_bytes() if path.exists() else b""
        stored, good_size = _read_records(data)
        if _has_record_after(data, good_size):
            return Err(
                StorageCorrupt(
                    f"log file {str(path)!r} is damaged at byte {good_size} with records after it;"
                    " move it away and let the instance catch up from its peers"
                )
            )
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(descriptor, good_size)
        os.lseek(descriptor, good_size, os.SEEK_SET)
        os.fsync(descriptor)
        _sync_folder(path.parent)
        return Success((cls(descriptor), stored))

    def append(
        self, hard_state: HardState | None, entries: list[LogEntry]
    ) -> Result[None, StorageFailed]:
        """Write and sync; only after a success may anything that rests on it be told."""
        records: list[_Record] = []
        if hard_state is not None:
            records.append(_HardStateRecord(hard_state))
        records += [_EntryRecord(entry) for entry in entries]
        if not records:
            return Success(None)
        try:
            _write_all(self._descriptor, b"".join(_pack(record) for record in records))
            os.fdatasync(self._descriptor)
        except OSError as error:
            return Err(StorageFailed(f"log write failed: {error}; free or replace the disk"))
        return Success(None)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


def _pack(record: _Record) -> bytes:
    payload = _encoder.encode(record)
    packed: bytes = packb([crc32(payload), payload])
    return packed


def _read_records(data: bytes) -> tuple[StoredLog, int]:
    stored = StoredLog(HardState(Term(0), InstanceId("")), [])
    unpacker = Unpacker(BytesIO(data), max_buffer_size=max(len(data), 1))
    good_size = 0
    while True:
        record = _next_record(unpacker)
        if record is None:
            return stored, good_size
        _replay(stored, record)
        good_size = unpacker.tell()


def _next_record(unpacker: Unpacker) -> _Record | None:
    try:
        checksum, payload = unpacker.unpack()
        return _decoder.decode(payload) if crc32(payload) == checksum else None
    except (UnpackException, ValueError, TypeError, msgspec.DecodeError):
        return None


def _replay(stored: StoredLog, record: _Record) -> None:
    match record:
        case _HardStateRecord(state):
            stored.hard_state = state
        case _EntryRecord(entry):
            del stored.entries[entry.index - 1 :]
            stored.entries.append(entry)


def _has_record_after(data: bytes, start: int) -> bool:
    for position in range(start + 1, len(data)):
        unpacker = Unpacker(BytesIO(data[position:]), max_buffer_size=len(data))
        if _next_record(unpacker) is not None:
            return True
    return False


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
