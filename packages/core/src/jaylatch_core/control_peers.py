"""Control instances and their addresses."""

from collections.abc import Mapping
from ipaddress import ip_address

import msgspec

from jaylatch_core.ids import InstanceId

MAX_PORT = 65535


class ControlPeer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A control instance: its instance id and its stream address."""

    instance: InstanceId
    address: str


def is_address(value: str) -> bool:
    """Return whether ``value`` is an IP address and a port from 1 to 65535."""
    host, _, port = value.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        return False
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


def address_of(instance: InstanceId, known: Mapping[InstanceId, str]) -> str | None:
    """Return the address of an instance from ``known`` or from its id, or None."""
    peer = peer_from_instance_id(instance)
    return known.get(instance) or (peer.address if peer is not None else None)


def peer_from_instance_id(instance: InstanceId) -> ControlPeer | None:
    """Return the peer of an instance whose id is its stream address, or None for any other id.

    With such ids, control instances can be replaced at new addresses without a list of them.
    """
    return ControlPeer(instance, instance) if is_address(instance) else None
