"""Which control instance keeps the places of a model.

Answers the loss of the keeper: each gateway asks the next one by itself, and comes back to the
first after a pause. Gateways that disagree for a moment let in a few requests too many, no more.
"""

from collections.abc import Sequence
from hashlib import blake2b

PAUSE = 1.0
"""Seconds for which a keeper that did not answer is passed over: its restart takes as long."""


class OwnerTable:
    """The keepers that have failed this process of late."""

    def __init__(self) -> None:
        self._usable_from: dict[str, float] = {}

    def choose(self, now: float, subject: str, addresses: Sequence[str]) -> str | None:
        """Return the address of the keeper of ``subject``, or None if all have failed of late."""
        usable = [item for item in addresses if self._usable_from.get(item, 0.0) <= now]
        return max(usable, key=lambda address: _weight(subject, address), default=None)

    def record_failure(self, now: float, address: str) -> None:
        """Pass the keeper over for a time."""
        self._usable_from[address] = now + PAUSE


def _weight(subject: str, address: str) -> bytes:
    return blake2b(f"{subject}\0{address}".encode(), digest_size=8).digest()
