"""Settings of one process, read from TOML. Every default is on this page.

Durations are seconds, sizes are bytes, addresses are ``IP:port``.
"""

from pathlib import Path

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.enums import Role
from jaylatch_core.exceptions import SettingsInvalid
from jaylatch_core.ids import FailureDomainId, InstanceId

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


class ControlPeer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A control instance: its instance id and its stream address."""

    instance: InstanceId
    address: str


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The control quorum, known to every process.

    ``journal_shards``, ``answer_retention`` and ``key_retention`` must be the same on every
    process. A resent order gets its stored answer within ``answer_retention`` of its completion,
    and runs at most once within ``key_retention``. ``data_folder`` is used by the control role
    only.
    """

    peers: tuple[ControlPeer, ...] = (ControlPeer(InstanceId("instance-1"), "127.0.0.1:7100"),)
    data_folder: str = "var/control"
    journal_shards: int = 2
    answer_retention: float = 86_400.0
    key_retention: float = 604_800.0
    heartbeat_interval: float = 0.1
    election_timeout: float = 0.6
    initial_configuration: str = ""


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Leases of entries and agents. ``drift`` bounds the relative error of two clocks."""

    duration: float = 4.0
    renew_interval: float = 0.5
    drift: float = 0.01


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The role that faces callers and operators."""

    http: str = "127.0.0.1:8080"
    body_limit: int = 4 * MEBIBYTE
    answer_limit: int = 16 * MEBIBYTE
    token_limit: int = 32_768
    default_deadline: float = 30.0
    operator_token_hashes: tuple[str, ...] = ()


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The role beside one target. ``http`` is where the target announces itself."""

    http: str = "127.0.0.1:7180"
    probe_interval: float = 0.1
    member_timeout: float = 0.8
    attempt_retention: float = 30.0
    answer_limit: int = 16 * MEBIBYTE


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON-lines log. ``file`` empty means standard error."""

    level: str = "INFO"
    file: str = ""


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
    log: LogSettings = LogSettings()


def load_settings(path: Path) -> Result[NodeSettings, SettingsInvalid]:
    """Read and type-check the TOML file at ``path``; unknown keys are refused."""
    try:
        document = path.read_bytes()
    except OSError as error:
        return Err(SettingsInvalid(f"settings file {str(path)!r} cannot be read: {error}"))
    try:
        return Success(msgspec.toml.decode(document, type=NodeSettings))
    except msgspec.DecodeError as error:
        return Err(SettingsInvalid(f"settings file {str(path)!r}: {error}"))


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port``. Raises ValueError if the port is missing or not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
