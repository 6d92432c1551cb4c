"""Enumerations shared by all packages."""

from enum import Enum


class Role(str, Enum):
    """Role of a process; one process may hold several roles."""

    CONTROL = "control"
    ENTRY = "entry"
    AGENT = "agent"
    GATEWAY = "gateway"


class FirstStart(str, Enum):
    """Whether a process starts together with the whole system for the first time."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class Preset(str, Enum):
    """A named set of policy values; exactly one is in force."""

    ORDINARY = "ordinary"
    PEAK = "peak"
    MAINTENANCE = "maintenance"


class Outcome(str, Enum):
    """Whether a refused request was executed."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class TargetKind(str, Enum):
    """The kind of back end behind an agent."""

    ENGINE = "engine"
    SERVICE = "service"


class GroupState(str, Enum):
    """Durable state of a replica group."""

    ACTIVE = "active"
    DRAINING = "draining"
    DISSOLVING = "dissolving"


class OrderState(str, Enum):
    """State of an order in the journal."""

    CLAIMED = "claimed"
    RELEASED = "released"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class ClaimVerdict(str, Enum):
    """Verdict of the order journal on a claim."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    KEY_REUSED = "key_reused"
    UNKNOWN = "unknown"
    ABSENT = "absent"
    EXPIRED = "expired"


class OperatorRole(str, Enum):
    """Permissions of an operator's token; each role includes the ones before it."""

    READ = "read"
    OPERATE = "operate"
    ADMINISTER = "administer"


class DrainScope(str, Enum):
    """Scope of a drain."""

    INSTANCE = "instance"
    GROUP = "group"
    FAILURE_DOMAIN = "failure_domain"


class EntryPolicy(Enum):
    """How an entry chooses targets; all but ``ADAPTIVE`` are baselines without admission."""

    ADAPTIVE = "adaptive"
    NO_ADMISSION = "no_admission"
    ROUND_ROBIN = "round_robin"
    LEAST_LOADED = "least_loaded"


class Balancing(Enum):
    """How a gateway weighs the targets of a request.

    ``REPORTED_LOAD``: by requests in flight and the newest report. ``EXPECTED_WORK``: by the time
    that the work in flight is expected to take.
    """

    REPORTED_LOAD = "reported_load"
    EXPECTED_WORK = "expected_work"
