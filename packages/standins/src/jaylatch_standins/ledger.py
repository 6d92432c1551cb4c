"""Ledger of the requests and orders that stand-ins ran, as JSON lines."""

from pathlib import Path
from time import time
from typing import IO

import msgspec

PROMPT_CHARACTERS = 64
"""Characters of a prompt that are recorded."""


class LedgerLine(msgspec.Struct):
    """One event at a stand-in.

    ``what`` is ``start``, ``end``, ``cancel``, ``token`` or ``death`` (the request ended its
    engine) for a request, and ``order_received``, ``order_refused``, ``load``, ``loaded`` or
    ``release`` for an engine's order, with group, epoch, rank and size in ``detail``. The harness
    adds ``killed`` for the engines that it kills.
    """

    at: float
    target: str
    what: str
    request: str
    order: str = ""
    detail: str = ""
    prompt: str = ""


class Ledger:
    """Appends events of one stand-in to a file that several stand-ins may share."""

    def __init__(self, path: Path, target: str) -> None:
        self._target = target
        self._file: IO[bytes] = path.open("ab", buffering=0)

    def record(
        self, what: str, request: str, order: str = "", detail: str = "", prompt: str = ""
    ) -> None:
        """Append one line without buffering; a prompt is truncated."""
        prompt = prompt[:PROMPT_CHARACTERS]
        line = LedgerLine(time(), self._target, what, request, order, detail, prompt)
        self._file.write(msgspec.json.encode(line) + b"\n")


def read_ledger(path: Path) -> list[LedgerLine]:
    """Return all lines of a ledger."""
    if not path.exists():
        return []
    return [msgspec.json.decode(line, type=LedgerLine) for line in path.read_bytes().splitlines()]
