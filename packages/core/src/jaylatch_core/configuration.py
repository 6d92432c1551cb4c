"""The operators' configuration: one typed document that is replaced as a whole.

Durations are seconds. The document is validated before it is proposed to the log, so every
committed document is usable by every process.
"""

import re

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.documents import parse_document
from jaylatch_core.enums import Preset
from jaylatch_core.exceptions import ConfigurationInvalid
from jaylatch_core.findings import CheckMessage, error, format_finding
from jaylatch_core.ids import AccountId
from jaylatch_core.units import Seconds

SHA256_PATTERN = re.compile("[0-9a-f]{64}")


class ModelSpecification(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model deployment. ``groups`` is the number of replica groups (0: as many as fit).

    Models that compete for instances get groups in proportion to their ``share``.
    """

    name: str
    instances_per_group: int = 2
    groups: int = 0
    share: float = 1.0


class ServiceSpecification(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service. Only calls to ``idempotent_paths`` may be repeated."""

    name: str
    idempotent_paths: tuple[str, ...] = ()
    kind: str = "order"


class AccountSpecification(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An account. ``key_hashes`` are SHA-256 hex digests of its bearer keys."""

    id: AccountId
    key_hashes: tuple[str, ...]
    share: float = 1.0


class KindSpecification(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request: its weight in admission and its default deadline."""

    name: str
    weight: float = 1.0
    deadline: Seconds = 30.0


class PresetPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Policy values of one preset.

    ``target_concurrency`` limits the attempts in flight at one target, and ``queue_limit`` the
    requests that wait in one entry for a model. Each request adds ``retry_budget`` retries to the
    budget of its entry, which holds ``retry_burst`` at most. A request during which two targets
    died is refused for ``quarantine_time`` seconds.
    """

    spares_per_domain: int = 1
    target_concurrency: int = 16
    queue_limit: int = 256
    retry_budget: float = 0.1
    drain_timeout: Seconds = 60.0
    retry_burst: float = 10.0
    quarantine_time: Seconds = 600.0


class GroupWeights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cost per second of a group that cannot serve, and of one stranded accelerator."""

    group_downtime: float = 1.0
    stranded_accelerator: float = 1.0


class WeightStoreLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the weight store. ``loads_in_parallel`` counts instances (0: no limit)."""

    loads_in_parallel: int = 0


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration document."""

    models: tuple[ModelSpecification, ...] = ()
    services: tuple[ServiceSpecification, ...] = ()
    accounts: tuple[AccountSpecification, ...] = ()
    kinds: tuple[KindSpecification, ...] = ()
    weights: GroupWeights = GroupWeights()
    weight_store: WeightStoreLimits = WeightStoreLimits()
    ordinary: PresetPolicy = PresetPolicy()
    peak: PresetPolicy = PresetPolicy(spares_per_domain=0, target_concurrency=24)
    maintenance: PresetPolicy = PresetPolicy(spares_per_domain=2)

    def policy(self, preset: Preset) -> PresetPolicy:
        """Return the policy values of ``preset``."""
        match preset:
            case Preset.ORDINARY:
                return self.ordinary
            case Preset.PEAK:
                return self.peak
            case Preset.MAINTENANCE:
                return self.maintenance

    def model(self, name: str) -> ModelSpecification | None:
        """Return the model deployment called ``name``, or None."""
        return next((item for item in self.models if item.name == name), None)

    def service(self, name: str) -> ServiceSpecification | None:
        """Return the plain service called ``name``, or None."""
        return next((item for item in self.services if item.name == name), None)

    def kind(self, name: str) -> KindSpecification:
        """Return the request kind called ``name``, or the defaults under that name."""
        return next((item for item in self.kinds if item.name == name), KindSpecification(name))


def parse_configuration(document: bytes) -> Result[Configuration, ConfigurationInvalid]:
    """Parse and validate a TOML document; reject unknown fields and invalid values."""
    return parse_document(document, Configuration).alt(_invalid).bind(validate_configuration)


def validate_configuration(
    configuration: Configuration,
) -> Result[Configuration, ConfigurationInvalid]:
    """Check names, key hashes and value ranges; return the document unchanged if it is valid."""
    faults = _faults(configuration)
    if not faults:
        return Success(configuration)
    hint = "see docs/reference/configuration.md"
    return Err(
        _invalid(tuple(error("configuration.E001", "document", fault, hint) for fault in faults))
    )


def _invalid(findings: tuple[CheckMessage, ...]) -> ConfigurationInvalid:
    details = "; ".join(map(format_finding, findings))
    return ConfigurationInvalid(f"configuration is not valid: {details}", findings)


def _faults(configuration: Configuration) -> list[str]:
    faults = []
    for label, names in (
        ("model", [item.name for item in configuration.models]),
        ("service", [item.name for item in configuration.services]),
        ("account", [str(item.id) for item in configuration.accounts]),
        ("kind", [item.name for item in configuration.kinds]),
    ):
        repeated = sorted({name for name in names if names.count(name) > 1})
        faults += [f"{label} {name!r} is defined twice; keep one" for name in repeated]
    for model in configuration.models:
        if model.instances_per_group < 1:
            faults.append(
                f"model {model.name!r}: instances_per_group is {model.instances_per_group};"
                " give at least 1"
            )
    if configuration.weights.group_downtime < 0 or configuration.weights.stranded_accelerator < 0:
        faults.append(f"weights {configuration.weights}: give numbers of at least 0")
    if configuration.weight_store.loads_in_parallel < 0:
        faults.append(
            f"weight_store.loads_in_parallel is {configuration.weight_store.loads_in_parallel};"
            " give at least 0"
        )
    for preset in Preset:
        policy = configuration.policy(preset)
        if policy.target_concurrency < 1 or policy.queue_limit < 0 or policy.spares_per_domain < 0:
            faults.append(
                f"preset {preset.value!r}: give a target_concurrency of at least 1, and a"
                " queue_limit and spares_per_domain of at least 0"
            )
    for account in configuration.accounts:
        if account.share <= 0:
            faults.append(f"account {account.id!r}: share is {account.share}; give more than 0")
        faults += [
            f"account {account.id!r}: key hash {value!r} is not a SHA-256 hex digest"
            for value in account.key_hashes
            if not SHA256_PATTERN.fullmatch(value)
        ]
    for kind in configuration.kinds:
        if kind.deadline <= 0 or kind.weight < 0:
            faults.append(
                f"kind {kind.name!r}: give a deadline above 0 s and a weight of 0 or more"
            )
    return faults
