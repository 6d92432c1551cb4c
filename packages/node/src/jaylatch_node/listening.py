"""Listening on configured addresses, with a typed error for an unusable one."""

from typing import Protocol

from jaylatch_core.exceptions import AddressUnusable, JaylatchError
from jaylatch_core.settings import LISTEN_BACKLOG, split_address


class Listener(Protocol):
    """A tornado server."""

    def listen(self, port: int, address: str, *, backlog: int) -> None:
        """Accept connections; the kernel holds up to ``backlog`` until then."""


def listen_at(server: Listener, address: str, setting: str) -> None:
    """Let ``server`` accept connections at ``address``, the ``IP:port`` given by ``setting``.

    Raises JaylatchError with AddressUnusable if the address is in use or is not one of this
    machine.
    """
    host, port = split_address(address)
    try:
        server.listen(port, host, backlog=LISTEN_BACKLOG)
    except OSError as fault:
        raise JaylatchError(
            AddressUnusable(
                f"address {address!r} of setting {setting!r} cannot be used: {fault.strerror}"
                " (hint: stop the process that uses it, or set an address of this machine)"
            )
        ) from fault
