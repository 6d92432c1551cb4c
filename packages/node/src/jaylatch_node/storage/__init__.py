"""Persistent storage of replicated logs."""

from jaylatch_node.storage.files import FileSystem
from jaylatch_node.storage.log_store import LogStore, StoredLog, set_aside
from jaylatch_node.storage.worker import DiskWorker

__all__ = ["DiskWorker", "FileSystem", "LogStore", "StoredLog", "set_aside"]
