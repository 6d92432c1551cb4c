"""The deployment document: routes to direct targets, their services, accounts and limits.

A deployment is replaced as a whole; the highest accepted number is in force. It is separate from
the configuration, which is changed by compare-and-set. Durations are seconds, sizes are bytes.
"""

from collections import Counter, defaultdict
from enum import Enum
from typing import NewType

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.exceptions import ConfigurationInvalid
from jaylatch_core.findings import CheckMessage, error, format_finding
from jaylatch_core.ids import AccountId
from jaylatch_core.units import KIBIBYTE, MEBIBYTE

DeploymentNumber = NewType("DeploymentNumber", int)
"""Number that the operator gave a deployment document; only a higher one replaces it."""

NO_DEPLOYMENT = DeploymentNumber(0)

UNKNOWN_SERVICE = "deployment.E001"
DUPLICATE_ROUTE = "deployment.E002"
INVALID_WEIGHTS = "deployment.E003"
INVALID_TIMEOUT = "deployment.E004"
SHARED_KEY = "deployment.E005"
INVALID_NUMBER = "deployment.E006"
INVALID_PREFIX = "deployment.E007"
DUPLICATE_SERVICE = "deployment.E008"


class RequestKind(str, Enum):
    """Repeatability: ``ONCE`` runs at most once, ``STREAM`` is repeated only if resumable."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """The part of a route's requests that goes to ``service``."""

    service: str
    weight: float


class RouteSpecification(msgspec.Struct, frozen=True):
    """A route, selected by host and longest path prefix.

    ``timeout`` limits how long a caller waits. ``objective`` is the latency objective (of a stream:
    up to its first event) and ``event_gap`` the longest pause between two events of a stream that
    still meets it. ``attempts`` limits the targets of one request.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    shares: tuple[ServiceShare, ...]
    priority: int = 0
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    event_gap: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may be run by more than one target."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAM:
                return self.is_resumable
            case RequestKind.ONCE:
                return False


class ModelProfile(msgspec.Struct, frozen=True):
    """A model of an engine service.

    A replica is a group of ``size`` instances. ``share`` is the model's initial part of the
    service's work, ``pace`` a factor on all times of its groups. An instance takes ``load_time`` to
    load the model from the weight store and ``warm_time`` if the model is staged on it.
    """

    name: str
    size: int
    share: float = 1.0
    pace: float = 1.0
    load_time: float = 0.0
    warm_time: float = 0.0


class EngineProfile(msgspec.Struct, frozen=True):
    """Performance of a service's engines; per group where a model spans several instances.

    A step takes ``step_time`` plus ``sequence_time`` for each request that is generating.
    ``read_rate`` is in prompt tokens per second. ``load_rate`` limits the loads that may begin per
    second, and ``parallel_loads`` is the number of loads that do not slow each other down. A group
    opens ``form_time`` after its head was ordered to open it. A group whose members are in several
    failure domains takes ``span_factor`` times as long for every operation (0: unknown).
    """

    slots: int
    models: tuple[ModelProfile, ...] = ()
    step_time: float = 0.0
    sequence_time: float = 0.0
    read_rate: float = 0.0
    load_rate: float = 0.0
    parallel_loads: int = 0
    form_time: float = 0.0
    span_factor: float = 0.0


class ServiceProfile(msgspec.Struct, frozen=True):
    """A service of direct targets. Each accepts ``connection_limit`` connections in total.

    ``engine`` is None for a plain service. A target is cold for ``cold_time`` after it starts
    during traffic, and tolerates ``cold_rate`` requests a second meanwhile (0: it is never cold).
    """

    name: str
    connection_limit: int
    engine: EngineProfile | None = None
    cold_time: float = 0.0
    cold_rate: float = 0.0

    @property
    def may_be_cold(self) -> bool:
        """Return whether the rate of requests to a target of this service is limited at times."""
        return self.cold_time > 0 and self.cold_rate > 0


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts of a caller's connection."""

    header_bytes: int = 16 * KIBIBYTE
    body_bytes: int = 4 * MEBIBYTE
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class AccountProfile(msgspec.Struct, frozen=True):
    """An account and its bearer keys. A ``priority`` takes precedence over that of a route."""

    name: AccountId
    keys: tuple[str, ...]
    priority: int | None = None


