"""Checks of the addresses in the settings."""

from jaylatch_core.checks.registry import register
from jaylatch_core.control_peers import is_address
from jaylatch_core.enums import Role
from jaylatch_core.findings import CheckMessage, error
from jaylatch_core.settings import NodeSettings


def own_addresses(settings: NodeSettings) -> dict[str, str]:
    """Return the addresses of this process by setting."""
    found = {"stream": settings.stream}
    if settings.metrics:
        found["metrics"] = settings.metrics
    if Role.ENTRY in settings.roles:
        found["entry.http"] = settings.entry.http
    if Role.AGENT in settings.roles:
        found["agent.http"] = settings.agent.http
    if Role.GATEWAY in settings.roles:
        found["gateway.http"] = settings.gateway.http
        found["gateway.readiness"] = settings.gateway.readiness
    return found


@register
def check_address_format(settings: NodeSettings) -> list[CheckMessage]:
    """Every address must be an IP address and a port; host names are not resolved."""
    addresses = own_addresses(settings)
    for number, peer in enumerate(settings.control.peers):
        addresses[f"control.peers[{number}].address"] = peer.address
    return [
        error(
            "addresses.E001",
            subject,
            f"{address!r} is not IP:port",
            "give an IP address and a port from 1 to 65535, such as '10.0.0.1:7100'",
        )
        for subject, address in addresses.items()
        if not is_address(address)
    ]


@register
def check_distinct_addresses(settings: NodeSettings) -> list[CheckMessage]:
    """Each listener of a process must have its own address."""
    seen: dict[str, str] = {}
    found = []
    for subject, address in own_addresses(settings).items():
        if address in seen:
            found.append(
                error(
                    "addresses.E002",
                    subject,
                    f"{address!r} is also the address of {seen[address]}",
                    "give each listener an address of its own",
                )
            )
        seen[address] = subject
    return found
