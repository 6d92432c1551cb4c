"""The gateway: forwards requests of a deployment's routes to direct targets."""

from jaylatch_node.gateway.role import GatewayRole

__all__ = ["GatewayRole"]
