"""Socket options that show a connection whose other end has gone without a word."""

import socket

KEEPALIVE_IDLE = 1
"""Seconds of silence after which the kernel asks the other end for a sign of life."""
KEEPALIVE_INTERVAL = 1
"""Seconds between two of these questions."""
KEEPALIVE_TRIES = 2
"""Questions without an answer after which the connection has ended."""
MILLISECONDS = 1000


def detect_silence(connection: socket.socket, unacknowledged: float) -> None:
    """Let the kernel end ``connection`` if its other end has gone.

    ``unacknowledged`` is the seconds for which bytes that were sent may stay unacknowledged.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_TRIES)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(unacknowledged * MILLISECONDS)
    )