class Deployment(msgspec.Struct, frozen=True):
    """The deployment document."""

    number: DeploymentNumber
    routes: tuple[RouteSpecification, ...] = ()
    services: tuple[ServiceProfile, ...] = ()
    limits: ConnectionLimits = ConnectionLimits()
    accounts: tuple[AccountProfile, ...] = ()

    @property
    def service_names(self) -> frozenset[str]:
        """Return the names of all services."""
        return frozenset(item.name for item in self.services)

    @property
    def engine_models(self) -> tuple[ModelProfile, ...]:
        """Return the models that engines run which gateways call directly, without an agent."""
        return tuple(
            model
            for service in self.services
            if service.engine is not None
            for model in service.engine.models
        )

    def service(self, name: str) -> ServiceProfile | None:
        """Return the service called ``name``, or None."""
        return next((item for item in self.services if item.name == name), None)

    def ranked_services(self) -> frozenset[str]:
        """Return the services with engines whose streams are of different priorities.

        Their requests compete: they wait for places in the order of their ranks.
        """
        priorities: defaultdict[str, set[int]] = defaultdict(set)
        for route in self.routes:
            if route.kind is RequestKind.STREAM:
                for share in route.shares:
                    priorities[share.service].add(route.priority)
        engines = {item.name for item in self.services if item.engine is not None}
        return frozenset(name for name in engines if len(priorities[name]) > 1)


def validate_deployment(deployment: Deployment) -> Result[Deployment, ConfigurationInvalid]:
    """Check the number, services, routes and keys; return the document unchanged if it is valid."""
    faults = tuple(_faults(deployment))
    if not faults:
        return Success(deployment)
    details = "; ".join(map(format_finding, faults))
    return Err(ConfigurationInvalid(f"deployment is not valid: {details}", faults))


def _faults(deployment: Deployment) -> list[CheckMessage]:
    faults: list[CheckMessage] = []
    if deployment.number <= NO_DEPLOYMENT:
        faults.append(
            error(
                INVALID_NUMBER,
                "number",
                f"the number is {deployment.number}",
                "give a number above 0",
            )
        )
    services = Counter(item.name for item in deployment.services)
    faults += [
        error(DUPLICATE_SERVICE, name, "the service is defined twice", "keep one")
        for name, count in services.items()
        if count > 1
    ]
    for route in deployment.routes:
        faults += _route_faults(route, set(services))
    route_counts = Counter((route.host, route.path_prefix) for route in deployment.routes)
    faults += [
        error(
            DUPLICATE_ROUTE,
            f"{host}{prefix}",
            "two routes have this host and path prefix",
            "give each route its own prefix",
        )
        for (host, prefix), count in route_counts.items()
        if count > 1
    ]
    key_counts = Counter(key for account in deployment.accounts for key in set(account.keys))
    if any(count > 1 for count in key_counts.values()):
        # The key is a secret, so the message does not contain it.
        faults.append(
            error(
                SHARED_KEY, "accounts", "two accounts share a key", "give each account its own keys"
            )
        )
    return faults


def _route_faults(route: RouteSpecification, services: set[str]) -> list[CheckMessage]:
    faults = []
    for share in route.shares:
        if share.service not in services:
            text = f"the service {share.service!r} does not exist"
            faults.append(
                error(UNKNOWN_SERVICE, route.name, text, "define the service or correct the name")
            )
    if sum(share.weight for share in route.shares) <= 0:
        text = "its weights do not add up to more than 0"
        faults.append(error(INVALID_WEIGHTS, route.name, text, "give a weight above 0"))
    if route.timeout <= 0:
        text = f"its timeout is {route.timeout} s"
        faults.append(error(INVALID_TIMEOUT, route.name, text, "give a timeout above 0"))
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        text = f"its path prefix is {route.path_prefix!r}"
        faults.append(error(INVALID_PREFIX, route.name, text, "begin and end it with a slash"))
    return faults
