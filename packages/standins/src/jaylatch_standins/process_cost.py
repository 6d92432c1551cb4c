"""Processor time and memory of a running process, read from ``/proc``."""

from os import sysconf
from pathlib import Path
from time import monotonic

MEBIBYTE = 1024 * 1024
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12
"""Indexes of fields of ``/proc/PID/stat``, counted after the command's name."""


class ProcessCost:
    """Measures one process since the creation of this object."""

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")
        self._started_at = monotonic()
        self._initial_processor_time = self._processor_time()

    def core_share(self) -> float:
        """Return the average share of one core that the process has used."""
        return (self._processor_time() - self._initial_processor_time) / (
            monotonic() - self._started_at
        )

    def memory(self) -> float:
        """Return the resident memory in MiB."""
        pages = int((self._folder / "statm").read_text().split()[1])
        return pages * sysconf("SC_PAGE_SIZE") / MEBIBYTE

    def _processor_time(self) -> float:
        fields = (self._folder / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
        return ticks / sysconf("SC_CLK_TCK")
