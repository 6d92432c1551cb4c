"""Reads the lines that processes log, from files, folders or a pipe.

A line may have a prefix, as a collector writes it in front of each: only what begins with the first
brace is read.
"""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from jaylatch_core.exceptions import LogsUnreadable
from jaylatch_core.log_records import RECORD_TYPES, LogRecord

STANDARD_INPUT = "-"
TYPES = {str(kind.__struct_config__.tag): kind for kind in RECORD_TYPES}


class LogLine(msgspec.Struct, frozen=True):
    """One line: when and by which process it was written, and what it says."""

    at: str
    instance: str
    record: LogRecord


class _Stamp(msgspec.Struct):
    message: str = ""
    asctime: str = ""
    instance: str = ""


_stamps = msgspec.json.Decoder(_Stamp)
_decoders = {name: msgspec.json.Decoder(kind) for name, kind in TYPES.items()}


def read_lines(places: Iterable[str] | None) -> Result[list[LogLine], LogsUnreadable]:
    """Return the typed lines of all ``places``, or of standard input, in the order of their times.

    Lines that are no JSON, or of a kind that this release does not know, are left out. Fails if a
    place cannot be read.
    """
    lines: list[LogLine] = []
    for place in places or [STANDARD_INPUT]:
        try:
            for text in _read_place(place):
                line = parse_line(text)
                if line is not None:
                    lines.append(line)
        except OSError as error:
            return Failure(LogsUnreadable(f"cannot read {place}: {error.strerror}"))
    lines.sort(key=lambda line: line.at)
    return Success(lines)


def parse_line(text: bytes) -> LogLine | None:
    """Return one line, or None if it is not one of the known records."""
    start = text.find(b"{")
    if start < 0:
        return None
    try:
        stamp = _stamps.decode(text[start:])
        decoder = _decoders.get(stamp.message)
        if decoder is None:
            return None
        return LogLine(stamp.asctime, stamp.instance, decoder.decode(text[start:]))
    except msgspec.DecodeError:
        return None


def _read_place(place: str) -> Iterator[bytes]:
    if place == STANDARD_INPUT:
        yield from sys.stdin.buffer
        return
    path = Path(place)
    files = sorted(item for item in path.iterdir() if item.is_file()) if path.is_dir() else [path]
    for file in files:
        with file.open("rb") as stream:
            yield from stream
