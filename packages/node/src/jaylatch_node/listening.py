"""Listening at the addresses of the settings, with a typed error where one cannot be used."""

from typing import Protocol

from jaylatch_core.exceptions import AddressUnusable, JaylatchError
from jaylatch_core.settings import split_address


class Listener(Protocol):
    """A server of tornado's."""

    def listen(self, port: int, address: str) -> None:
        """Accept connections."""


def listen_at(server: Listener, address: str, setting: str) -> None:
    """Let ``server`` accept connections at the ``IP:port`` that ``setting`` gives.

    Raises JaylatchError with AddressUnusable if another process has it, or it is not this
    machine's.
    """
    host, port = split_address(address)
    try:
        server.listen(port, host)
    except OSError as fault:
        raise JaylatchError(
            AddressUnusable(
                f"address {address!r} of setting {setting!r} cannot be used: {fault.strerror}"
                " (hint: end the process that has it, or give an address of this machine)"
            )
        ) from fault
