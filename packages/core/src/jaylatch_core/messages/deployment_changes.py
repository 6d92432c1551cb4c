"""Difference between two deployments, in the compressed form in which it travels."""

import msgspec

from jaylatch_core.compression import compress_large, expand
from jaylatch_core.deployment import (
    AccountProfile,
    ConnectionLimits,
    DeploymentNumber,
    RouteSpecification,
    ServiceProfile,
)


class RouteKey(msgspec.Struct, frozen=True, array_like=True):
    """Host and path prefix, which identify a route in its deployment."""

    host: str
    path_prefix: str


class DeploymentChange(msgspec.Struct, frozen=True):
    """Turns the deployment ``base`` into ``number``.

    ``routes`` are new or replace those with the same host and prefix. A field that is None has not
    changed.
    """

    base: DeploymentNumber
    number: DeploymentNumber
    routes: tuple[RouteSpecification, ...] = ()
    removed_routes: tuple[RouteKey, ...] = ()
    services: tuple[ServiceProfile, ...] | None = None
    limits: ConnectionLimits | None = None
    accounts: tuple[AccountProfile, ...] | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(DeploymentChange)


def pack_change(change: DeploymentChange) -> bytes:
    """Return the form of ``change`` that travels, compressed if it is large."""
    return compress_large(_encoder.encode(change))


def unpack_change(data: bytes) -> DeploymentChange:
    """Parse the result of ``pack_change``. Raises ``msgspec.DecodeError`` for other bytes."""
    return _decoder.decode(expand(data))
