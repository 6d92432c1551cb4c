"""Names of all timeline events, each with its documentation."""

from enum import Enum


class EventName(str, Enum):
    """Name of an event. ``documentation`` describes the event, its subject and its detail."""

    documentation: str

    def __new__(cls, value: str, documentation: str = "") -> "EventName":
        """Return a member with its value and its documentation."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.documentation = documentation
        return member

    PROCESS_STARTED = (
        "process.started",
        "A process started; the subject is its incarnation, the detail its roles.",
    )
    PROCESS_STOPPED = (
        "process.stopped",
        "A process was asked to stop; the subject is its incarnation.",
    )
    REQUEST_REFUSED = (
        "request.refused",
        "A request was refused; the subject is the code, the detail whether it ran.",
    )
    REQUEST_ANSWERED = ("request.answered", "A caller received a complete answer.")
    REQUEST_INTERRUPTED = (
        "request.torn",
        "A streamed answer was interrupted and the caller notified; the subject is the code.",
    )
    REQUEST_DISCONNECTED = (
        "request.disconnected",
        "A caller closed its connection; its request was cancelled.",
    )
    REQUEST_ROUTED = (
        "request.routed",
        "An entry chose a target; the subject is the instance, the detail the loads and limits.",
    )
    REQUEST_DROPPED = (
        "request.dropped",
        "Admission dropped a request; the subject is the reason, the detail the retry delay.",
    )
    REQUEST_QUARANTINED = (
        "request.quarantined",
        "A request during which targets died was refused; the subject is its digest.",
    )
    TARGET_DIED = (
        "target.died",
        "A target died while it ran a request; the subject is that request's digest.",
    )
    REQUEST_RETRIED = (
        "request.retried",
        "An attempt ended incomplete; the subject is the attempt, the detail the code.",
    )
    STORAGE_SET_ASIDE = (
        "storage.set_aside",
        "A control instance set damaged log files aside; the subject is their new folder.",
    )
    STORAGE_RECOVERING = (
        "storage.recovering",
        "A control instance rebuilds a log from its peers; the subject is the log.",
    )
    ATTEMPT_STARTED = (
        "attempt.started",
        "An agent sent an attempt to its target; the subject is the attempt.",
    )
    TARGET_ANNOUNCED = (
        "target.announced",
        "A target announced itself or changed its announcement; the subject is the target.",
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
        "The head's agent lost a member and admits no work; the subject is the group.",
    )
    LEASE_HELD = ("lease.held", "A process obtained a lease, for the first time or again.")
    LEASE_LAPSED = (
        "lease.lapsed",
        "A process noticed that its lease had expired; the detail is the time of expiry.",
    )
    PRESET_PREPARED = (
        "preset.prepared",
        "A process applies the stricter of two presets; the subject is the next preset.",
    )
    PRESET_CHANGED = (
        "preset.changed",
        "A process applied another preset; the subject is the preset, the detail its generation.",
    )
    CONFIGURATION_CHANGED = (
        "configuration.changed",
        "A process applied another configuration; the detail is its generation.",
    )
    DEPLOYMENT_CHANGED = (
        "deployment.changed",
        "A process applied another deployment document; the detail is its number.",
    )
    GATEWAY_DRAINED = (
        "gateway.drained",
        "A gateway stopped; the detail is the number of requests that it interrupted.",
    )
    PLAN_FORM_GROUP = ("plan.FormGroup", "The leader formed a group; the subject is its members.")
    PLAN_REPAIR_GROUP = (
        "plan.RepairGroup",
        "The leader replaced members of a group; the subject is the group.",
    )
    PLAN_DISSOLVE_GROUP = (
        "plan.DissolveGroup",
        "The leader dissolved a group; the subject is the group.",
    )
    PLAN_CONFIRM_RELEASE = (
        "plan.ConfirmRelease",
        "The leader recorded that an instance has left its group.",
    )
    PLAN_QUARANTINE_PARTS = (
        "plan.QuarantineParts",
        "The leader recorded the parts of prompts whose requests are refused.",
    )
    PLAN_COMMIT_PRESET = (
        "plan.CommitPreset",
        "The leader completed a preset switch that every lease holder had acknowledged.",
    )
