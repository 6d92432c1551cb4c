"""Socket options that detect a dead peer, bound the kernel's buffers, and reset a connection."""

import logging
import socket
import struct
import sys
from fcntl import ioctl
from termios import TIOCOUTQ

KEEPALIVE_IDLE = 1
"""Idle seconds after which the kernel sends the first keepalive probe."""
KEEPALIVE_INTERVAL = 1
"""Seconds between two keepalive probes."""
KEEPALIVE_PROBES = 2
"""Unanswered keepalive probes after which the kernel closes the connection."""
MILLISECONDS_PER_SECOND = 1000
BUFFER_SIZE = 256 * 1024
"""Bytes of each kernel buffer of a caller's or target's connection; the kernel doubles it. It grows
to 4 MiB and more without a bound, for each connection whose other end does not read."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Linger for 0 seconds: the close drops unsent bytes and resets the connection."""

_log = logging.getLogger("jaylatch.sockets")


def detect_dead_peer(connection: socket.socket | None, unacknowledged_timeout: float) -> None:
    """Let the kernel close ``connection`` if its peer is dead.

    ``unacknowledged_timeout`` is the time in seconds for which sent bytes may stay unacknowledged.
    A connection that is closed or None is left unchanged: its reader detects the end.
    """
    if connection is None:
        return
    try:
        _set_options(connection, unacknowledged_timeout)
    except OSError as fault:
        _log.debug("connection ended before its options were set", extra={"fault": str(fault)})


def bound_buffers(connection: socket.socket | None, *options: int) -> None:
    """Bound the kernel's buffers of ``connection``: SO_SNDBUF, SO_RCVBUF or both."""
    for option in options:
        _set_option(connection, option, BUFFER_SIZE)


def reset_on_close(connection: socket.socket | None) -> None:
    """Let the close of ``connection`` reset it, so that its other end sees no regular end."""
    _set_option(connection, socket.SO_LINGER, RESET_ON_CLOSE)


def unacknowledged_size(connection: socket.socket | None) -> int:
    """Return the bytes in the kernel that the other end of ``connection`` has not acknowledged."""
    if connection is None:
        return 0
    try:
        return int.from_bytes(ioctl(connection, TIOCOUTQ, bytes(4)), sys.byteorder)
    except (OSError, ValueError):
        # The connection has been closed.
        return 0


def _set_option(connection: socket.socket | None, option: int, value: int | bytes) -> None:
    if connection is None:
        return
    try:
        connection.setsockopt(socket.SOL_SOCKET, option, value)
    except OSError as fault:
        _log.debug("connection ended before an option was set", extra={"fault": str(fault)})


def _set_options(connection: socket.socket, unacknowledged_timeout: float) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(unacknowledged_timeout * MILLISECONDS_PER_SECOND),
    )


def peek(connection: socket.socket) -> bytes | None:
    """Return a byte that waits to be read, no byte at the end, and None if nothing has arrived."""
    try:
        return connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
