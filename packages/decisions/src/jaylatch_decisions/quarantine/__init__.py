"""Detection of requests that cause the death of the targets that run them."""

from jaylatch_decisions.quarantine.evidence import DeathRecorder, EvidenceTable, QuarantineStatus

__all__ = ["DeathRecorder", "EvidenceTable", "QuarantineStatus"]
