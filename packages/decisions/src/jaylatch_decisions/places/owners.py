"""Choice of the control instance that owns the places of a model.

When an owner fails, each gateway falls back to the next one by itself, and returns to the first
after a pause. While gateways disagree, a few requests too many are admitted.
"""

from collections.abc import Sequence
from hashlib import blake2b

FAILED_OWNER_PAUSE = 1.0
"""Seconds for which an owner that did not answer is skipped: its restart takes as long."""


class OwnerTable:
    """The owners that recently did not answer this process."""

    def __init__(self) -> None:
        self._usable_from: dict[str, float] = {}

    def choose(
        self, now: float, subject: str, addresses: Sequence[str], preferred: str | None = None
    ) -> str | None:
        """Return the address of the owner of ``subject``, or None if all failed recently.

        ``preferred`` is chosen unless it failed recently.
        """
        if preferred is not None and self._usable_from.get(preferred, 0.0) <= now:
            return preferred
        usable = [item for item in addresses if self._usable_from.get(item, 0.0) <= now]
        return first_owner(subject, usable)

    def record_failure(self, now: float, address: str) -> None:
        """Skip the owner for ``FAILED_OWNER_PAUSE``."""
        self._usable_from[address] = now + FAILED_OWNER_PAUSE


def first_owner(subject: str, addresses: Sequence[str]) -> str | None:
    """Return the address of the owner of ``subject`` if all of ``addresses`` answer."""
    return max(addresses, key=lambda address: _weight(subject, address), default=None)


def _weight(subject: str, address: str) -> bytes:
    return blake2b(f"{subject}\0{address}".encode(), digest_size=8).digest()
