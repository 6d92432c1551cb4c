"""Socket options that show a connection whose other end has gone without a word."""

import logging
import socket

KEEPALIVE_IDLE = 1
"""Seconds of silence after which the kernel asks the other end for a sign of life."""
KEEPALIVE_INTERVAL = 1
"""Seconds between two of these questions."""
KEEPALIVE_TRIES = 2
"""Questions without an answer after which the connection has ended."""
MILLISECONDS = 1000

_log = logging.getLogger("jaylatch.sockets")


def detect_dead_peer(connection: socket.socket | None, unacknowledged: float) -> None:
    """Let the kernel end ``connection`` if its other end has gone.

    ``unacknowledged`` is the seconds for which bytes that were sent may stay unacknowledged.
    A connection that has ended already, or is None, is left as it is: its reader notices the end.
    """
    if connection is None:
        return
    try:
        _set_options(connection, unacknowledged)
    except OSError as fault:
        _log.debug("connection ended before its options were set", extra={"fault": str(fault)})


def _set_options(connection: socket.socket, unacknowledged: float) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_TRIES)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(unacknowledged * MILLISECONDS)
    )
