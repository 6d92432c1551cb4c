"""Format of a log's files: batches of one write each, with a marker, a length and a checksum.

A batch is written and synced before the next one is started. Therefore an invalid batch at the end
of a file was never synced and is truncated, while an invalid batch that is followed by a valid one
had been synced and means that the file is damaged. The marker lets a reader find later batches in
one pass.
"""

from collections.abc import Iterator
from struct import Struct
from zlib import crc32

import msgspec

from jaylatch_core.messages.consensus import HardState, LogEntry, Snapshot

MARKER = b"\xf5JLB\xfa\x01"
_header = Struct("<II")
PREFIX_SIZE = len(MARKER) + _header.size


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Content of one write.

    ``segment``, in the snapshot's file only, is the number of the segment after the snapshot.
    """

    hard_state: HardState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None
    segment: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Batch)


def pack_batch(batch: Batch) -> bytes:
    """Return the bytes of a batch."""
    payload = _encoder.encode(batch)
    return MARKER + _header.pack(len(payload), crc32(payload)) + payload


def read_batches(data: bytes) -> Iterator[tuple[Batch, int]]:
    """Yield each batch from the start, with its end offset, up to the first invalid batch."""
    offset = 0
    while (found := _read_at(data, offset)) is not None:
        batch, offset = found
        yield batch, offset


def has_batch_after(data: bytes, offset: int) -> bool:
    """Return whether a valid batch begins after ``offset``, in one pass."""
    position = data.find(MARKER, offset + 1)
    while position >= 0:
        if _read_at(data, position) is not None:
            return True
        position = data.find(MARKER, position + 1)
    return False


def _read_at(data: bytes, offset: int) -> tuple[Batch, int] | None:
    start = offset + PREFIX_SIZE
    if len(data) < start or data[offset : offset + len(MARKER)] != MARKER:
        return None
    length, checksum = _header.unpack_from(data, offset + len(MARKER))
    payload = data[start : start + length]
    if len(payload) != length or crc32(payload) != checksum:
        return None
    try:
        return _decoder.decode(payload), start + length
    except msgspec.DecodeError:
        return None
