"""Free loopback ports for the processes that a test starts."""

import socket

LOOPBACK = "127.0.0.1"


def free_addresses(number: int) -> list[str]:
    """Return ``number`` distinct free ``IP:port`` addresses of the loopback interface."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in range(number)]
    try:
        for item in sockets:
            item.bind((LOOPBACK, 0))
        return [f"{LOOPBACK}:{item.getsockname()[1]}" for item in sockets]
    finally:
        for item in sockets:
            item.close()
