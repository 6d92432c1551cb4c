"""The only modules that know the formats of outside systems."""

from jaylatch_node.adapters.engine import EngineClient, EngineState
from jaylatch_node.adapters.service import ServiceClient

__all__ = ["EngineClient", "EngineState", "ServiceClient"]
