"""Free loopback ports for the processes that a test starts."""

import socket
from random import SystemRandom

_random = SystemRandom()
LOOPBACK = ".".join(["127", *(str(_random.randint(1, 254)) for _ in range(3))])
"""An address of this process's own, so that no other process takes a port before it is used."""


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
