"""The names of all events of the time line, each with what it tells."""

from enum import Enum


class EventName(str, Enum):
    """What has happened. ``documentation`` says what the event's subject and detail are."""

    documentation: str

    def __new__(cls, value: str, documentation: str = "") -> "EventName":
        """Make a member from its value and its documentation."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.documentation = documentation
        return member

    PROCESS_STARTED = (
        "process.started",
        "A process began to run; the subject is its incarnation, the detail its roles.",
    )
    PROCESS_STOPPED = (
        "process.stopped",
        "A process was asked to end; the subject is its incarnation.",
    )
    REQUEST_REFUSED = (
        "request.refused",
        "A caller was refused; the subject is the code, the detail what ran.",
    )
    REQUEST_ANSWERED = ("request.answered", "A caller got its whole answer.")
    REQUEST_INTERRUPTED = (
        "request.torn",
        "A streamed answer ended unfinished and the caller was told; the subject is the code.",
    )
    REQUEST_DISCONNECTED = (
        "request.disconnected",
        "A caller closed its connection; its work was cancelled.",
    )
    REQUEST_ROUTED = (
        "request.routed",
        "An entry chose a target; the subject is the instance, the detail what it compared.",
    )
    REQUEST_DROPPED = (
        "request.dropped",
        "Admission gave a request up; the subject is the reason, the detail what it knew.",
    )
    REQUEST_QUARANTINED = (
        "request.quarantined",
        "A request that ended its targets was refused; the subject is its digest.",
    )
    TARGET_DIED = (
        "target.died",
        "A target ended while it ran a request; the subject is that request's digest.",
    )
    REQUEST_RETRIED = (
        "request.retried",
        "An attempt ended without a whole answer; the subject is the attempt, the detail the code.",
    )
    STORAGE_SET_ASIDE = (
        "storage.set_aside",
        "A control instance set a damaged log file aside; the subject is the file.",
    )
    STORAGE_RECOVERING = (
        "storage.recovering",
        "A control instance takes a log anew from its peers; the subject is the log.",
    )
    ATTEMPT_STARTED = (
        "attempt.started",
        "An agent handed an attempt to its target; the subject is the attempt.",
    )
    TARGET_ANNOUNCED = (
        "target.announced",
        "A target announced itself or changed what it says; the subject is the target.",
    )
    ENGINE_LOAD_ORDERED = (
        "engine.load_ordered",
        "An agent ordered its engine to load; the subject is the group, the detail the epoch.",
    )
    GROUP_COMPLETE = (
        "group.whole",
        "The head's agent sees every member ready under the epoch; the subject is the group.",
    )
    GROUP_BROKEN = (
        "group.broken",
        "The head's agent misses a member and admits no work; the subject is the group.",
    )
    LEASE_HELD = ("lease.held", "A process holds a lease, for the first time or again.")
    LEASE_LAPSED = (
        "lease.lapsed",
        "A process noticed that its lease had lapsed; the detail is the time at which it did.",
    )
    PRESET_PREPARED = (
        "preset.prepared",
        "A process acts under the stricter of two presets; the subject is the next one.",
    )
    PRESET_CHANGED = (
        "preset.changed",
        "A process acts under another preset; the subject is the preset, the detail its number.",
    )
    CONFIGURATION_CHANGED = (
        "configuration.changed",
        "A process acts under another configuration; the generation says which.",
    )
    DEPLOYMENT_CHANGED = (
        "deployment.changed",
        "A process acts under another deployment document; the detail is its number.",
    )
    GATEWAY_DRAINED = (
        "gateway.drained",
        "A gateway stops; the detail says how many requests its grace cut.",
    )
    PLAN_FORM_GROUP = ("plan.FormGroup", "The leader formed a group; the subject is its members.")
    PLAN_REPAIR_GROUP = (
        "plan.RepairGroup",
        "The leader replaced members of a group; the subject is the group.",
    )
    PLAN_DISSOLVE_GROUP = (
        "plan.DissolveGroup",
        "The leader ended a group; the subject is the group.",
    )
    PLAN_CONFIRM_RELEASE = (
        "plan.ConfirmRelease",
        "The leader recorded that an instance has left its group.",
    )
    PLAN_COMMIT_PRESET = (
        "plan.CommitPreset",
        "The leader ended a preset switch that every holder had acknowledged.",
    )
