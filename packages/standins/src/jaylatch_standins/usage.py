"""Resource usage of a process: processor, memory and disk from ``/proc``, streams from metrics."""

import os
from asyncio import create_task
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

from prometheus_client.parser import text_string_to_metric_families

from jaylatch_core.messages.administration import MetricsReport, ReadMetrics
from jaylatch_standins.wire import connect, ignore

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1024
CALL_TIMEOUT = 10.0
"""Seconds to wait for the metrics of a process."""
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12
"""Indexes of fields of ``/proc/PID/stat``, counted after the command's name."""
TRAFFIC_METRICS = {
    "jaylatch_stream_sent_bytes_total": "sent_bytes",
    "jaylatch_stream_received_bytes_total": "received_bytes",
    "jaylatch_stream_sent_messages_total": "sent_messages",
    "jaylatch_stream_received_messages_total": "received_messages",
}
"""Names of the stream metrics, with their names in the rates."""


@dataclass(frozen=True)
class Usage:
    """Totals of a process up to ``at`` (monotonic seconds).

    ``processor`` is in seconds, ``disk_bytes`` counts written bytes, ``memory`` is the current size
    in bytes.
    """

    at: float
    processor: float
    memory: float
    disk_bytes: float
    traffic: dict[str, float]

    def since(self, earlier: "Usage") -> dict[str, float]:
        """Return the usage per second since ``earlier``, and the current memory in bytes."""
        elapsed = self.at - earlier.at
        rates = {
            name: (self.traffic[name] - earlier.traffic[name]) / elapsed for name in TRAFFIC_METRICS
        }
        return {
            "processor": (self.processor - earlier.processor) / elapsed,
            "memory": self.memory,
            "disk_bytes": (self.disk_bytes - earlier.disk_bytes) / elapsed,
            **{TRAFFIC_METRICS[name]: rate for name, rate in rates.items()},
        }


async def read_usage(pid: int, stream: str) -> Usage:
    """Read the usage of the process ``pid``, whose streams listen at ``stream`` (``IP:port``)."""
    traffic = await _read_traffic(stream)
    return Usage(monotonic(), _processor_time(pid), _memory(pid), _disk_bytes(pid), traffic)


def _processor_time(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])) / TICKS_PER_SECOND


def _memory(pid: int) -> float:
    """Return the proportional set size in bytes, which divides shared pages among processes."""
    return _read_field(Path(f"/proc/{pid}/smaps_rollup"), "Pss:") * KIBIBYTE


def _disk_bytes(pid: int) -> float:
    return _read_field(Path(f"/proc/{pid}/io"), "write_bytes:")


def _read_field(path: Path, name: str) -> float:
    lines = (line.split() for line in path.read_text().splitlines())
    return next(float(line[1]) for line in lines if line[0] == name)


async def _read_traffic(stream: str) -> dict[str, float]:
    wire = await connect(stream, ignore)
    reading = create_task(wire.run())
    try:
        report = await wire.call(ReadMetrics(), CALL_TIMEOUT)
    finally:
        wire.close()
        reading.cancel()
    assert isinstance(report, MetricsReport), report
    families = text_string_to_metric_families(report.text.decode())
    samples = (sample for family in families for sample in family.samples)
    return {sample.name: sample.value for sample in samples if sample.name in TRAFFIC_METRICS}
