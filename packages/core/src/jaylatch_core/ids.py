"""Identifier types. Each id is a distinct ``NewType`` so that mypy rejects a mix-up."""

from typing import NewType

AccountId = NewType("AccountId", str)
"""A customer of the platform; owns keys, orders and a share of the capacity."""

AttemptId = NewType("AttemptId", str)
"""An attempt to run one request on one target."""

CommandId = NewType("CommandId", str)
"""An operator's command; a resend carries the same id."""

Epoch = NewType("Epoch", int)
"""Fencing number of a group's membership; increases with every membership change."""

FailureDomainId = NewType("FailureDomainId", str)
"""A zone that fails as a unit; also the fabric domain of its instances."""

Generation = NewType("Generation", int)
"""Number of an accepted configuration or preset change; never reused."""

GroupId = NewType("GroupId", str)
"""A replica group: the instances that together hold one copy of a model."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""The caller's key for one order; unique within an account."""

Incarnation = NewType("Incarnation", str)
"""Random id of one run of a process; changes at each restart."""

InstanceId = NewType("InstanceId", str)
"""A machine, as named in its settings."""

LogIndex = NewType("LogIndex", int)
"""Position of an entry in a replicated log, from 1."""

RequestId = NewType("RequestId", str)
"""A caller's request; correlates the log lines of all processes."""

TargetId = NewType("TargetId", str)
"""A back end, as it named itself when it announced itself."""

Term = NewType("Term", int)
"""Election term of a replicated log."""

RequestDigest = NewType("RequestDigest", str)
"""Digest of an account's request, the same for each resend."""

NO_DIGEST = RequestDigest("")

PromptPartId = NewType("PromptPartId", str)
"""A part of a prompt, as the caller names it; requests may share it."""

TargetDeathId = NewType("TargetDeathId", str)
"""A death of a target: its unplanned end."""
