"""Settings of one process, read from TOML. Every default is on this page.

Durations are seconds, sizes are bytes, addresses are ``IP:port``. The bounds and the descriptions
stand in the types, so that the checks and docs/reference/settings.md are made from them.
"""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure as Err
from returns.result import Result

from jaylatch_core.control_peers import ControlPeer
from jaylatch_core.documents import parse_document
from jaylatch_core.enums import EntryPolicy, OperatorRole, Role
from jaylatch_core.exceptions import SettingsInvalid
from jaylatch_core.findings import format_finding
from jaylatch_core.ids import FailureDomainId, InstanceId
from jaylatch_core.units import MEBIBYTE, Duration, Interval, Size

Name = Annotated[str, Meta(min_length=1, max_length=128)]
"""A name that must not be empty."""


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The control quorum, known to every process.

    ``peers`` holds every control instance; ``voters`` names those of the first start (none: all).
    From then on the logs say who votes. An instance without a vote asks for one; it gets it while
    there are fewer than ``voter_count`` voters (0: as many as at the first start), or in the place
    of one that is lost. ``journal_shards``, ``answer_retention`` and ``key_retention`` must be the
    same on every process. A resent order gets its stored answer within ``answer_retention`` of its
    completion, and runs at most once within ``key_retention``. ``data_folder`` is used by the
    control role only. A direct target that has sent no heartbeat for ``target_silence`` counts as
    lost. Without ``keeps_journal`` there is no order journal; no entry may then serve orders.
    """

    peers: tuple[ControlPeer, ...] = (ControlPeer(InstanceId("instance-1"), "127.0.0.1:7100"),)
    voters: tuple[InstanceId, ...] = ()
    data_folder: Name = "var/control"
    voter_count: Annotated[int, Meta(ge=0, le=9)] = 0
    journal_shards: Annotated[int, Meta(ge=1, le=256)] = 2
    keeps_journal: bool = True
    answer_retention: Duration = 86_400.0
    key_retention: Duration = 604_800.0
    heartbeat_interval: Interval = 0.18
    election_timeout: Interval = 0.6
    initial_configuration: str = ""
    target_silence: Interval = 3.0


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Leases of entries and agents. ``drift`` bounds the relative error of two clocks."""

    duration: Interval = 4.0
    renew_interval: Interval = 0.5
    drift: Annotated[float, Meta(ge=0, le=0.1)] = 0.01


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator. ``token_hash`` is the SHA-256 hex digest of the operator's token."""

    name: str
    token_hash: str
    role: OperatorRole = OperatorRole.READ


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The role that faces callers and operators. ``policy`` is ``adaptive`` but for comparisons.

    A token in ``operator_token_hashes`` may do everything; ``operators`` names people and roles.
    """

    http: str = "127.0.0.1:8080"
    body_limit: Size = 4 * MEBIBYTE
    answer_limit: Size = 16 * MEBIBYTE
    token_limit: Annotated[int, Meta(ge=1)] = 32_768
    default_deadline: Duration = 30.0
    operator_token_hashes: tuple[str, ...] = ()
    policy: EntryPolicy = EntryPolicy.ADAPTIVE
    operators: tuple[OperatorSettings, ...] = ()


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The role beside one target. ``http`` is where the target announces itself.

    Without ``adapts_limit`` the target gets ``target_concurrency`` attempts whatever it can do.
    """

    http: str = "127.0.0.1:7180"
    probe_interval: Interval = 0.1
    member_timeout: Interval = 0.8
    attempt_retention: Duration = 30.0
    adapts_limit: bool = True
    answer_limit: Size = 16 * MEBIBYTE


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The role that forwards requests of a deployment's routes to direct targets.

    ``http`` is where callers reach it and ``readiness`` where the platform asks whether it takes
    callers. ``grace`` is the time from SIGTERM until the process has to be gone, and ``rotation``
    that for which new callers still come. ``repeat_ratio``
    and ``repeat_burst`` are this process's part of the budget of second sends.
    """

    http: str = "127.0.0.1:8081"
    readiness: str = "127.0.0.1:8082"
    grace: Interval = 8.0
    rotation: Interval = 2.8
    repeat_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    repeat_burst: Annotated[float, Meta(ge=0)] = 10.0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON-lines log. ``file`` empty means standard error; ``events`` logs the time line too."""

    level: str = "INFO"
    file: str = ""
    events: bool = False


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one process.

    ``stream`` is the address at which others reach the process; ``stream_listen`` is where it
    listens if that is another one (behind a port mapping).
    """

    instance: InstanceId = InstanceId("instance-1")
    failure_domain: FailureDomainId = FailureDomainId("domain-1")
    roles: tuple[Role, ...] = (Role.CONTROL, Role.ENTRY, Role.AGENT)
    stream: str = "127.0.0.1:7100"
    stream_listen: str = ""
    control: ControlSettings = ControlSettings()
    lease: LeaseSettings = LeaseSettings()
    entry: EntrySettings = EntrySettings()
    agent: AgentSettings = AgentSettings()
    gateway: GatewaySettings = GatewaySettings()
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
