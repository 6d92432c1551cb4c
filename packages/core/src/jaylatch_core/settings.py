"""Settings of one process, read from TOML. All defaults are defined here.

Durations are seconds, sizes are bytes, addresses are ``IP:port``. The types carry the bounds and
units from which the checks and docs/reference/settings.md are generated.
"""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure as Err
from returns.result import Result

from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.documents import parse_document
from jaylatch_core.enums import Balancing, EntryPolicy, FirstStart, OperatorRole, Role
from jaylatch_core.exceptions import SettingsInvalid
from jaylatch_core.findings import format_finding
from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_core.units import MEBIBYTE, Duration, Interval, Size

LISTEN_BACKLOG = 1024
"""Connections that a busy process may leave unaccepted. The kernel drops the opening packet of any
further one, and the caller sends it again only after a second."""

Name = Annotated[str, Meta(min_length=1, max_length=128)]
"""A non-empty name."""


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The control quorum, known to every process.

    ``peers`` lists all control instances; ``voters`` names the voters of the first start (none:
    all). From then on the logs record the voters. ``first_start`` says whether the whole system
    starts for the first time: with ``no``, an instance on an empty disk waits for the leader of the
    running system, and with ``yes`` a majority of empty disks is enough to elect the first one. An
    instance without a vote asks for one; it gets it while there are fewer than ``voter_count``
    voters (0: as many as at the first start), together with a second one that waits, or in place of
    a voter that is lost or ends. ``journal_shards``, ``answer_retention`` and ``key_retention``
    must be the same on every process. A resent order gets its stored answer within
    ``answer_retention`` of its completion, and runs at most once within ``key_retention``.
    ``data_folder`` is used by the control role only. A direct target that has sent no heartbeat for
    ``target_silence`` is lost. Without ``keeps_journal`` there is no order journal, and no entry
    may serve orders. An instance without ``keeps_log`` has no disk: it is no control peer, has no
    vote, and forwards the calls of direct targets and operators to the leader. ``failure_domains``
    are the domains that an operator may evacuate (none: any name is accepted); new work there has
    stopped ``evacuation_bound`` after the acknowledgement. ``apply_bound`` is the time after which
    groups of direct targets of a former size serve no longer.
    """

    peers: tuple[ControlPeer, ...] = (ControlPeer(InstanceId("instance-1"), "127.0.0.1:7100"),)
    voters: tuple[InstanceId, ...] = ()
    first_start: FirstStart = FirstStart.UNKNOWN
    data_folder: Name = "var/control"
    voter_count: Annotated[int, Meta(ge=0, le=9)] = 0
    journal_shards: Annotated[int, Meta(ge=1, le=256)] = 2
    keeps_journal: bool = True
    keeps_log: bool = True
    answer_retention: Duration = 86_400.0
    key_retention: Duration = 604_800.0
    heartbeat_interval: Interval = 0.18
    election_timeout: Interval = 0.6
    initial_configuration: str = ""
    target_silence: Interval = 3.0
    failure_domains: tuple[FailureDomainId, ...] = ()
    evacuation_bound: Interval = 5.0
    apply_bound: Interval = 2.0


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Leases of entries and agents. ``drift`` is the greatest relative drift of two clocks."""

    duration: Interval = 4.0
    renew_interval: Interval = 0.5
    drift: Annotated[float, Meta(ge=0, le=0.1)] = 0.01


class ColdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound on the requests to a cold target in any second, over all gateways.

    It is the target's cold rate times ``overage``, plus ``slack`` requests.
    """

    overage: Annotated[float, Meta(ge=1)] = 1.0
    slack: Annotated[float, Meta(ge=0)] = 0.0


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator. ``token_hash`` is the SHA-256 hex digest of the operator's token."""

    name: str
    token_hash: str
    role: OperatorRole = OperatorRole.READ


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The role that serves callers and operators. ``policy`` is ``adaptive`` except in comparisons.

    A token in ``operator_token_hashes`` has all permissions; ``operators`` lists people and roles.
    ``grace`` is the time from SIGTERM until the process must have ended, and ``rotation`` the part
    of it in which new callers still arrive.
    """

    http: str = "127.0.0.1:8080"
    body_limit: Size = 4 * MEBIBYTE
    answer_limit: Size = 16 * MEBIBYTE
    token_limit: Annotated[int, Meta(ge=1)] = 32_768
    default_deadline: Duration = 30.0
    operator_token_hashes: tuple[str, ...] = ()
    policy: EntryPolicy = EntryPolicy.ADAPTIVE
    operators: tuple[OperatorSettings, ...] = ()
    grace: Interval = 8.0
    rotation: Interval = 1.0


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The role beside one target. ``http`` is the address at which the target announces itself.

    Without ``adapts_limit`` the limit of the target is fixed at ``target_concurrency`` attempts.
    ``grace`` is the time from SIGTERM, after which it starts no attempts, until its end.
    """

    http: str = "127.0.0.1:7180"
    probe_interval: Interval = 0.1
    member_timeout: Interval = 0.8
    attempt_retention: Duration = 30.0
    adapts_limit: bool = True
    answer_limit: Size = 16 * MEBIBYTE
    grace: Interval = 8.0


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The role that forwards requests of a deployment's routes to direct targets.

    ``http`` is the address for callers and ``readiness`` that of the platform's readiness check.
    ``grace`` is the time from SIGTERM until the process must have ended, and ``rotation`` the part
    of it in which new callers still arrive. ``repeat_ratio`` and ``repeat_burst`` are this
    process's part of the retry budget. ``apply_bound`` is the time from the announcement of a
    deployment after which a process that lacks it refuses requests. ``evidence_warm_up`` is the
    time after the start in which it suspects no parts of prompts, since it has had few answers.
    ``balancing`` is how targets are chosen where no owner of places answers, and among plain
    services. ``memory_limit`` is the memory that the process may use (0: no limit).
    With ``queues_by_rank`` requests of services with ranked streams wait for places by rank.
    """

    http: str = "127.0.0.1:8081"
    readiness: str = "127.0.0.1:8082"
    grace: Interval = 8.0
    rotation: Interval = 2.8
    apply_bound: Interval = 1.0
    evidence_warm_up: Interval = 5.0
    repeat_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    repeat_burst: Annotated[float, Meta(ge=0)] = 10.0
    balancing: Balancing = Balancing.REPORTED_LOAD
    queues_by_rank: bool = False
    memory_limit: Annotated[int, Meta(ge=0)] = 0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON-lines log. An empty ``file``: standard output. ``events`` also logs the timeline."""

    level: str = "INFO"
    file: str = ""
    events: bool = False


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one process.

    ``stream`` is the address at which other processes reach this one. ``stream_listen`` is the
    listen address if it differs (behind a port mapping). ``metrics`` is the address at which this
    process serves ``/metrics``; if it is empty, an entry still serves them at its own address.
    """

    instance: InstanceId = InstanceId("instance-1")
    failure_domain: FailureDomainId = FailureDomainId("domain-1")
    roles: tuple[Role, ...] = (Role.CONTROL, Role.ENTRY, Role.AGENT)
    stream: str = "127.0.0.1:7100"
    stream_listen: str = ""
    metrics: str = ""
    control: ControlSettings = ControlSettings()
    lease: LeaseSettings = LeaseSettings()
    entry: EntrySettings = EntrySettings()
    agent: AgentSettings = AgentSettings()
    gateway: GatewaySettings = GatewaySettings()
    cold: ColdSettings = ColdSettings()
    log: LogSettings = LogSettings()


def load_settings(path: Path) -> Result[NodeSettings, SettingsInvalid]:
    """Read and type-check the TOML file at ``path``; all its faults are in the failure."""
    try:
        document = path.read_bytes()
    except OSError as fault:
        return Err(SettingsInvalid(f"settings file {str(path)!r} cannot be read: {fault}"))
    return parse_document(document, NodeSettings).alt(
        lambda findings: SettingsInvalid(
            "\n".join([f"settings file {str(path)!r}:", *map(format_finding, findings)]), findings
        )
    )


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port``. Raises ValueError if the port is missing or not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
