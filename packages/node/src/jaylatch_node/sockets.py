"""Socket options that detect a dead peer."""

import logging
import socket

KEEPALIVE_IDLE = 1
"""Idle seconds after which the kernel sends the first keepalive probe."""
KEEPALIVE_INTERVAL = 1
"""Seconds between two keepalive probes."""
KEEPALIVE_PROBES = 2
"""Unanswered keepalive probes after which the kernel closes the connection."""
MILLISECONDS_PER_SECOND = 1000

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
