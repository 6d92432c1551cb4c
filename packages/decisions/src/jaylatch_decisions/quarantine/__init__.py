"""Recognition of requests that end the targets which run them."""

from jaylatch_decisions.quarantine.evidence import DeathRecorder, EvidenceTable, QuarantineStatus

__all__ = ["DeathRecorder", "EvidenceTable", "QuarantineStatus"]
