"""Clients of external systems, the only modules that depend on their formats."""

from jaylatch_node.adapters.engine import EngineClient, EngineState
from jaylatch_node.adapters.service import ServiceClient

__all__ = ["EngineClient", "EngineState", "ServiceClient"]
