"""The operators' configuration: one whole typed document, replaced as a unit.

Durations are seconds. The document is validated before it is proposed to the log, so every
committed document is usable by every process.
"""

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.enums import Preset
from jaylatch_core.exceptions import ConfigurationInvalid
from jaylatch_core.ids import AccountId


class ModelSpecification(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model deployment. ``groups`` is the wanted number of copies (0: as many as fit)."""

    name: str
    instances_per_group: int = 2
    groups: int = 0


class ServiceSpecification(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service. Paths in ``idempotent_paths`` may be repeated; all others may not."""

    name: str
    idempotent_paths: tuple[str, ...] = ()
    kind: str = "order"


class AccountSpecification(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An account. ``key_hashes`` are SHA-256 hex digests of its bearer keys."""

    id: AccountId
    key_hashes: tuple[str, ...]
    share: float = 1.0


class KindSpecification(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request: its weight in the service measure and its default deadline."""

    name: str
    weight: float = 1.0
    deadline: float = 30.0


class PresetPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Policy values of one preset."""

    spares_per_domain: int = 1
    target_concurrency: int = 16
    queue_limit: int = 256
    retry_budget: float = 0.1
    drain_timeout: float = 60.0


class GroupWeights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cost per second of a group that cannot serve, and of one stranded accelerator."""

    group_downtime: float = 1.0
    stranded_accelerator: float = 1.0


class WeightStoreLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the weight store bears. ``loads_in_parallel`` counts instances (0: no limit)."""

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
    """Parse and validate a TOML document; refuse unknown fields and impossible values."""
    try:
        configuration = msgspec.toml.decode(document, type=Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(ConfigurationInvalid(f"configuration is not valid: {error}"))
    return validate_configuration(configuration)


def validate_configuration(
    configuration: Configuration,
) -> Result[Configuration, ConfigurationInvalid]:
    """Check what types cannot express; returns the document unchanged if it is usable."""
    faults = _faults(configuration)
    return Err(ConfigurationInvalid("; ".join(faults))) if faults else Success(configuration)


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
            faults.append(f"preset {preset.value!r}: limits must not be negative or zero")
    return faults
