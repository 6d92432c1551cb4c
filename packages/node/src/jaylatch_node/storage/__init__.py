"""Persistent storage of replicated logs."""

from jaylatch_node.storage.files import FileSystem
from jaylatch_node.storage.log_store import LogStore, StoredLog, set_aside

__all__ = ["FileSystem", "LogStore", "StoredLog", "set_aside"]
