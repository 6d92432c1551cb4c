"""Allocation of free loopback ports for processes under test."""

import socket
from pathlib import Path
from random import SystemRandom

_random = SystemRandom()
LOOPBACK = ".".join(["127", *(str(_random.randint(1, 254)) for _ in range(3))])
"""Loopback address of this process alone, so that no other process takes a port before its use."""
LOWEST_PORT = 10_000
EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_LOWEST_EPHEMERAL_PORT = 32_768


def _lowest_ephemeral_port() -> int:
    """Return the lowest port that the kernel may assign to an outgoing connection."""
    try:
        return int(EPHEMERAL_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError):
        return DEFAULT_LOWEST_EPHEMERAL_PORT


class PortAllocator:
    """Allocates each port once, below the ephemeral ports of outgoing connections."""

    def __init__(self) -> None:
        self._ports = list(range(LOWEST_PORT, _lowest_ephemeral_port()))
        _random.shuffle(self._ports)

    def allocate(self) -> int:
        """Return a port on which no process listens. Raises RuntimeError if none is left."""
        while self._ports:
            port = self._ports.pop()
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
                return port
        raise RuntimeError("no free port left: all have been allocated")


_allocator = PortAllocator()


def free_addresses(number: int) -> list[str]:
    """Return ``number`` free loopback addresses (``IP:port``); none is returned twice."""
    return [f"{LOOPBACK}:{_allocator.allocate()}" for _ in range(number)]
