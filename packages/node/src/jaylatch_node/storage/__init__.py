"""Files that survive a restart."""

from jaylatch_node.storage.log_file import LogFile, StoredLog

__all__ = ["LogFile", "StoredLog"]
