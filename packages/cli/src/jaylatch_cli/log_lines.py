"""Parsing of the log lines of processes, from files, folders or standard input.

A line may have a prefix that a log collector added: everything before the first brace is ignored.
"""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from jaylatch_core.exceptions import LogsUnreadable
from jaylatch_core.log_records import RECORD_TYPES, LogRecord

STANDARD_INPUT = "-"
RECORD_TYPES_BY_TAG = {str(kind.__struct_config__.tag): kind for kind in RECORD_TYPES}


class LogLine(msgspec.Struct, frozen=True):
    """One log line: its time, the process that wrote it, and its record."""

    at: str
    instance: str
    record: LogRecord


class _Stamp(msgspec.Struct):
    message: str = ""
    asctime: str = ""
    instance: str = ""


_stamp_decoder = msgspec.json.Decoder(_Stamp)
_record_decoders = {name: msgspec.json.Decoder(kind) for name, kind in RECORD_TYPES_BY_TAG.items()}


def read_lines(sources: Iterable[str] | None) -> Result[list[LogLine], LogsUnreadable]:
    """Return the typed lines of all ``sources``, or of standard input, sorted by time.

    Lines that are not JSON or whose kind is unknown to this release are skipped. Fails if a source
    cannot be read.
    """
    lines: list[LogLine] = []
    for source in sources or [STANDARD_INPUT]:
        try:
            for text in _read_source(source):
                line = parse_line(text)
                if line is not None:
                    lines.append(line)
        except OSError as error:
            return Failure(LogsUnreadable(f"cannot read {source}: {error.strerror}"))
    lines.sort(key=lambda line: line.at)
    return Success(lines)


def parse_line(text: bytes) -> LogLine | None:
    """Return the parsed line, or None if it is not a known record."""
    start = text.find(b"{")
    if start < 0:
        return None
    try:
        stamp = _stamp_decoder.decode(text[start:])
        decoder = _record_decoders.get(stamp.message)
        if decoder is None:
            return None
        return LogLine(stamp.asctime, stamp.instance, decoder.decode(text[start:]))
    except msgspec.DecodeError:
        return None


def _read_source(source: str) -> Iterator[bytes]:
    if source == STANDARD_INPUT:
        yield from sys.stdin.buffer
        return
    path = Path(source)
    files = sorted(item for item in path.iterdir() if item.is_file()) if path.is_dir() else [path]
    for file in files:
        with file.open("rb") as stream:
            yield from stream
