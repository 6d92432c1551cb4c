"""Free loopback ports for the processes that a test starts."""

import socket
from pathlib import Path
from random import SystemRandom

_random = SystemRandom()
LOOPBACK = ".".join(["127", *(str(_random.randint(1, 254)) for _ in range(3))])
"""An address of this process's own, so that no other process takes a port before it is used."""
LOWEST_PORT = 10_000
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL = 32_768


def _lowest_ephemeral() -> int:
    """Return the first port that the kernel may give to an outgoing connection."""
    try:
        return int(EPHEMERAL_RANGE.read_text().split()[0])
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL


class PortAllocator:
    """Hands out each port once, below the ports that outgoing connections may take."""

    def __init__(self) -> None:
        self._ports = list(range(LOWEST_PORT, _lowest_ephemeral()))
        _random.shuffle(self._ports)

    def take(self) -> int:
        """Return a port that nobody listens on. Raises RuntimeError if all are used up."""
        while self._ports:
            port = self._ports.pop()
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
                return port
        raise RuntimeError("every port has been handed out")


_allocator = PortAllocator()


def free_addresses(number: int) -> list[str]:
    """Return ``number`` free ``IP:port`` addresses of the loopback, each given only once."""
    return [f"{LOOPBACK}:{_allocator.take()}" for _ in range(number)]
