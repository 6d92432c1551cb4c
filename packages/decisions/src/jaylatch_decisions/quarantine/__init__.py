"""Detection of requests, and of parts of prompts, that cause the death of their targets."""

from jaylatch_decisions.quarantine.evidence import DeathRecorder, EvidenceTable, QuarantineStatus
from jaylatch_decisions.quarantine.prompt_parts import AnsweredParts, PartEvidence, SharedParts

__all__ = [
    "AnsweredParts",
    "DeathRecorder",
    "EvidenceTable",
    "PartEvidence",
    "QuarantineStatus",
    "SharedParts",
]
